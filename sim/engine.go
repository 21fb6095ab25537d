package sim

import (
	"sort"

	"violetthread/cacheindex"
	"violetthread/index"
)

// Engine is a simulated engine, or the store, which only holds blocks that engines evict.
type Engine struct {
	*Host
	fleet     *Fleet
	store     bool
	capacity  int // limit of concurrent runs
	maxBlocks int // limit of blocks held

	incarnation   uint64
	holdings      map[cacheindex.Key]blockOrigin
	evictionOrder []cacheindex.Key // oldest first
	events        []index.Event    // most recent events
	lastSequence  uint64           // sequence number of the last event
	weights       string
	loading       string // weights that are to be loaded, "" for none
	startWeights  string // weights that are loaded at a start
	fencingToken  uint64 // highest fencing token received
	runs          map[string]*engineRun

	interruptsRuns bool  // every run is interrupted
	ignoresWeights bool  // updates of the weights are ignored
	loadDelayUS    int64 // additional time for loading weights

	// For the checker and tests, in true time:
	startTimes       []int64 // when runs started
	arrivalTimes     []int64 // when runs arrived, whether started or refused
	unreachableUntil int64   // when the engine was last unreachable for a weight update
}

const (
	piecesPerRun    = 5   // pieces of an answer
	maxEngineEvents = 400 // limit of the events kept; above it the older half is dropped
)

// blockOrigin tells which group's run computed a block, under which weights and when, in true
// time. The checker relies on it instead of the blocks' keys.
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

// attemptIDs returns the attempt IDs of the current runs in sorted order, independent of map
// order.
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

// publish adds an event for the index node that polls the engine, or loses it at random.
func (e *Engine) publish(event index.Event) {
	e.lastSequence++
	event.Seq = e.lastSequence
	if e.fleet.World.Rng.Intn(1000) < e.fleet.EventLossPermille {
		return
	}
	e.events = append(e.events, event)
	if len(e.events) > maxEngineEvents {
		e.events = e.events[maxEngineEvents/2:]
	}
}

// addBlock adds a block, unless the engine already holds it.
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

// evictOldest evicts the block that was added first. Blocks of an engine go to the store.
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

// report answers a poll with the events after a sequence number, if the poll is for this
// incarnation.
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

// updateWeights loads other weights once the current runs have ended.
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

// loadWeights waits for the current runs to end, then switches the weights and drops all
// blocks.
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
	e.fleet.World.Notef("%s loaded weights %s", e.Name, e.weights)
}
