package route

import (
	"bytes"
	"encoding/binary"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// WeightsKey is the register that holds the WeightVersions of all models. One register is enough
// because there are few models.
const WeightsKey = "route/weights"

// Limits of WeightVersions.
const (
	MaxModels    = 4096
	MaxModelName = 256 // bytes
	MaxVersions  = 64  // newest versions of a model that are kept

	// MaxWeightsBytes is the largest value of the register.
	MaxWeightsBytes = 512 << 10
)

// WeightVersions are the versions of weights that operators announced for each model.
type WeightVersions struct {
	Models []ModelVersions // sorted by name
}

// ModelVersions are the announced versions of a model in ascending order; engines are to run
// the last one.
type ModelVersions struct {
	Model    string
	Versions []uint64
}

// find returns the index of a model, or the index to insert it at, and whether it is present.
func (d *WeightVersions) find(model string) (int, bool) {
	return slices.BinarySearchFunc(d.Models, model, func(m ModelVersions, name string) int { return strings.Compare(m.Model, name) })
}

// Latest returns the newest announced version of a model, 0 if there is none.
func (d *WeightVersions) Latest(model string) uint64 {
	if i, ok := d.find(model); ok {
		return d.Models[i].Versions[len(d.Models[i].Versions)-1]
	}
	return 0
}

// Add returns d with a version added, and does not modify d. next is nil if that version or a
// newer one was announced before. A finding says why the version cannot be announced.
func (d *WeightVersions) Add(model string, version uint64) (next *WeightVersions, f *Finding) {
	switch {
	case model == "" || len(model) > MaxModelName:
		return nil, &Finding{"model", "bad-model", "give a model name of 1 to 256 bytes"}
	case version == 0:
		return nil, &Finding{"version", "bad-version", "give a version of 1 or higher"}
	case version <= d.Latest(model):
		return nil, nil
	}
	next = &WeightVersions{Models: slices.Clone(d.Models)}
	i, ok := next.find(model)
	if !ok {
		if len(next.Models) >= MaxModels {
			return nil, &Finding{"model", "too-many-models", "use a model that was announced before"}
		}
		next.Models = slices.Insert(next.Models, i, ModelVersions{Model: model})
	}
	versions := append(slices.Clone(next.Models[i].Versions), version)
	next.Models[i].Versions = versions[max(0, len(versions)-MaxVersions):]
	return next, nil
}

// Encode returns the register's value.
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

// DecodeWeights decodes a value written by Encode. It returns an error if the value is corrupt,
// has another format or exceeds a limit.
func DecodeWeights(frame []byte) (*WeightVersions, error) {
	body, err := decodeFrame(formatWeights, frame)
	if err != nil {
		return nil, err
	}
	malformed := trace.BadParameter("the register of weight versions is malformed; use a node of the software version that wrote it")
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

// readModelVersions reads one model; ok is false if it is malformed.
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
