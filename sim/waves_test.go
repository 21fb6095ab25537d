package sim

import (
	"testing"

	"violetthread/attempt"
)

// TestWaves checks that new weights reach a full-size fleet in waves, even if an index node
// dies meanwhile. Half of the engines must serve at any time, and hardly any request may fail
// because of it. VT_SEEDS runs more seeds.
func TestWaves(t *testing.T) {
	t.Parallel()
	n := seeds()
	minServing, worst := 18, int64(0)
	for seed := int64(1); seed <= max(n, 2); seed++ {
		fleet := NewFleet(seed, FleetSize{Gateways: 9, Engines: 18})
		operator := NewFleetOperator(fleet)
		world := fleet.World
		world.At(1_300_000, func() { operator.PutPlan(nil) })
		world.At(2_500_000, func() { fleet.sendRequests(operator, 30_000_000) })
		world.At(6_000_000, operator.ChangeWeights)
		world.At(8_000_000, func() { fleet.IndexNodes[seed%4].Kill() })
		done, lostByReason := int64(0), map[string]int{}
		fleet.checker.onRequestEnded = func(request *callerRequest, outcome attempt.Outcome) {
			if outcome != attempt.Done && request.reason != "duplicate" {
				lostByReason[request.reason]++
			}
		}
		var poll func()
		poll = func() {
			serving, old := 0, 0
			for _, engine := range fleet.Engines {
				if engine.store {
					continue
				}
				if engine.loading == "" {
					serving++
				}
				if engine.weights != "w2" {
					old++
				}
			}
			minServing = min(minServing, serving)
			if old == 0 && done == 0 {
				done = world.now - 6_000_000
			}
			world.At(world.now+20_000, poll)
		}
		world.At(6_000_000, poll)
		world.Run(32_000_000)
		if len(world.violations) > 0 {
			t.Fatalf("seed %d: %v", seed, world.violations)
		}
		if done == 0 || done > 20_000_000 {
			t.Errorf("seed %d: all engines had the new weights after %d us", seed, done)
		}
		// Requests that engines refuse while loading may use up the retries.
		if fleet.Tally.Rejected*100 > fleet.Tally.Sent || lostByReason["engine-lost"] > 0 {
			t.Errorf("seed %d: of %d requests, failures %v", seed, fleet.Tally.Sent, lostByReason)
		}
		worst = max(worst, done)
	}
	t.Logf("at least %d of 18 engines served; all had the new weights after %.1f s at most", minServing, float64(worst)/1e6)
	if minServing < 9 {
		t.Errorf("only %d of 18 engines served", minServing)
	}
}
