package callers

import (
	"context"
	"fmt"
	"sort"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"violetthread/internal/engineapi"
	"violetthread/internal/standin/engine"
)

// observationTimeoutUS bounds asking one engine what it ran.
const observationTimeoutUS = 5_000_000

// judge compares callers' answers with engines' counts.
type judge struct {
	settings   Settings
	report     *Report
	runs       map[string]int      // by group and request id
	byID       map[string][]Result // by group and request id
	firstPiece []int64             // of requests that were done
	total      []int64             // of requests that were done
}

// report judges the load and writes the report's file.
func (g *loadGenerator) report() (*Report, error) {
	j := &judge{
		settings: g.settings,
		report:   &Report{Scenario: g.settings.Scenario, Reasons: map[string]int{}, Groups: map[string]map[string]int{}, Violations: []string{}},
		runs:     map[string]int{},
		byID:     map[string][]Result{},
	}
	if err := j.askEngines(); err != nil {
		return nil, err
	}
	for _, result := range g.results {
		j.count(result)
	}
	report := j.report
	report.FirstPieceUS, report.TotalUS = percentiles(j.firstPiece), percentiles(j.total)
	for id, results := range j.byID {
		j.compare(id, results)
	}
	sort.Strings(report.Violations)
	if minimum := g.settings.MinDonePermille; minimum > 0 && int64(report.Done)*1000 < minimum*int64(report.Sent) {
		j.violation("only %d of %d done", report.Done, report.Sent)
	}
	if g.settings.Report == "" {
		return report, nil
	}
	if err := report.write(g.settings.Report); err != nil {
		return nil, err
	}
	return report, nil
}

func (j *judge) violation(format string, values ...any) {
	j.report.Violations = append(j.report.Violations, fmt.Sprintf(format, values...))
}

func (j *judge) askEngines() error {
	engines := engineapi.NewClient()
	for _, addr := range j.settings.Engines {
		var observed engine.Observations
		err := engines.Get(context.Background(), addr, "/v1/seen", observationTimeoutUS, &observed)
		switch {
		case err == nil:
			j.addEngine(observed)
		case !j.settings.Faults:
			return trace.Wrap(err, "an engine does not tell what ran; give --faults true if that is meant")
		}
	}
	return nil
}

func (j *judge) addEngine(observed engine.Observations) {
	for _, run := range observed.Runs {
		j.runs[run.Group+"/"+run.RequestID]++
		j.report.Runs++
		j.report.Blocks += run.Blocks
		j.report.ReusedBlocks += run.Reused
		j.report.TransferredBlocks += run.Transferred
	}
	for _, mixed := range observed.MixedBlocks {
		j.violation("mixed cache at %s: %s", observed.Name, mixed)
	}
	for _, owner := range observed.StaleOwners {
		j.violation("two owners at %s: %s", observed.Name, owner)
	}
}

// count adds one result to the report.
func (j *judge) count(result Result) {
	report := j.report
	report.Sent++
	if result.FailedOver {
		report.FailedOver++
	}
	id := result.Group + "/" + result.ID
	j.byID[id] = append(j.byID[id], result)
	j.countOutcome(result)
	if result.Outcome != outcomeDone {
		report.Reasons[result.Reason]++
	}
	report.WorstLatenessUS = max(report.WorstLatenessUS, result.TotalUS-result.DueUS)
	if result.Violation != "" {
		j.violation("%s: %s", id, result.Violation)
	}
}

func (j *judge) countOutcome(result Result) {
	report := j.report
	switch result.Outcome {
	case outcomeDone:
		report.Done++
		j.firstPiece, j.total = append(j.firstPiece, result.FirstPieceUS), append(j.total, result.TotalUS)
	case outcomeRejected:
		report.Rejected++
		if result.TotalUS > result.DueUS/2 {
			report.LateRejections++
		}
	case outcomeUnknown:
		report.Unknown++
	default:
		report.Incomplete++
	}
	if report.Groups[result.Group] == nil {
		report.Groups[result.Group] = map[string]int{}
	}
	report.Groups[result.Group][lo.CoalesceOrEmpty(result.Outcome, "incomplete")]++
}

// compare judges all sendings of one request against its runs.
func (j *judge) compare(id string, results []Result) {
	runs := j.runs[id]
	done := lo.CountBy(results, func(r Result) bool { return r.Outcome == outcomeDone })
	allRejected := lo.EveryBy(results, func(r Result) bool { return r.Outcome == outcomeRejected })
	onceOnly := results[0].OnceOnly
	switch {
	case onceOnly && runs > 1:
		j.violation("%s ran %d times", id, runs)
	case onceOnly && done > 1:
		j.violation("%s was done %d times", id, done)
	case allRejected && runs > 0:
		j.violation("%s was refused and ran", id)
	case done > 0 && runs == 0 && !j.settings.Faults:
		j.violation("%s was done and no engine ran it", id)
	}
}
