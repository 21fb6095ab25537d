package sim

import (
	"sort"

	"violetthread/cacheindex"
	"violetthread/index"
)

// Engine is a simulated engine, or the store. It counts for the judge.
type Engine struct {
	*Host
	fleet            *Fleet
	store            bool
	incarnation      uint64
	holdings         map[cacheindex.Key]blockOrigin
	evictionOrder    []cacheindex.Key
	events           []index.Event
	lastSequence     uint64
	weights          string
	loading          string
	fencingToken     uint64
	runs             map[string]*engineRun
	startTimes       []int64 // when runs began
	arrivalTimes     []int64 // when runs came, begun or refused
	capacity         int
	maxBlocks        int
	interruptsRuns   bool   // it breaks every run off
	ignoresWeights   bool   // it does not change its weights
	loadDelayUS      int64  // how much longer it takes to load others
	unreachableUntil int64  // when it last could not be told anything
	startWeights     string // weights that a start comes up with
}

const piecesPerRun = 5

// blockOrigin tells whose run computed a block, under which weights and when, in true time:
// the checker goes by that and not by the keys of blocks.
type blockOrigin struct {
	group, weights string
	madeAt         int64
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
	e.holdings, e.evictionOrder, e.events, e.lastSequence, e.loading, e.fencingToken, e.runs = map[cacheindex.Key]blockOrigin{}, nil, nil, 0, "", 0, map[string]*engineRun{}
	e.weights = e.startWeights
}

func (e *Engine) nodeID() uint64 { return cacheindex.NodeID(e.Name, e.incarnation) }

func (e *Engine) publish(event index.Event) {
	e.lastSequence++
	event.Seq = e.lastSequence
	if e.fleet.World.Rng.Intn(1000) < e.fleet.EventLossPermille {
		return // lost
	}
	e.events = append(e.events, event)
	if len(e.events) > 400 {
		e.events = e.events[200:]
	}
}

func (e *Engine) addBlock(key cacheindex.Key, origin blockOrigin) {
	if _, ok := e.holdings[key]; ok {
		return
	}
	e.holdings[key] = origin
	e.evictionOrder = append(e.evictionOrder, key)
	e.publish(index.Event{Added: true, Block: key, HasBlock: true})
	if len(e.evictionOrder) > e.maxBlocks {
		evicted := e.evictionOrder[0]
		e.evictionOrder = e.evictionOrder[1:]
		origin := e.holdings[evicted]
		delete(e.holdings, evicted)
		e.publish(index.Event{Removed: true, Block: evicted, HasBlock: true})
		if store := e.fleet.engineNamed("store"); !e.store && store != nil {
			e.Send(store.Host, func() { store.addBlock(evicted, origin) })
		}
	}
}

func (e *Engine) heldBlocks() []cacheindex.Key {
	return append([]cacheindex.Key(nil), e.evictionOrder...)
}

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

func (e *Engine) loadWeights() {
	if len(e.runs) > 0 {
		e.After(10_000, e.loadWeights)
		return
	}
	if e.weights, e.loading = e.loading, ""; true {
		e.startWeights = e.weights
	}
	for _, key := range e.evictionOrder {
		e.publish(index.Event{Removed: true, Block: key, HasBlock: true})
	}
	e.holdings, e.evictionOrder = map[cacheindex.Key]blockOrigin{}, nil
	e.fleet.World.Notef("%s turned to %s", e.Name, e.weights)
}
