package route

import (
	"bytes"
	"encoding/binary"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// WeightsKey is the register that holds the WeightVersions: models are few.
const WeightsKey = "route/weights"

// Limits of WeightVersions.
const (
	MaxModels    = 4096
	MaxModelName = 256 // bytes
	MaxVersions  = 64  // newest versions of a model that are remembered
)

// WeightVersions are the versions of weights that operators announced for each model.
type WeightVersions struct {
	Models []ModelVersions // sorted by name
}

// ModelVersions are a model's versions, rising; the last one is wanted.
type ModelVersions struct {
	Model    string
	Versions []uint64
}

// find is the place of a model, or the one it would take, and whether it is there.
func (d *WeightVersions) find(model string) (int, bool) {
	return slices.BinarySearchFunc(d.Models, model, func(m ModelVersions, name string) int { return strings.Compare(m.Model, name) })
}

// Latest is the version wanted of a model, 0 if none was ever announced.
func (d *WeightVersions) Latest(model string) uint64 {
	if i, ok := d.find(model); ok {
		return d.Models[i].Versions[len(d.Models[i].Versions)-1]
	}
	return 0
}

// Add announces a version and leaves d alone. Without a next value there is nothing to do, as
// that version or a newer one was announced before. A finding tells what can't be announced.
func (d *WeightVersions) Add(model string, version uint64) (next *WeightVersions, f *Finding) {
	switch {
	case model == "" || len(model) > MaxModelName:
		return nil, &Finding{"model", "bad-model", "name a model in 256 bytes at most"}
	case version == 0:
		return nil, &Finding{"version", "bad-version", "give a version from 1 up"}
	case version <= d.Latest(model):
		return nil, nil
	}
	next = &WeightVersions{Models: slices.Clone(d.Models)}
	i, ok := next.find(model)
	if !ok {
		if len(next.Models) >= MaxModels {
			return nil, &Finding{"model", "too-many-models", "use a model that is known"}
		}
		next.Models = slices.Insert(next.Models, i, ModelVersions{Model: model})
	}
	versions := append(slices.Clone(next.Models[i].Versions), version)
	next.Models[i].Versions = versions[max(0, len(versions)-MaxVersions):]
	return next, nil
}

// Encode is the register's value.
func (d *WeightVersions) Encode() []byte {
	body := binary.AppendUvarint(nil, uint64(len(d.Models)))
	for _, m := range d.Models {
		body = binary.AppendUvarint(body, uint64(len(m.Model)))
		body = append(body, m.Model...)
		body = binary.AppendUvarint(body, uint64(len(m.Versions)))
		for _, version := range m.Versions {
			body = binary.AppendUvarint(body, version)
		}
	}
	return encodeFrame(formatWeights, body)
}

// DecodeWeights reads what Encode wrote. A value that is damaged, of another format or over a
// limit is an error.
func DecodeWeights(frame []byte) (*WeightVersions, error) {
	body, err := decodeFrame(formatWeights, frame)
	if err != nil {
		return nil, err
	}
	malformed := trace.BadParameter("the register of weights is malformed; ask a node of the version that wrote it")
	r := bytes.NewReader(body)
	count, err := binary.ReadUvarint(r)
	if err != nil || count > MaxModels {
		return nil, malformed
	}
	d := &WeightVersions{}
	for range count {
		m, ok := readModelVersions(r)
		if last := len(d.Models) - 1; !ok || last >= 0 && d.Models[last].Model >= m.Model {
			return nil, malformed
		}
		d.Models = append(d.Models, m)
	}
	if r.Len() != 0 {
		return nil, malformed
	}
	return d, nil
}

// readModelVersions reads one model; false if that is malformed.
func readModelVersions(r *bytes.Reader) (m ModelVersions, ok bool) {
	length, err := binary.ReadUvarint(r)
	if err != nil || length == 0 || length > MaxModelName {
		return m, false
	}
	name := make([]byte, length)
	if _, err := io.ReadFull(r, name); err != nil {
		return m, false
	}
	m.Model = string(name)
	count, err := binary.ReadUvarint(r)
	if err != nil || count == 0 || count > MaxVersions {
		return m, false
	}
	for last := uint64(0); count > 0; count-- {
		version, err := binary.ReadUvarint(r)
		if err != nil || version <= last {
			return m, false
		}
		m.Versions, last = append(m.Versions, version), version
	}
	return m, true
}
