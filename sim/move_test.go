package sim

import (
	"slices"
	"testing"

	"violetthread/dispatch"
	"violetthread/index"
)

// TestMoveCost: what it costs when an index node's roles move, because it died or
// was stopped politely: how long roles have no owner, how long engines are out of
// use at gateways, and what is read and told anew. VT_SEEDS runs more seeds.
func TestMoveCost(t *testing.T) {
	t.Parallel()
	n := seeds()
	for _, polite := range []bool{false, true} {
		var orphan, out, settled []int64
		moved, resyncs, failed, sent := 0, uint64(0), 0, 0
		for seed := int64(1); seed <= max(n, 2); seed++ {
			fleet := NewFleet(seed, FleetSize{Gateways: 9, Engines: 18})
			operator := NewFleetOperator(fleet)
			world := fleet.World
			world.At(1_300_000, func() { operator.PutPlan(nil) })
			world.At(2_500_000, func() { fleet.sendRequests(operator, 16_000_000) })
			world.Run(8_000_000)
			indexNode := fleet.busiestIndexNode("duty/engine/")
			moved += len(indexNode.node.HeldRoles(indexNode.Clock()))
			was := uint64(0)
			for _, x := range fleet.IndexNodes {
				was += x.node.Counters.Resyncs
			}
			lone, last := map[string]int64{}, int64(0) // role -> how long nobody held it
			idle := int64(0)                           // engine-microseconds out of use, over gateways
			const step = 10_000
			if polite {
				indexNode.leaving = true
			} else {
				indexNode.Kill()
			}
			from := fleet.Tally
			for world.now < 16_000_000 && len(world.violations) == 0 {
				world.Run(world.now + step)
				held := map[string]bool{}
				for _, x := range fleet.IndexNodes {
					if x.up {
						for _, d := range x.node.HeldRoles(x.Clock()) {
							held[d] = true
						}
					}
				}
				all := true
				for _, engine := range fleet.Engines {
					if d := index.EngineRole(engine.Name); !held[d] {
						lone[d] += step
						all = false
					}
				}
				for i := 0; i < index.Shards; i++ {
					if d := index.ShardRole(i); !held[d] {
						lone[d] += step
						all = false
					}
				}
				if !all {
					last = world.now - 8_000_000
				}
				for _, gateway := range fleet.Gateways {
					for _, engine := range fleet.Engines {
						if !engine.store && gateway.dispatcher.GrantAge(gateway.Clock(), engine.Name) > dispatch.MaxGrantAge {
							idle += step
						}
					}
				}
			}
			if len(world.violations) > 0 {
				t.Fatalf("seed %d: %v", seed, world.violations)
			}
			for _, durationUS := range lone {
				orphan = append(orphan, durationUS)
			}
			if len(lone) == 0 {
				orphan = append(orphan, 0)
			}
			settled = append(settled, last)
			out = append(out, idle/9)
			for _, x := range fleet.IndexNodes {
				if x != indexNode {
					resyncs += x.node.Counters.Resyncs
				}
			}
			resyncs -= min(resyncs, was-indexNode.node.Counters.Resyncs)
			failed += fleet.Tally.Rejected - from.Rejected
			sent += fleet.Tally.Sent - from.Sent
			if last > 5_000_000 {
				t.Errorf("seed %d: a duty had no owner after %d us", seed, last)
			}
		}
		slices.Sort(orphan)
		slices.Sort(out)
		slices.Sort(settled)
		mid := func(x []int64) float64 { return float64(x[len(x)/2]) / 1e6 }
		top := func(x []int64) float64 { return float64(x[len(x)-1]) / 1e6 }
		t.Logf("| polite %v | %d duties moved | without an owner, each: %.2f s, %.2f s at worst | all have one after %.2f s, %.2f s | engines out of use: %.1f, %.1f engine-seconds at a proxy | %d keeps read whole | %d of %d tickets refused |",
			polite, moved, mid(orphan), top(orphan), mid(settled), top(settled), mid(out), top(out), resyncs, failed, sent)
	}
}
