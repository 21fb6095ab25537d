package directory

import (
	"fmt"
	"math/rand"
	"testing"

	"violetthread/schema/fb"
)

// followedLoads is a proxy that applies what the table tells it.
type followedLoads struct {
	name  proxyID
	since uint64
	loads map[uint64]load
}

func (f *followedLoads) ask(table *loadTable) {
	changed, changedOnly := table.others(f.name, f.since)
	if !changedOnly {
		f.loads = map[uint64]load{}
	}
	for _, packed := range changed {
		f.loads[packed.Node] = unpackLoad(packed)
	}
	f.since = table.revision
}

// TestLoadTableFollowed: whatever proxies report, in full or only what changed, and whoever
// vanishes, a follower that is told only changes has the sum over all proxies but itself.
func TestLoadTableFollowed(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		table, want := newLoadTable(), map[proxyID]map[uint64]load{}
		follower := &followedLoads{name: proxyID{name: "p0"}}
		sequences := map[proxyID]uint64{}
		for range 300 {
			proxy := proxyID{name: fmt.Sprint("p", rnd.Intn(4))}
			switch rnd.Intn(8) {
			case 0:
				table.forget(proxy)
				delete(want, proxy)
			case 1:
				table.changes = table.changes[:0] // they are too many
			case 2:
				follower.since = 0
			default:
				changedOnly := rnd.Intn(2) == 0
				if !changedOnly || want[proxy] == nil {
					want[proxy] = map[uint64]load{}
				}
				var packed []*fb.EngineLoadT
				for range rnd.Intn(3) {
					engine := uint64(1 + rnd.Intn(5))
					one := load{uint32(rnd.Intn(3)), uint32(rnd.Intn(1000)), uint32(rnd.Intn(1000)), uint32(rnd.Intn(3))}
					want[proxy][engine] = one
					packed = append(packed, one.pack(engine))
				}
				sequences[proxy]++
				if !table.set(proxy, sequences[proxy], packed, changedOnly) {
					t.Fatalf("seed %d: a newer report is not taken", seed)
				}
			}
			follower.ask(table)
			for engine := uint64(1); engine <= 5; engine++ {
				sum := load{}
				for name, loads := range want {
					if name != follower.name {
						sum = sum.plus(loads[engine])
					}
				}
				if follower.loads[engine] != sum {
					t.Fatalf("seed %d: engine %d has %+v, the follower knows %+v", seed, engine, sum, follower.loads[engine])
				}
			}
		}
	}
}

// TestLoadTableOlderReport: a report that was overtaken by a newer one changes nothing, until
// the proxy was forgotten: then it may have started anew.
func TestLoadTableOlderReport(t *testing.T) {
	table := newLoadTable()
	report := func(sequence uint64, active uint32) bool {
		return table.set(proxyID{name: "p"}, sequence, []*fb.EngineLoadT{{Node: 1, Active: active}}, false)
	}
	if !report(5, 1) || report(4, 9) || !report(5, 2) {
		t.Error("an older report was taken, or one of the same age was not")
	}
	if got, _ := table.others(proxyID{}, 0); len(got) != 1 || got[0].Active != 2 {
		t.Errorf("%+v", got)
	}
	table.forget(proxyID{name: "p"})
	if !report(1, 3) {
		t.Error("a proxy that started anew is not believed")
	}
}

// TestLoadTableBounded: neither engines that are gone nor old changes are kept.
func TestLoadTableBounded(t *testing.T) {
	table := newLoadTable()
	for engine := uint64(1); engine <= 5*maxLoadChanges; engine++ {
		table.set(proxyID{name: "p"}, engine, []*fb.EngineLoadT{{Node: engine, Active: 1}}, false)
	}
	if len(table.sums) != 1 || len(table.byProxy[proxyID{name: "p"}]) != 1 || len(table.changes) > 2*maxLoadChanges {
		t.Errorf("%d sums, %d loads and %d changes are left", len(table.sums), len(table.byProxy[proxyID{name: "p"}]), len(table.changes))
	}
	if _, changedOnly := table.others(proxyID{}, 1); changedOnly {
		t.Error("the first changes are still told")
	}
}
