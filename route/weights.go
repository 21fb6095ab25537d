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
	MaxNamed     = 64 // newest versions of a model that are remembered
)

// WeightsDoc holds the versions of weights that were named for each model.
type WeightsDoc struct {
	Models []ModelWeights // by name
}

// ModelWeights are a model's versions, rising; the last one is wanted.
type ModelWeights struct {
	Model    string
	Versions []uint64
}

func (d *WeightsDoc) find(model string) (int, bool) {
	return slices.BinarySearchFunc(d.Models, model, func(m ModelWeights, n string) int { return strings.Compare(m.Model, n) })
}

// Newest is the version wanted of a model, 0 if none was ever named.
func (d *WeightsDoc) Newest(model string) uint64 {
	if i, ok := d.find(model); ok {
		return d.Models[i].Versions[len(d.Models[i].Versions)-1]
	}
	return 0
}

// Name names a version. Without a next document there is nothing to do, as that
// version or a newer one was named before. A finding tells what can't be named.
func (d *WeightsDoc) Name(model string, version uint64) (next *WeightsDoc, f *Finding) {
	switch {
	case model == "" || len(model) > MaxModelName:
		return nil, &Finding{"model", "bad-model", "name a model in 256 bytes at most"}
	case version == 0:
		return nil, &Finding{"version", "bad-version", "give a version from 1 up"}
	case version <= d.Newest(model):
		return nil, nil
	}
	next = &WeightsDoc{Models: slices.Clone(d.Models)}
	i, ok := next.find(model)
	if !ok {
		if len(next.Models) >= MaxModels {
			return nil, &Finding{"model", "too-many-models", "use a model that is known"}
		}
		next.Models = slices.Insert(next.Models, i, ModelWeights{Model: model})
	}
	vs := append(slices.Clone(next.Models[i].Versions), version)
	next.Models[i].Versions = vs[max(0, len(vs)-MaxNamed):]
	return next, nil
}

// Bytes is the register's value.
func (d *WeightsDoc) Bytes() []byte {
	b := binary.AppendUvarint(nil, uint64(len(d.Models)))
	for _, m := range d.Models {
		b = binary.AppendUvarint(b, uint64(len(m.Model)))
		b = append(b, m.Model...)
		b = binary.AppendUvarint(b, uint64(len(m.Versions)))
		for _, v := range m.Versions {
			b = binary.AppendUvarint(b, v)
		}
	}
	return seal(formatWeights, b)
}

// ReadWeights reads what Bytes wrote.
func ReadWeights(b []byte) (*WeightsDoc, error) {
	b, err := unseal(formatWeights, b)
	if err != nil {
		return nil, err
	}
	bad := trace.BadParameter("the register of weights is malformed; name the versions again")
	r := bytes.NewReader(b)
	n, err := binary.ReadUvarint(r)
	if err != nil || n > MaxModels {
		return nil, bad
	}
	d := &WeightsDoc{}
	for range n {
		l, err := binary.ReadUvarint(r)
		if err != nil || l == 0 || l > MaxModelName {
			return nil, bad
		}
		name := make([]byte, l)
		if _, err := io.ReadFull(r, name); err != nil {
			return nil, bad
		}
		m := ModelWeights{Model: string(name)}
		if k := len(d.Models); k > 0 && d.Models[k-1].Model >= m.Model {
			return nil, bad
		}
		c, err := binary.ReadUvarint(r)
		if err != nil || c == 0 || c > MaxNamed {
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
