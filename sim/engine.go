package sim

import (
	"sort"

	"violetthread/cacheindex"
	"violetthread/index"
)

// Engine is a simulated engine, or the store, which only takes blocks that engines evict.
type Engine struct {
	*Host
	fleet     *Fleet
	store     bool
	capacity  int // runs at once
	maxBlocks int // that it holds

	incarnation   uint64
	holdings      map[cacheindex.Key]blockOrigin
	evictionOrder []cacheindex.Key // the oldest first
	events        []index.Event    // the last ones
	lastSequence  uint64           // of its events
	weights       string
	loading       string // weights that it is about to load, "" for none
	startWeights  string // that it loads at a start
	fencingToken  uint64 // highest that it was told
	runs          map[string]*engineRun

	interruptsRuns bool  // it breaks every run off
	ignoresWeights bool  // it does not load other weights
	loadDelayUS    int64 // how much longer it takes to load weights

	// For the checker and tests, in true time:
	startTimes       []int64 // when runs began
	arrivalTimes     []int64 // when runs arrived, begun or refused
	unreachableUntil int64   // when it could last not be told anything
}

const (
	piecesPerRun    = 5   // of an answer
	maxEngineEvents = 400 // that an engine keeps; then the older half goes
)

// blockOrigin tells whose run computed a block, under which weights and when, in true time:
// the checker goes by that and not by the keys of blocks.
type blockOrigin struct {
	group, weights string
	computedAt     int64
}

func newEngine(fleet *Fleet, name, zone string, store bool) *Engine {
	engine := &Engine{fleet: fleet, store: store, capacity: 12, maxBlocks: 120, startWeights: "w1"}
	engine.Host = fleet.World.NewHost(name, zone, engine.start)
	engine.onStop = func() {
		for _, id := range engine.attemptIDs() {
			engine.runs[id].interrupt()
		}
	}
	return engine
}

// attemptIDs are those of the runs under way, in an order that does not depend on the map.
func (e *Engine) attemptIDs() []string {
	var ids []string
	for id := range e.runs {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (e *Engine) start() {
	e.incarnation = uint64(e.fleet.World.Rng.Int63())
	e.holdings, e.evictionOrder = map[cacheindex.Key]blockOrigin{}, nil
	e.events, e.lastSequence = nil, 0
	e.weights, e.loading, e.fencingToken = e.startWeights, "", 0
	e.runs = map[string]*engineRun{}
}

func (e *Engine) nodeID() uint64 { return cacheindex.NodeID(e.Name, e.incarnation) }

// publish adds an event for the index node that polls the engine, unless it gets lost.
func (e *Engine) publish(event index.Event) {
	e.lastSequence++
	event.Seq = e.lastSequence
	if e.fleet.World.Rng.Intn(1000) < e.fleet.EventLossPermille {
		return // lost
	}
	e.events = append(e.events, event)
	if len(e.events) > maxEngineEvents {
		e.events = e.events[maxEngineEvents/2:]
	}
}

// addBlock adds a block, if it is not held already.
func (e *Engine) addBlock(key cacheindex.Key, origin blockOrigin) {
	if _, ok := e.holdings[key]; ok {
		return
	}
	e.holdings[key] = origin
	e.evictionOrder = append(e.evictionOrder, key)
	e.publish(index.Event{Added: true, Block: key, HasBlock: true})
	if len(e.evictionOrder) > e.maxBlocks {
		e.evictOldest()
	}
}

// evictOldest drops the block that was added first. An engine's goes to the store.
func (e *Engine) evictOldest() {
	evicted := e.evictionOrder[0]
	e.evictionOrder = e.evictionOrder[1:]
	origin := e.holdings[evicted]
	delete(e.holdings, evicted)
	e.publish(index.Event{Removed: true, Block: evicted, HasBlock: true})
	if store := e.fleet.engineNamed("store"); !e.store && store != nil {
		e.Send(store.Host, func() { store.addBlock(evicted, origin) })
	}
}

func (e *Engine) heldBlocks() []cacheindex.Key {
	return append([]cacheindex.Key(nil), e.evictionOrder...)
}

// report answers a poll with the events after a number, if they are of this incarnation.
func (e *Engine) report(incarnation, after uint64) index.Report {
	report := index.Report{Incarnation: e.incarnation, Weights: e.weights, Running: len(e.runs), Capacity: e.capacity, LastSeq: e.lastSequence}
	if e.loading != "" {
		report.Capacity = 0
	}
	if incarnation == e.incarnation {
		for _, event := range e.events {
			if event.Seq > after {
				report.Events = append(report.Events, event)
			}
		}
	}
	return report
}

// updateWeights loads other weights once the runs under way have ended.
func (e *Engine) updateWeights(name string, token uint64) {
	if token < e.fencingToken || e.ignoresWeights {
		return
	}
	e.fencingToken = token
	if name == e.weights && e.loading == "" || name == e.loading {
		return
	}
	first := e.loading == ""
	e.loading = name
	if first {
		e.After(800_000+e.loadDelayUS, e.loadWeights)
	}
}

// loadWeights waits for the runs under way, and then drops all blocks with the old weights.
func (e *Engine) loadWeights() {
	if len(e.runs) > 0 {
		e.After(10_000, e.loadWeights)
		return
	}
	e.weights, e.loading = e.loading, ""
	e.startWeights = e.weights
	for _, key := range e.evictionOrder {
		e.publish(index.Event{Removed: true, Block: key, HasBlock: true})
	}
	e.holdings, e.evictionOrder = map[cacheindex.Key]blockOrigin{}, nil
	e.fleet.World.Notef("%s turned to %s", e.Name, e.weights)
}
