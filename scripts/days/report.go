package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
)

// report is the bench's report of a day.
type report struct {
	Served  float64        `json:"served"`
	Refused float64        `json:"refused"`
	Failed  float64        `json:"failed"`
	Fault   *string        `json:"fault"`
	Short   []any          `json:"short"`
	Breaks  map[string]any `json:"breaks"`
	Ends    int            `json:"exits_n"`
	Exits   []exit         `json:"exits"` // only the first few
	Changes int            `json:"configs"`
}

// exit is a process that ended without being told to.
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

// passed reports whether the day was passed: no rule violated, no fault of the run and no goal
// missed.
func (r report) passed() bool {
	return len(r.Breaks) == 0 && r.Fault == nil && len(r.Short) == 0
}

// line summarizes a day in one line: whether it was passed, the violated rules, the shares of
// requests by outcome, and the processes that ended without being told to.
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
	for _, e := range r.Exits {
		out += fmt.Sprintf("  [%s at %.1f s: %s]", e.Node, e.AtS, e.Why)
	}
	return out
}

func (r report) rules() string {
	if len(r.Breaks) == 0 {
		return "none"
	}
	return strings.Join(slices.Sorted(maps.Keys(r.Breaks)), ",")
}
