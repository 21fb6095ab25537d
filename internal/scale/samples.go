package scale

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/gravitational/trace"
)

// Sample is what one run showed. Figures of a role are a mean over its processes.
type Sample struct {
	Label   string             `json:"label"`
	Role    string             `json:"role"`
	Size    Size               `json:"size"`
	Drivers Drivers            `json:"drivers"`
	Figures map[string]float64 `json:"figures"`
}

// Append adds a sample to a file of one JSON object a line.
func (s *Sample) Append(path string) error {
	b, err := json.Marshal(s)
	if err != nil {
		return trace.Wrap(err)
	}
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return trace.Wrap(err, "can't write %s; give --out a file in a folder that is there", path)
	}
	defer f.Close()
	_, err = f.Write(append(b, '\n'))
	return trace.Wrap(err)
}

// ReadSamples reads such a file.
func ReadSamples(path string) (samples []*Sample, err error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.BadParameter("%v; run scripts/scale first", err)
	}
	d := json.NewDecoder(bytes.NewReader(b))
	for d.More() {
		s := &Sample{}
		if err := d.Decode(s); err != nil {
			return nil, trace.BadParameter("%s holds what is no sample: %v; run scripts/scale anew", path, err)
		}
		samples = append(samples, s)
	}
	return samples, nil
}

// Print writes a sample's figures.
func (s *Sample) Print(w io.Writer) {
	fmt.Fprintf(w, "%s: proxies=%.0f engines=%.0f events=%.0f blocks=%.0f tenants=%.0f under_way=%.0f config_bytes=%.0f\n", s.Label, s.Drivers.Proxies,
		s.Drivers.Engines, s.Drivers.Events, s.Drivers.Blocks, s.Drivers.Tenants, s.Drivers.UnderWay, s.Drivers.ConfigBytes)
	for _, n := range sortedKeys(s.Figures) {
		fmt.Fprintf(w, "    %-30s %12.5g\n", n, s.Figures[n])
	}
}
