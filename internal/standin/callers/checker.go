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

// fetchTimeoutUS bounds the request for one engine's observations.
const fetchTimeoutUS = 5_000_000

// checker compares the results of callers with the runs that engines observed, and fills in
// the report.
type checker struct {
	settings   Settings
	report     *Report
	runs       map[string]int      // number of runs by GROUP/ID of the request
	byID       map[string][]Result // by GROUP/ID of the request
	firstPiece []int64             // times of requests that were done
	total      []int64             // times of requests that were done
}

// report checks the results of the load, and writes the report to its file if one is set.
func (g *loadGenerator) report() (*Report, error) {
	c := &checker{
		settings: g.settings,
		report:   &Report{Scenario: g.settings.Scenario, Reasons: map[string]int{}, Groups: map[string]map[string]int{}, Violations: []string{}},
		runs:     map[string]int{},
		byID:     map[string][]Result{},
	}
	if err := c.fetchObservations(); err != nil {
		return nil, err
	}
	for _, result := range g.results {
		c.count(result)
	}
	report := c.report
	report.FirstPieceUS, report.TotalUS = percentiles(c.firstPiece), percentiles(c.total)
	for id, results := range c.byID {
		c.checkRequest(id, results)
	}
	sort.Strings(report.Violations)
	if minimum := g.settings.MinDonePermille; minimum > 0 && int64(report.Done)*1000 < minimum*int64(report.Sent) {
		c.violation("only %d of %d done", report.Done, report.Sent)
	}
	if g.settings.Report == "" {
		return report, nil
	}
	if err := report.write(g.settings.Report); err != nil {
		return nil, err
	}
	return report, nil
}

func (c *checker) violation(format string, values ...any) {
	c.report.Violations = append(c.report.Violations, fmt.Sprintf(format, values...))
}

func (c *checker) fetchObservations() error {
	engines := engineapi.NewClient()
	for _, addr := range c.settings.Engines {
		var observed engine.Observations
		err := engines.Get(context.Background(), addr, "/v1/seen", fetchTimeoutUS, &observed)
		switch {
		case err == nil:
			c.addObservations(observed)
		case !c.settings.Faults:
			return trace.Wrap(err, "an engine did not return its observed runs; use --faults true if engines are killed on purpose")
		}
	}
	return nil
}

func (c *checker) addObservations(observed engine.Observations) {
	for _, run := range observed.Runs {
		c.runs[run.Group+"/"+run.RequestID]++
		c.report.Runs++
		c.report.Blocks += run.Blocks
		c.report.ReusedBlocks += run.Reused
		c.report.TransferredBlocks += run.Transferred
	}
	for _, reuse := range observed.InvalidReuse {
		c.violation("invalid cache reuse at %s: %s", observed.Name, reuse)
	}
	for _, request := range observed.StaleTokenRequests {
		c.violation("stale fencing token at %s: %s", observed.Name, request)
	}
}

// count adds one result to the report.
func (c *checker) count(result Result) {
	report := c.report
	report.Sent++
	if result.FailedOver {
		report.FailedOver++
	}
	id := result.Group + "/" + result.ID
	c.byID[id] = append(c.byID[id], result)
	c.countOutcome(result)
	if result.Outcome != outcomeDone {
		report.Reasons[result.Reason]++
	}
	report.WorstLatenessUS = max(report.WorstLatenessUS, result.TotalUS-result.DueUS)
	if result.Violation != "" {
		c.violation("%s: %s", id, result.Violation)
	}
}

func (c *checker) countOutcome(result Result) {
	report := c.report
	switch result.Outcome {
	case outcomeDone:
		report.Done++
		c.firstPiece, c.total = append(c.firstPiece, result.FirstPieceUS), append(c.total, result.TotalUS)
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

// checkRequest compares all results of one request, of both copies if it was sent twice, with
// its runs.
func (c *checker) checkRequest(id string, results []Result) {
	runs := c.runs[id]
	done := lo.CountBy(results, func(r Result) bool { return r.Outcome == outcomeDone })
	allRejected := lo.EveryBy(results, func(r Result) bool { return r.Outcome == outcomeRejected })
	onceOnly := results[0].OnceOnly
	switch {
	case onceOnly && runs > 1:
		c.violation("%s ran %d times", id, runs)
	case onceOnly && done > 1:
		c.violation("%s was done %d times", id, done)
	case allRejected && runs > 0:
		c.violation("%s was refused but ran", id)
	case done > 0 && runs == 0 && !c.settings.Faults:
		c.violation("%s was done but no engine ran it", id)
	}
}
