package sim

import (
	"fmt"
	"testing"
)

// TestSecondLoss: after a repair, a planned replacement or a leave, as many machines as
// may be lost are lost at once, just after an acknowledgement, those first that hold the
// newest changes. Nothing that was acknowledged is lost, and every slot takes changes
// again within a bound. CI takes some instants, VT_SEEDS sweeps all, 50 ms apart.
func TestSecondLoss(t *testing.T) {
	for _, nodes := range controlSizes {
		for _, disruption := range Disruptions {
			if seeds() == 0 && nodes > 5 && disruption != DisruptionReplacement {
				continue // the largest takes longest: on long runs
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

// secondLosses are the runs of one test: the whole sweep on long runs, each instant with
// another loss for each seed.
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
