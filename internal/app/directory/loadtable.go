package directory

import (
	"slices"

	"violetthread/schema/fb"
)

// load is what is under way at an engine.
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

// proxyID is one incarnation of a proxy. A proxy that starts again counts its reports from the
// beginning, and has nothing under way of what its former incarnation had.
type proxyID struct {
	name        string
	incarnation uint64
}

// loadChange is a change of what a proxy has under way at an engine.
type loadChange struct {
	proxy  proxyID
	engine uint64
}

// maxLoadChanges is how many changes are remembered; who knows an older revision is told
// everything.
const maxLoadChanges = 1 << 12

// loadTable sums what the proxies have under way at each engine, and tells what changed since
// a revision. Only what is not zero is kept. It is not safe for concurrent use.
type loadTable struct {
	revision  uint64                      // rises by one with each change, from 1; 0 stands for knowing nothing
	byProxy   map[proxyID]map[uint64]load // by the proxy and the engine
	sequences map[proxyID]uint64          // of what each proxy told last
	sums      map[uint64]load             // by engine
	changes   []loadChange                // the last ones; the very last led to revision
}

func newLoadTable() *loadTable {
	return &loadTable{revision: 1, byProxy: map[proxyID]map[uint64]load{}, sequences: map[proxyID]uint64{}, sums: map[uint64]load{}}
}

// set takes in what a proxy has under way; false if something newer is known. With changedOnly,
// engines that are not named stay as they are.
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

// change puts what a proxy has at an engine, and corrects the sum.
func (t *loadTable) change(proxy proxyID, engine uint64, now load) {
	known := t.byProxy[proxy][engine]
	if known == now {
		return
	}
	putLoad(t.byProxy[proxy], engine, now)
	putLoad(t.sums, engine, t.sums[engine].minus(known).plus(now))
	t.revision++
	t.changes = append(t.changes, loadChange{proxy, engine})
	if len(t.changes) > 2*maxLoadChanges {
		t.changes = slices.Clone(t.changes[maxLoadChanges:])
	}
}

// putLoad keeps a load unless it is zero.
func putLoad(loads map[uint64]load, engine uint64, now load) {
	if now == (load{}) {
		delete(loads, engine)
		return
	}
	loads[engine] = now
}

// forget drops a proxy that is not heard of any more.
func (t *loadTable) forget(proxy proxyID) {
	for engine := range t.byProxy[proxy] {
		t.change(proxy, engine, load{})
	}
	delete(t.byProxy, proxy)
	delete(t.sequences, proxy)
}

// changesSince lists the changes after a revision; false if they are not remembered.
func (t *loadTable) changesSince(revision uint64) ([]loadChange, bool) {
	if revision == 0 || revision > t.revision || t.revision-revision > uint64(len(t.changes)) {
		return nil, false
	}
	return t.changes[uint64(len(t.changes))-(t.revision-revision):], true
}

// others lists what all proxies but one have under way: at the engines where that changed after
// a revision, or everywhere if that is not remembered.
func (t *loadTable) others(except proxyID, since uint64) (out []*fb.EngineLoadT, changedOnly bool) {
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

// ofProxies lists what each proxy has under way: at the engines where that changed after a
// revision, or everywhere if that is not remembered.
func (t *loadTable) ofProxies(since uint64) (out map[proxyID][]*fb.EngineLoadT, changedOnly bool) {
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
