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

func newEngine(f *Fleet, name, site string, store bool) *Engine {
	e := &Engine{fleet: f, store: store, capacity: 12, maxBlocks: 120, startWeights: "w1"}
	e.Host = f.World.NewHost(name, site, e.start)
	e.onStop = func() {
		for _, a := range e.attemptIDs() {
			e.runs[a].interrupt()
		}
	}
	return e
}

func (e *Engine) attemptIDs() []string {
	var as []string
	for a := range e.runs {
		as = append(as, a)
	}
	sort.Strings(as)
	return as
}

func (e *Engine) start() {
	e.incarnation = uint64(e.fleet.World.Rng.Int63())
	e.holdings, e.evictionOrder, e.events, e.lastSequence, e.loading, e.fencingToken, e.runs = map[cacheindex.Key]blockOrigin{}, nil, nil, 0, "", 0, map[string]*engineRun{}
	e.weights = e.startWeights
}

func (e *Engine) nodeID() uint64 { return cacheindex.NodeID(e.Name, e.incarnation) }

func (e *Engine) publish(v index.Event) {
	e.lastSequence++
	v.Seq = e.lastSequence
	if e.fleet.World.Rng.Intn(1000) < e.fleet.EventLossPermille {
		return // lost
	}
	e.events = append(e.events, v)
	if len(e.events) > 400 {
		e.events = e.events[200:]
	}
}

func (e *Engine) addBlock(k cacheindex.Key, m blockOrigin) {
	if _, ok := e.holdings[k]; ok {
		return
	}
	e.holdings[k] = m
	e.evictionOrder = append(e.evictionOrder, k)
	e.publish(index.Event{Added: true, Block: k, HasBlock: true})
	if len(e.evictionOrder) > e.maxBlocks {
		o := e.evictionOrder[0]
		e.evictionOrder = e.evictionOrder[1:]
		m := e.holdings[o]
		delete(e.holdings, o)
		e.publish(index.Event{Removed: true, Block: o, HasBlock: true})
		if st := e.fleet.engineNamed("store"); !e.store && st != nil {
			e.Send(st.Host, func() { st.addBlock(o, m) })
		}
	}
}

func (e *Engine) heldBlocks() []cacheindex.Key {
	return append([]cacheindex.Key(nil), e.evictionOrder...)
}

func (e *Engine) report(inc, after uint64) index.Report {
	r := index.Report{Incarnation: e.incarnation, Weights: e.weights, Running: len(e.runs), Capacity: e.capacity, LastSeq: e.lastSequence}
	if e.loading != "" {
		r.Capacity = 0
	}
	if inc == e.incarnation {
		for _, v := range e.events {
			if v.Seq > after {
				r.Events = append(r.Events, v)
			}
		}
	}
	return r
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
	for _, k := range e.evictionOrder {
		e.publish(index.Event{Removed: true, Block: k, HasBlock: true})
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

func (r *engineRun) finish(s attempt.State, cause string) {
	if !r.closed {
		r.closed = true
		r.gateway.progress(r.action, s, cause)
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
func (e *Engine) startRun(r *engineRun) {
	a := r.action
	if r.cancelled || r.received || r.engineProcess != e.process {
		return
	}
	e.arrivalTimes = append(e.arrivalTimes, e.fleet.World.now)
	r.received = true // a wire does not repeat what it carries
	why := ""
	switch {
	case a.Grant.NodeID != e.nodeID():
		why = "other-life"
	case a.Grant.FencingToken < e.fencingToken:
		why = "old-epoch"
		e.fleet.World.Violation("two owners' orders", "%s got a run under epoch %d after %d", e.Name, a.Grant.FencingToken, e.fencingToken)
	case a.Weights != e.weights || e.loading != "":
		why = "other-weights"
	case len(e.runs) >= e.capacity:
		why = "busy"
	}
	if why != "" {
		r.reply(400, func() { r.finish(attempt.NotStarted, why) })
		return
	}
	e.fencingToken = a.Grant.FencingToken
	e.runs[a.AttemptID] = r
	e.fleet.checker.runStarted(e, r)
	e.startTimes = append(e.startTimes, e.fleet.World.now)
	if e.interruptsRuns {
		e.After(5_000, func() {
			r.release()
			r.interrupt()
		})
		return
	}
	fresh := blockOrigin{r.request.group, a.Weights, e.fleet.World.now}
	reused := fresh
	have := 0
	for i := len(a.Chain) - 1; i >= 0; i-- {
		if m, ok := e.holdings[a.Chain[i]]; ok {
			have, reused = i+1, m
			e.fleet.checker.blockReused(m, r)
			break
		}
	}
	own, vain := have, int64(0)
	if a.TransferBlock+1 > have {
		if e.fleet.SlowTransfersFrom[a.TransferAddr] {
			vain = a.TransferWaitUS // the bound on waiting, then a plain recompute
			e.fleet.Tally.TransfersInVain++
		} else if p := e.fleet.engineNamed(a.TransferAddr); p != nil && p.up && !p.frozen && e.fleet.World.Rng.Intn(1000) >= e.fleet.TransferFailurePermille && !e.fleet.World.cutLinks[[2]string{e.Name, p.Name}] && !e.fleet.World.cutLinks[[2]string{p.Name, e.Name}] {
			if m, ok := p.holdings[a.Chain[a.TransferBlock]]; ok {
				e.fleet.checker.blockReused(m, r)
				have, reused = a.TransferBlock+1, m
			}
		}
	}
	e.fleet.Tally.Blocks += len(a.Chain)
	e.fleet.Tally.Reused += have
	e.fleet.Tally.Transferred += have - own
	r.reply(400, func() {
		if !r.closed {
			r.gateway.progress(a, attempt.Started, "")
		}
	})
	fill := vain + int64(len(a.Chain)-have)*4_000
	e.fleet.Tally.FirstUS += fill
	e.After(fill+1000, func() {
		if r.ended || r.engineProcess != e.process {
			return
		}
		for i, k := range a.Chain {
			if i < have {
				e.addBlock(k, reused)
			} else {
				e.addBlock(k, fresh)
			}
		}
		e.publish(index.Event{FinishedAttempt: a.AttemptID, RecomputedBytes: uint64(len(a.Chain) - have)})
		e.sendPieces(r)
	})
}

func (e *Engine) sendPieces(r *engineRun) {
	if r.ended || r.engineProcess != e.process {
		return
	}
	if r.isCut() {
		e.After(50_000, func() { e.sendPieces(r) }) // the wire's buffers fill; nothing moves
		return
	}
	if r.piecesSent < piecesPerRun {
		n := r.piecesSent
		r.piecesSent++
		r.reply(400, func() {
			if !r.closed {
				r.gateway.deliverPiece(r, n)
			}
		})
		e.After(int64(20_000+e.fleet.World.Rng.Intn(60_000))+r.request.pieceDelayUS, func() { e.sendPieces(r) })
		return
	}
	r.release()
	r.reply(400, func() { r.finish(attempt.Completed, "") })
}
