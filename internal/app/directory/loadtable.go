package directory

import (
	"slices"

	"violetthread/schema/fb"
)

// load is the load of the requests in progress at an engine.
type load struct {
	active, prefillTokens, memoryTokens, failures uint32
}

func unpackLoad(packed *fb.EngineLoadT) load {
	return load{packed.Active, packed.PrefillTokens, packed.MemoryTokens, packed.Failures}
}

func (l load) pack(engine uint64) *fb.EngineLoadT {
	return &fb.EngineLoadT{Node: engine, Active: l.active, PrefillTokens: l.prefillTokens, MemoryTokens: l.memoryTokens, Failures: l.failures}
}

func (l load) plus(other load) load {
	return load{l.active + other.active, l.prefillTokens + other.prefillTokens, l.memoryTokens + other.memoryTokens, l.failures + other.failures}
}

func (l load) minus(other load) load {
	return load{l.active - other.active, l.prefillTokens - other.prefillTokens, l.memoryTokens - other.memoryTokens, l.failures - other.failures}
}

// proxyID identifies one incarnation of a proxy. A restarted proxy starts its sequence numbers
// again, and has none of the requests of its previous incarnation.
type proxyID struct {
	name        string
	incarnation uint64
}

// loadChange says that a proxy's load at an engine changed.
type loadChange struct {
	proxy  proxyID
	engine uint64
}

// maxLoadChanges is how many changes are kept when older ones are trimmed, which happens at twice
// that number. A reader with an older revision receives all loads.
const maxLoadChanges = 1 << 12

// loadTable holds the sum of the proxies' loads at each engine, and the changes since earlier
// revisions. Loads of zero are not stored. It is not safe for concurrent use.
type loadTable struct {
	revision  uint64                      // starts at 1 and increases by one with each change; readers without any state use 0
	byProxy   map[proxyID]map[uint64]load // by proxy and engine
	sequences map[proxyID]uint64          // sequence number of each proxy's last report
	sums      map[uint64]load             // by engine
	changes   []loadChange                // the most recent changes; the last one led to revision
}

func newLoadTable() *loadTable {
	return &loadTable{revision: 1, byProxy: map[proxyID]map[uint64]load{}, sequences: map[proxyID]uint64{}, sums: map[uint64]load{}}
}

// set stores the loads that a proxy reports. It returns false if a newer report is known. With
// changedOnly, the loads at engines that are not in the report stay unchanged.
func (t *loadTable) set(proxy proxyID, sequence uint64, packed []*fb.EngineLoadT, changedOnly bool) bool {
	if sequence < t.sequences[proxy] {
		return false
	}
	t.sequences[proxy] = sequence
	if t.byProxy[proxy] == nil {
		t.byProxy[proxy] = map[uint64]load{}
	}
	named := make(map[uint64]bool, len(packed))
	for _, engineLoad := range packed {
		named[engineLoad.Node] = true
		t.change(proxy, engineLoad.Node, unpackLoad(engineLoad))
	}
	if changedOnly {
		return true
	}
	for engine := range t.byProxy[proxy] {
		if !named[engine] {
			t.change(proxy, engine, load{})
		}
	}
	return true
}

// change sets a proxy's load at an engine and updates the sum.
func (t *loadTable) change(proxy proxyID, engine uint64, now load) {
	known := t.byProxy[proxy][engine]
	if known == now {
		return
	}
	setLoad(t.byProxy[proxy], engine, now)
	setLoad(t.sums, engine, t.sums[engine].minus(known).plus(now))
	t.revision++
	t.changes = append(t.changes, loadChange{proxy, engine})
	if len(t.changes) > 2*maxLoadChanges {
		t.changes = slices.Clone(t.changes[maxLoadChanges:])
	}
}

// setLoad stores a load, or deletes it if it is zero.
func setLoad(loads map[uint64]load, engine uint64, now load) {
	if now == (load{}) {
		delete(loads, engine)
		return
	}
	loads[engine] = now
}

// remove deletes a proxy and its loads.
func (t *loadTable) remove(proxy proxyID) {
	for engine := range t.byProxy[proxy] {
		t.change(proxy, engine, load{})
	}
	delete(t.byProxy, proxy)
	delete(t.sequences, proxy)
}

// changesSince returns the changes after a revision, or false if they are no longer kept.
func (t *loadTable) changesSince(revision uint64) ([]loadChange, bool) {
	if revision == 0 || revision > t.revision || t.revision-revision > uint64(len(t.changes)) {
		return nil, false
	}
	return t.changes[uint64(len(t.changes))-(t.revision-revision):], true
}

// totalsExcept returns the sums over all proxies but one: of the engines where they changed after
// a revision, or of all engines if those changes are no longer kept.
func (t *loadTable) totalsExcept(except proxyID, since uint64) (out []*fb.EngineLoadT, changedOnly bool) {
	own := t.byProxy[except]
	changes, remembered := t.changesSince(since)
	if !remembered {
		for engine, sum := range t.sums {
			if rest := sum.minus(own[engine]); rest != (load{}) {
				out = append(out, rest.pack(engine))
			}
		}
		return out, false
	}
	named := map[uint64]bool{}
	for _, change := range changes {
		if change.proxy != except && !named[change.engine] {
			named[change.engine] = true
			out = append(out, t.sums[change.engine].minus(own[change.engine]).pack(change.engine))
		}
	}
	return out, true
}

// perProxy returns the loads of each proxy: at the engines where they changed after a revision, or
// at all engines if those changes are no longer kept.
func (t *loadTable) perProxy(since uint64) (out map[proxyID][]*fb.EngineLoadT, changedOnly bool) {
	out = map[proxyID][]*fb.EngineLoadT{}
	changes, remembered := t.changesSince(since)
	if !remembered {
		for proxy, loads := range t.byProxy {
			for engine, known := range loads {
				out[proxy] = append(out[proxy], known.pack(engine))
			}
		}
		return out, false
	}
	named := map[loadChange]bool{}
	for _, change := range changes {
		if !named[change] {
			named[change] = true
			out[change.proxy] = append(out[change.proxy], t.byProxy[change.proxy][change.engine].pack(change.engine))
		}
	}
	return out, true
}
