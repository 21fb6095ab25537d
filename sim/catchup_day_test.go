package sim

import (
	"fmt"
	"testing"
)

// TestCatchupDays makes a long series of changes, some with 350 routes, while voters are down
// for a part of it, lose their disks, restart, or end at each record of a checkpoint in turn.
// A voter that is back must hold all committed changes within the period in which it still
// counts as lost, and no leader may answer with outdated state. With VT_SEEDS each day has a
// thousand changes.
func TestCatchupDays(t *testing.T) {
	for _, fault := range CatchupFaults {
		for _, nodes := range controlSizes {
			if seeds() == 0 && !(nodes == 4 && (fault == CatchupFaultWiped || fault == CatchupFaultCheckpoint)) {
				continue // the others only on long runs
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

// catchupChanges returns the number of changes of a day.
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
