package directory

import "violetthread/schema/fb"

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

// revisedLoad is a load and the revision of its table in which it changed last.
type revisedLoad struct {
	load
	revision uint64
}

// loadTable sums what the proxies have under way at each engine, and tells what changed since
// a revision. It is not safe for concurrent use.
type loadTable struct {
	revision  uint64                             // rises with each change
	byProxy   map[string]map[uint64]*revisedLoad // by the proxy's name and the engine
	sequences map[string]uint64                  // of what each proxy told last
	sums      map[uint64]*revisedLoad            // by engine
}

func newLoadTable() *loadTable {
	return &loadTable{byProxy: map[string]map[uint64]*revisedLoad{}, sequences: map[string]uint64{}, sums: map[uint64]*revisedLoad{}}
}

// set takes in what a proxy has under way; false if something newer is known. With changedOnly,
// engines that are not named stay as they are.
func (t *loadTable) set(proxy string, sequence uint64, packed []*fb.EngineLoadT, changedOnly bool) bool {
	if sequence < t.sequences[proxy] {
		return false
	}
	t.sequences[proxy] = sequence
	if t.byProxy[proxy] == nil {
		t.byProxy[proxy] = map[uint64]*revisedLoad{}
	}
	named := map[uint64]bool{}
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
func (t *loadTable) change(proxy string, engine uint64, now load) {
	known := t.byProxy[proxy][engine]
	if known == nil {
		known = &revisedLoad{}
		t.byProxy[proxy][engine] = known
	}
	if known.load == now {
		return
	}
	t.revision++
	sum := t.sums[engine]
	if sum == nil {
		sum = &revisedLoad{}
		t.sums[engine] = sum
	}
	*sum = revisedLoad{sum.minus(known.load).plus(now), t.revision}
	*known = revisedLoad{now, t.revision}
}

// forget drops a proxy that is not heard of any more.
func (t *loadTable) forget(proxy string) {
	for engine := range t.byProxy[proxy] {
		t.change(proxy, engine, load{})
	}
	delete(t.byProxy, proxy)
	delete(t.sequences, proxy)
}

// keepEngines drops what is known of engines that are gone.
func (t *loadTable) keepEngines(live map[uint64]bool) {
	for engine, sum := range t.sums {
		if sum.load == (load{}) && !live[engine] {
			delete(t.sums, engine)
			for _, loads := range t.byProxy {
				delete(loads, engine)
			}
		}
	}
}

// others lists what all proxies but one have under way, at engines where that changed since a
// revision; since 0, where there is anything.
func (t *loadTable) others(except string, since uint64) (out []*fb.EngineLoadT) {
	own := t.byProxy[except]
	for engine, sum := range t.sums {
		if sum.revision <= since {
			continue
		}
		rest := sum.load
		if mine := own[engine]; mine != nil {
			rest = rest.minus(mine.load)
		}
		if since > 0 || rest != (load{}) {
			out = append(out, rest.pack(engine))
		}
	}
	return out
}

// ofProxy lists what a proxy has under way, at engines where that changed since a revision;
// since 0, where there is anything.
func (t *loadTable) ofProxy(proxy string, since uint64) (out []*fb.EngineLoadT) {
	for engine, known := range t.byProxy[proxy] {
		if known.revision > since && (since > 0 || known.load != (load{})) {
			out = append(out, known.pack(engine))
		}
	}
	return out
}
