package sim

import (
	"slices"
	"testing"

	"violetthread/dispatch"
	"violetthread/index"
)

// TestMoveCost measures the cost of moving an index node's roles after a crash or a graceful
// shutdown: how long roles have no holder, how long engines are out of use at gateways, and
// how many holdings are read in full again. VT_SEEDS runs more seeds.
func TestMoveCost(t *testing.T) {
	t.Parallel()
	runs := seeds()
	for _, graceful := range []bool{false, true} {
		var withoutHolderUS, outOfUseUS, recoveredUS []int64
		moved, resyncs, failed, sent := 0, uint64(0), 0, 0
		for seed := int64(1); seed <= max(runs, 2); seed++ {
			fleet := NewFleet(seed, FleetSize{Gateways: 9, Engines: 18})
			operator := NewFleetOperator(fleet)
			world := fleet.World
			world.At(1_300_000, func() { operator.PutPlan(nil) })
			world.At(2_500_000, func() { fleet.sendRequests(operator, 16_000_000) })
			world.Run(8_000_000)
			indexNode := fleet.busiestIndexNode("duty/engine/")
			moved += len(indexNode.node.HeldRoles(indexNode.Clock()))
			resyncsBefore := uint64(0)
			for _, other := range fleet.IndexNodes {
				resyncsBefore += other.node.Counters.Resyncs
			}
			withoutHolder, lastWithoutHolder := map[string]int64{}, int64(0) // by role: how long it had no holder
			outOfUse := int64(0)                                             // engine-microseconds out of use, summed over gateways
			const step = 10_000
			if graceful {
				indexNode.leaving = true
			} else {
				indexNode.Kill()
			}
			from := fleet.Tally
			for world.now < 16_000_000 && len(world.violations) == 0 {
				world.Run(world.now + step)
				held := map[string]bool{}
				for _, other := range fleet.IndexNodes {
					if other.up {
						for _, role := range other.node.HeldRoles(other.Clock()) {
							held[role] = true
						}
					}
				}
				all := true
				for _, engine := range fleet.Engines {
					if role := index.EngineRole(engine.Name); !held[role] {
						withoutHolder[role] += step
						all = false
					}
				}
				for i := 0; i < index.Shards; i++ {
					if role := index.ShardRole(i); !held[role] {
						withoutHolder[role] += step
						all = false
					}
				}
				if !all {
					lastWithoutHolder = world.now - 8_000_000
				}
				for _, gateway := range fleet.Gateways {
					for _, engine := range fleet.Engines {
						if !engine.store && gateway.dispatcher.GrantAge(gateway.Clock(), engine.Name) > dispatch.MaxGrantAge {
							outOfUse += step
						}
					}
				}
			}
			if len(world.violations) > 0 {
				t.Fatalf("seed %d: %v", seed, world.violations)
			}
			for _, durationUS := range withoutHolder {
				withoutHolderUS = append(withoutHolderUS, durationUS)
			}
			if len(withoutHolder) == 0 {
				withoutHolderUS = append(withoutHolderUS, 0)
			}
			recoveredUS = append(recoveredUS, lastWithoutHolder)
			outOfUseUS = append(outOfUseUS, outOfUse/9)
			for _, other := range fleet.IndexNodes {
				if other != indexNode {
					resyncs += other.node.Counters.Resyncs
				}
			}
			resyncs -= min(resyncs, resyncsBefore-indexNode.node.Counters.Resyncs)
			failed += fleet.Tally.Rejected - from.Rejected
			sent += fleet.Tally.Sent - from.Sent
			if lastWithoutHolder > 5_000_000 {
				t.Errorf("seed %d: a role had no holder after %d us", seed, lastWithoutHolder)
			}
		}
		slices.Sort(withoutHolderUS)
		slices.Sort(outOfUseUS)
		slices.Sort(recoveredUS)
		median := func(other []int64) float64 { return float64(other[len(other)/2]) / 1e6 }
		worst := func(other []int64) float64 { return float64(other[len(other)-1]) / 1e6 }
		t.Logf("| graceful %v | %d roles moved | without a holder, each: %.2f s, %.2f s at worst | all held after %.2f s, %.2f s | engines out of use: %.1f, %.1f engine-seconds per gateway | %d full resyncs of holdings | %d of %d requests rejected |",
			graceful, moved, median(withoutHolderUS), worst(withoutHolderUS), median(recoveredUS), worst(recoveredUS), median(outOfUseUS), worst(outOfUseUS), resyncs, failed, sent)
	}
}
