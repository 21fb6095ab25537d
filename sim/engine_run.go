package sim

import (
	"violetthread/attempt"
	"violetthread/dispatch"
	"violetthread/index"
)

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
