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
	Label   string             `json:"label"`   // of the run, as Settings has it
	Role    string             `json:"role"`    // as Settings has it
	Size    Size               `json:"size"`    // that was asked for
	Drivers Drivers            `json:"drivers"` // that came of it
	Figures map[string]float64 `json:"figures"` // by name; the unit is the name's last part
}

// Append adds a sample to a file of one JSON object a line.
func (s *Sample) Append(path string) error {
	text, err := json.Marshal(s)
	if err != nil {
		return trace.Wrap(err)
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o644)
	if err != nil {
		return trace.Wrap(err, "can't write %s; give --out a file in a folder that is there", path)
	}
	defer file.Close()
	_, err = file.Write(append(text, '\n'))
	return trace.Wrap(err)
}

// ReadSamples reads such a file.
func ReadSamples(path string) (samples []*Sample, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.BadParameter("%v; run scripts/scale first", err)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	for decoder.More() {
		sample := &Sample{}
		if err := decoder.Decode(sample); err != nil {
			return nil, trace.BadParameter("%s holds what is no sample: %v; run scripts/scale anew", path, err)
		}
		samples = append(samples, sample)
	}
	return samples, nil
}

// Print writes a sample's figures.
func (s *Sample) Print(out io.Writer) {
	fmt.Fprintf(out, "%s: proxies=%.0f engines=%.0f events=%.0f blocks=%.0f tenants=%.0f under_way=%.0f config_bytes=%.0f\n", s.Label, s.Drivers.Proxies,
		s.Drivers.Engines, s.Drivers.Events, s.Drivers.Blocks, s.Drivers.Tenants, s.Drivers.UnderWay, s.Drivers.ConfigBytes)
	for _, name := range sortedKeys(s.Figures) {
		fmt.Fprintf(out, "    %-30s %12.5g\n", name, s.Figures[name])
	}
}
