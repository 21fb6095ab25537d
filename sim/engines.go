package sim

import (
	"sort"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/dispatch"
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

// made tells whose run computed a part, under which weights and when, in true
// time: the judge goes by that and not by the names that the parts go by.
type blockOrigin struct {
	group, weights string
	madeAt         int64
}

func newEngine(fleet *Fleet, name, site string, store bool) *Engine {
	engine := &Engine{fleet: fleet, store: store, capacity: 12, maxBlocks: 120, startWeights: "w1"}
	engine.Host = fleet.World.NewHost(name, site, engine.start)
	engine.onStop = func() {
		for _, a := range engine.attemptIDs() {
			engine.runs[a].interrupt()
		}
	}
	return engine
}

func (e *Engine) attemptIDs() []string {
	var ids []string
	for a := range e.runs {
		ids = append(ids, a)
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

func (e *Engine) report(inc, after uint64) index.Report {
	report := index.Report{Incarnation: e.incarnation, Weights: e.weights, Running: len(e.runs), Capacity: e.capacity, LastSeq: e.lastSequence}
	if e.loading != "" {
		report.Capacity = 0
	}
	if inc == e.incarnation {
		for _, event := range e.events {
			if event.Seq > after {
				report.Events = append(report.Events, event)
			}
		}
	}
	return report
}

// turn changes weights once what runs has ended.
func (e *Engine) updateWeights(name string, epoch uint64) {
	if epoch < e.fencingToken || e.ignoresWeights {
		return
	}
	e.fencingToken = epoch
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

// run is one attempt at an engine, with the wire between.
type engineRun struct {
	fleet          *Fleet
	request        *callerRequest
	gateway        *Gateway
	action         dispatch.Action
	engine         *Engine
	engineProcess  int
	gatewayProcess int
	closed         bool // the proxy's side knows its end
	received       bool
	cancelled      bool // cancelled
	ended          bool // the engine's side is done with it
	piecesSent     int
	replies        []func()
}

// reply carries a word from the engine to the proxy over the run's wire.
func (r *engineRun) reply(d int64, f func()) {
	r.replies = append(r.replies, f)
	r.fleet.World.At(r.fleet.World.now+d, func() {
		r.gateway.runIn(r.gatewayProcess, func() { // in the order sent, whatever the order of waking
			f := r.replies[0]
			r.replies = r.replies[1:]
			f()
		})
	})
}

func (r *engineRun) isCut() bool {
	world := r.fleet.World
	return world.cutLinks[[2]string{r.gateway.Name, r.engine.Name}] || world.cutLinks[[2]string{r.engine.Name, r.gateway.Name}]
}

// watch notices that the far end is gone before it ever heard of the run.
func (r *engineRun) checkEngine() {
	if !r.closed && (!r.engine.up || r.engine.process != r.engineProcess) && !r.isCut() {
		r.interrupt()
	}
}

// broke tells the proxy that the wire broke off.
func (r *engineRun) interrupt() {
	r.ended = true
	r.reply(500, func() { r.finish(attempt.Interrupted, "engine-lost") })
}

func (r *engineRun) finish(state attempt.State, cause string) {
	if !r.closed {
		r.closed = true
		r.gateway.progress(r.action, state, cause)
	}
}

// cancel is the proxy hanging up: the engine stops when it hears of it.
func (r *engineRun) cancel() {
	r.cancelled = true
	r.closed = true
	r.fleet.World.At(r.fleet.World.now+600, func() {
		if !r.ended && r.engine.up && r.engine.process == r.engineProcess && !r.isCut() {
			r.release()
		}
	})
}

func (r *engineRun) release() {
	r.ended = true
	delete(r.engine.runs, r.action.AttemptID)
}

// begin is a run arriving at the engine.
func (e *Engine) startRun(run *engineRun) {
	action := run.action
	if run.cancelled || run.received || run.engineProcess != e.process {
		return
	}
	e.arrivalTimes = append(e.arrivalTimes, e.fleet.World.now)
	run.received = true // a wire does not repeat what it carries
	why := ""
	switch {
	case action.Grant.NodeID != e.nodeID():
		why = "other-life"
	case action.Grant.FencingToken < e.fencingToken:
		why = "old-epoch"
		e.fleet.World.Violation("two owners' orders", "%s got a run under epoch %d after %d", e.Name, action.Grant.FencingToken, e.fencingToken)
	case action.Weights != e.weights || e.loading != "":
		why = "other-weights"
	case len(e.runs) >= e.capacity:
		why = "busy"
	}
	if why != "" {
		run.reply(400, func() { run.finish(attempt.NotStarted, why) })
		return
	}
	e.fencingToken = action.Grant.FencingToken
	e.runs[action.AttemptID] = run
	e.fleet.checker.runStarted(e, run)
	e.startTimes = append(e.startTimes, e.fleet.World.now)
	if e.interruptsRuns {
		e.After(5_000, func() {
			run.release()
			run.interrupt()
		})
		return
	}
	fresh := blockOrigin{run.request.group, action.Weights, e.fleet.World.now}
	reused := fresh
	have := 0
	for i := len(action.Chain) - 1; i >= 0; i-- {
		if origin, ok := e.holdings[action.Chain[i]]; ok {
			have, reused = i+1, origin
			e.fleet.checker.blockReused(origin, run)
			break
		}
	}
	own, vain := have, int64(0)
	if action.TransferBlock+1 > have {
		if e.fleet.SlowTransfersFrom[action.TransferAddr] {
			vain = action.TransferWaitUS // the bound on waiting, then a plain recompute
			e.fleet.Tally.TransfersInVain++
		} else if p := e.fleet.engineNamed(action.TransferAddr); p != nil && p.up && !p.frozen && e.fleet.World.Rng.Intn(1000) >= e.fleet.TransferFailurePermille && !e.fleet.World.cutLinks[[2]string{e.Name, p.Name}] && !e.fleet.World.cutLinks[[2]string{p.Name, e.Name}] {
			if origin, ok := p.holdings[action.Chain[action.TransferBlock]]; ok {
				e.fleet.checker.blockReused(origin, run)
				have, reused = action.TransferBlock+1, origin
			}
		}
	}
	e.fleet.Tally.Blocks += len(action.Chain)
	e.fleet.Tally.Reused += have
	e.fleet.Tally.Transferred += have - own
	run.reply(400, func() {
		if !run.closed {
			run.gateway.progress(action, attempt.Started, "")
		}
	})
	fill := vain + int64(len(action.Chain)-have)*4_000
	e.fleet.Tally.FirstUS += fill
	e.After(fill+1000, func() {
		if run.ended || run.engineProcess != e.process {
			return
		}
		for i, key := range action.Chain {
			if i < have {
				e.addBlock(key, reused)
			} else {
				e.addBlock(key, fresh)
			}
		}
		e.publish(index.Event{FinishedAttempt: action.AttemptID, RecomputedBytes: uint64(len(action.Chain) - have)})
		e.sendPieces(run)
	})
}

func (e *Engine) sendPieces(run *engineRun) {
	if run.ended || run.engineProcess != e.process {
		return
	}
	if run.isCut() {
		e.After(50_000, func() { e.sendPieces(run) }) // the wire's buffers fill; nothing moves
		return
	}
	if run.piecesSent < piecesPerRun {
		n := run.piecesSent
		run.piecesSent++
		run.reply(400, func() {
			if !run.closed {
				run.gateway.deliverPiece(run, n)
			}
		})
		e.After(int64(20_000+e.fleet.World.Rng.Intn(60_000))+run.request.pieceDelayUS, func() { e.sendPieces(run) })
		return
	}
	run.release()
	run.reply(400, func() { run.finish(attempt.Completed, "") })
}
