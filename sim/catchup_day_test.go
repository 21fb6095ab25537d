package sim

import (
	"fmt"
	"testing"
)

// TestCatchupDays: a long row of changes, some of 350 routes, with members down for a part
// of it, wiped, restarted, or ended at each record of a checkpoint. A member that is back
// holds all that is committed within the time for which it counts as lost, and nobody
// answers with old state. VT_SEEDS runs a thousand changes each.
func TestCatchupDays(t *testing.T) {
	for _, fault := range CatchupFaults {
		for _, nodes := range controlSizes {
			if seeds() == 0 && !(nodes == 4 && (fault == CatchupFaultWiped || fault == CatchupFaultCheckpoint)) {
				continue // the others on long runs
			}
			t.Run(fmt.Sprint(fault, " ", nodes), func(t *testing.T) {
				t.Parallel()
				var sum CatchupResult
				for _, seed := range daySeeds(1) {
					r := RunCatchup(seed, nodes, catchupChanges(), fault, platformFormat)
					requireNoViolations(t, seed, r.Violations, r.Notes)
					sum.add(r)
				}
				t.Logf("%d changes, %d of 350 routes, %d faults, %d checkpoints, %d interrupted, %d leaders: caught up after %s, limit %s",
					sum.Changes, sum.Large, sum.Faults, sum.Checkpoints, sum.InterruptedCheckpoints, sum.Leaders, seconds(sum.SlowestCatchupUS), seconds(rejoinPeriodUS(nodes)))
				if sum.Faults == 0 || sum.Large == 0 || sum.SlowestCatchupUS == 0 {
					t.Error("too little activity for a meaningful result")
				}
			})
		}
	}
}

// catchupChanges is how many changes a day has.
func catchupChanges() int {
	if seeds() > 0 {
		return 1000
	}
	return 100
}

func (r *CatchupResult) add(o CatchupResult) {
	r.Changes += o.Changes
	r.Large += o.Large
	r.Faults += o.Faults
	r.Checkpoints += o.Checkpoints
	r.InterruptedCheckpoints += o.InterruptedCheckpoints
	r.Leaders += o.Leaders
	r.SlowestCatchupUS = max(r.SlowestCatchupUS, o.SlowestCatchupUS)
}
