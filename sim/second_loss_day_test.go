package sim

import (
	"fmt"
	"testing"
)

// TestSecondLoss loses as many machines as may be lost at once, just after an acknowledgement
// that follows a repair, a planned replacement or a graceful shutdown, first those that hold
// the newest changes. No acknowledged change may be lost, and every slot must accept changes
// again within a bound. CI runs one instant of each; VT_SEEDS sweeps all of them, 50 ms apart.
func TestSecondLoss(t *testing.T) {
	for _, nodes := range controlSizes {
		for _, disruption := range Disruptions {
			if seeds() == 0 && nodes > 5 && disruption != DisruptionReplacement {
				continue // the largest takes longest and runs only on long runs
			}
			t.Run(fmt.Sprint(nodes, " ", disruption), func(t *testing.T) {
				t.Parallel()
				var served, rejoined int64
				runs, acks, lost := 0, 0, 0
				for _, seed := range daySeeds(1) {
					for i, loss := range secondLosses(seed, nodes, disruption) {
						r := RunSecondLoss(seed*1000+int64(i), loss)
						requireNoViolations(t, seed*1000+int64(i), r.Violations, append(r.Notes, loss.String()))
						served, rejoined = max(served, r.RecoveryUS), max(rejoined, r.RejoinUS)
						runs, acks, lost = runs+1, acks+r.Acknowledged, lost+r.Lost
					}
				}
				t.Logf("%d second losses of %d machines, %d acknowledged: all slots served after %s, limit %s; rejoined after %s, limit %s",
					runs, lost, acks, seconds(served), seconds(lossRecoveryBoundUS), seconds(rejoined), seconds(rejoinPeriodUS(nodes)))
				if lost < runs || acks < 50*runs {
					t.Error("too little activity for a meaningful result")
				}
			})
		}
	}
}

// secondLosses returns the runs of one test. On long runs this is the whole sweep, in which
// the kind of loss at each instant depends on the seed.
func secondLosses(seed int64, nodes int, disruption Disruption) (out []SecondLoss) {
	window := int64(lossWindowUS)
	if tolerates(nodes) > 1 {
		window += rejoinPeriodUS(nodes)
	}
	if seeds() == 0 {
		return []SecondLoss{{nodes, disruption, LossOfDisk, window - lossStepUS}}
	}
	for i := int64(0); i*lossStepUS < window; i++ {
		loss := Losses[(i+seed)%int64(len(Losses))]
		out = append(out, SecondLoss{nodes, disruption, loss, i * lossStepUS})
	}
	return out
}
