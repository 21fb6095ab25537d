package route

import (
	"bytes"
	"encoding/binary"
	"io"
	"slices"
	"strings"

	"github.com/gravitational/trace"
)

// WeightsKey is the register that holds the WeightsDoc: models are few.
const WeightsKey = "route/weights"

// Bounds of a WeightsDoc.
const (
	MaxModels    = 4096
	MaxModelName = 256
	MaxVersions  = 64 // newest versions of a model that are remembered
)

// WeightsDoc holds the versions of weights that were named for each model.
type WeightVersions struct {
	Models []ModelVersions // by name
}

// ModelWeights are a model's versions, rising; the last one is wanted.
type ModelVersions struct {
	Model    string
	Versions []uint64
}

func (d *WeightVersions) find(model string) (int, bool) {
	return slices.BinarySearchFunc(d.Models, model, func(m ModelVersions, n string) int { return strings.Compare(m.Model, n) })
}

// Newest is the version wanted of a model, 0 if none was ever named.
func (d *WeightVersions) Latest(model string) uint64 {
	if i, ok := d.find(model); ok {
		return d.Models[i].Versions[len(d.Models[i].Versions)-1]
	}
	return 0
}

// Name names a version. Without a next document there is nothing to do, as that
// version or a newer one was named before. A finding tells what can't be named.
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
	vs := append(slices.Clone(next.Models[i].Versions), version)
	next.Models[i].Versions = vs[max(0, len(vs)-MaxVersions):]
	return next, nil
}

// Bytes is the register's value.
func (d *WeightVersions) Encode() []byte {
	b := binary.AppendUvarint(nil, uint64(len(d.Models)))
	for _, m := range d.Models {
		b = binary.AppendUvarint(b, uint64(len(m.Model)))
		b = append(b, m.Model...)
		b = binary.AppendUvarint(b, uint64(len(m.Versions)))
		for _, v := range m.Versions {
			b = binary.AppendUvarint(b, v)
		}
	}
	return encodeFrame(formatWeights, b)
}

// ReadWeights reads what Bytes wrote.
func DecodeWeights(b []byte) (*WeightVersions, error) {
	b, err := decodeFrame(formatWeights, b)
	if err != nil {
		return nil, err
	}
	bad := trace.BadParameter("the register of weights is malformed; name the versions again")
	r := bytes.NewReader(b)
	n, err := binary.ReadUvarint(r)
	if err != nil || n > MaxModels {
		return nil, bad
	}
	d := &WeightVersions{}
	for range n {
		l, err := binary.ReadUvarint(r)
		if err != nil || l == 0 || l > MaxModelName {
			return nil, bad
		}
		name := make([]byte, l)
		if _, err := io.ReadFull(r, name); err != nil {
			return nil, bad
		}
		m := ModelVersions{Model: string(name)}
		if k := len(d.Models); k > 0 && d.Models[k-1].Model >= m.Model {
			return nil, bad
		}
		c, err := binary.ReadUvarint(r)
		if err != nil || c == 0 || c > MaxVersions {
			return nil, bad
		}
		for last := uint64(0); c > 0; c-- {
			v, err := binary.ReadUvarint(r)
			if err != nil || v <= last {
				return nil, bad
			}
			m.Versions, last = append(m.Versions, v), v
		}
		d.Models = append(d.Models, m)
	}
	if r.Len() != 0 {
		return nil, bad
	}
	return d, nil
}
