package callers

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Report summarizes a load. Times are in microseconds.
type Report struct {
	Scenario          string                    `json:"scenario"`
	Sent              int                       `json:"sent"` // requests; one that is sent twice counts twice
	Done              int                       `json:"done"`
	Rejected          int                       `json:"refused"`
	Unknown           int                       `json:"unknown"`
	Incomplete        int                       `json:"incomplete"`                 // responses without a last frame
	FailedOver        int                       `json:"moved_to_another_proxy"`     // sent to another proxy because the first did not accept them
	Reasons           map[string]int            `json:"reasons"`                    // why requests were not done
	WorstLatenessUS   int64                     `json:"worst_lateness_us"`          // time after the deadline
	LateRejections    int                       `json:"refused_after_half_the_due"` // after more than half the time to the deadline
	FirstPieceUS      [3]int64                  `json:"first_piece_us_p50_p90_p99"` // of requests that were done
	TotalUS           [3]int64                  `json:"total_us_p50_p90_p99"`       // of requests that were done
	Runs              int                       `json:"runs"`
	Blocks            int                       `json:"parts"` // blocks of the prompts of all runs
	ReusedBlocks      int                       `json:"parts_reused"`
	TransferredBlocks int                       `json:"parts_taken_from_peers"`
	Groups            map[string]map[string]int `json:"groups"` // number of requests by group and outcome
	Violations        []string                  `json:"broken"` // violated rules, one text each
}

// percentiles returns the 50th, 90th and 99th percentile, or zeros if there are no values. It
// sorts values in place.
func percentiles(values []int64) (out [3]int64) {
	if len(values) == 0 {
		return out
	}
	slices.Sort(values)
	for i, percent := range []int{50, 90, 99} {
		out[i] = values[min(len(values)-1, len(values)*percent/100)]
	}
	return out
}

// write writes the report to a file as JSON.
func (r *Report) write(path string) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}

// Print writes the report as text, one figure per line. Scripts may read the lines, so their
// form is stable.
func (r *Report) Print(out io.Writer) {
	line := func(name, format string, values ...any) {
		fmt.Fprintf(out, "%-18s"+format+"\n", append([]any{name}, values...)...)
	}
	line("scenario", "%s", r.Scenario)
	line("sent", "%d", r.Sent)
	line("done", "%d", r.Done)
	line("refused", "%d", r.Rejected)
	line("unknown", "%d", r.Unknown)
	line("incomplete", "%d", r.Incomplete)
	line("moved on at door", "%d", r.FailedOver)
	line("first piece", "%s", formatPercentiles(r.FirstPieceUS))
	line("whole answer", "%s", formatPercentiles(r.TotalUS))
	line("worst lateness", "%s", formatDuration(r.WorstLatenessUS))
	line("late refusals", "%d", r.LateRejections)
	line("runs", "%d", r.Runs)
	line("parts reused", "%d of %d (%d taken from peers)", r.ReusedBlocks, r.Blocks, r.TransferredBlocks)
	for _, reason := range sortedKeys(r.Reasons) {
		line("reason", "%-20s %d", reason, r.Reasons[reason])
	}
	for _, name := range sortedKeys(r.Groups) {
		group := r.Groups[name]
		line("group", "%-16s done %d, refused %d, unknown %d, incomplete %d", name, group["done"], group["refused"], group["unknown"], group["incomplete"])
	}
	for _, violation := range r.Violations {
		line("BROKEN", "%s", violation)
	}
	if len(r.Violations) == 0 {
		fmt.Fprintln(out, "no must-never was broken")
	}
}

func formatPercentiles(us [3]int64) string {
	return fmt.Sprintf("p50 %s  p90 %s  p99 %s", formatDuration(us[0]), formatDuration(us[1]), formatDuration(us[2]))
}

// formatDuration formats microseconds as a duration rounded to milliseconds.
func formatDuration(us int64) string {
	return (time.Duration(us) * time.Microsecond).Round(time.Millisecond).String()
}

func sortedKeys[V any](values map[string]V) []string {
	keys := lo.Keys(values)
	slices.Sort(keys)
	return keys
}
