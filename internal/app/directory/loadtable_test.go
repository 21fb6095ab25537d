package directory

import (
	"fmt"
	"math/rand"
	"testing"

	"violetthread/schema/fb"
)

// loadFollower is a proxy that applies the incremental updates of a table.
type loadFollower struct {
	name  proxyID
	since uint64
	loads map[uint64]load
}

func (f *loadFollower) poll(table *loadTable) {
	changed, changedOnly := table.totalsExcept(f.name, f.since)
	if !changedOnly {
		f.loads = map[uint64]load{}
	}
	for _, packed := range changed {
		f.loads[packed.Node] = unpackLoad(packed)
	}
	f.since = table.revision
}

// TestLoadTableIncrementalFollower: after any sequence of full reports, incremental reports and
// removed proxies, a follower that receives only changes has the sum over all other proxies.
func TestLoadTableIncrementalFollower(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		table, want := newLoadTable(), map[proxyID]map[uint64]load{}
		follower := &loadFollower{name: proxyID{name: "p0"}}
		sequences := map[proxyID]uint64{}
		for range 300 {
			proxy := proxyID{name: fmt.Sprint("p", rnd.Intn(4))}
			switch rnd.Intn(8) {
			case 0:
				table.remove(proxy)
				delete(want, proxy)
			case 1:
				table.changes = table.changes[:0] // as if they were too old to be kept
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
					t.Fatalf("seed %d: a newer report is rejected", seed)
				}
			}
			follower.poll(table)
			for engine := uint64(1); engine <= 5; engine++ {
				sum := load{}
				for name, loads := range want {
					if name != follower.name {
						sum = sum.plus(loads[engine])
					}
				}
				if follower.loads[engine] != sum {
					t.Fatalf("seed %d: engine %d has load %+v, the follower has %+v", seed, engine, sum, follower.loads[engine])
				}
			}
		}
	}
}

// TestLoadTableOlderReport: a report that arrives after a newer one changes nothing, unless the
// proxy was removed in between: it may have restarted.
func TestLoadTableOlderReport(t *testing.T) {
	table := newLoadTable()
	report := func(sequence uint64, active uint32) bool {
		return table.set(proxyID{name: "p"}, sequence, []*fb.EngineLoadT{{Node: 1, Active: active}}, false)
	}
	if !report(5, 1) || report(4, 9) || !report(5, 2) {
		t.Error("an older report was accepted, or one with the same sequence number was rejected")
	}
	if got, _ := table.totalsExcept(proxyID{}, 0); len(got) != 1 || got[0].Active != 2 {
		t.Errorf("%+v", got)
	}
	table.remove(proxyID{name: "p"})
	if !report(1, 3) {
		t.Error("the first report of a restarted proxy is rejected")
	}
}

// TestLoadTableBounded: loads that have become zero and old changes are not kept.
func TestLoadTableBounded(t *testing.T) {
	table := newLoadTable()
	for engine := uint64(1); engine <= 5*maxLoadChanges; engine++ {
		table.set(proxyID{name: "p"}, engine, []*fb.EngineLoadT{{Node: engine, Active: 1}}, false)
	}
	if len(table.sums) != 1 || len(table.byProxy[proxyID{name: "p"}]) != 1 || len(table.changes) > 2*maxLoadChanges {
		t.Errorf("%d sums, %d loads and %d changes are left", len(table.sums), len(table.byProxy[proxyID{name: "p"}]), len(table.changes))
	}
	if _, changedOnly := table.totalsExcept(proxyID{}, 1); changedOnly {
		t.Error("the first changes are still kept")
	}
}
