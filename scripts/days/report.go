package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
)

// report is what the bench tells of a day that it played.
type report struct {
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Fault   *string        `json:"fault"`
	Short   []any          `json:"short"`
	Breaks  map[string]any `json:"breaks"`
	Ends    int            `json:"exits_n"`
	Exits   []exit         `json:"exits"` // the first few of them
	Changes int            `json:"configs"`
}

// exit is a process that ended by itself.
type exit struct {
	Node string  `json:"node"`
	AtS  float64 `json:"at_s"`
	Why  string  `json:"why"`
}

func readReport(path string) (report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return report{}, err
	}
	var r report
	if err := json.Unmarshal(text, &r); err != nil {
		return report{}, fmt.Errorf("%s: %w", path, err)
	}
	return r, nil
}

// passed tells whether the gate was passed.
func (r report) passed() bool {
	return len(r.Breaks) == 0 && r.Fault == nil && len(r.Short) == 0
}

// line is a day in one line: its gate, the broken rules, what it served, and the
// processes that ended by themselves.
func (r report) line(name string) string {
	gate := "passed"
	if !r.passed() {
		gate = "FAILED"
	}
	out := fmt.Sprintf("%-18s gate %s  rules %-8s  served %.3f  refused %.3f  failed %.3f  changes %4d  own ends %d",
		name, gate, r.rules(), r.Served, r.Refused, r.Failed, r.Changes, r.Ends)
	if r.Fault != nil {
		out += "  fault: " + *r.Fault
	}
	if len(r.Short) > 0 {
		out += fmt.Sprintf("  short: %v", r.Short)
	}
	for _, one := range r.Exits {
		out += fmt.Sprintf("  [%s at %.1f s: %s]", one.Node, one.AtS, one.Why)
	}
	return out
}

func (r report) rules() string {
	if len(r.Breaks) == 0 {
		return "none"
	}
	return strings.Join(slices.Sorted(maps.Keys(r.Breaks)), ",")
}
