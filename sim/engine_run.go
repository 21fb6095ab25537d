package sim

import (
	"violetthread/attempt"
	"violetthread/dispatch"
	"violetthread/index"
)

// engineRun is one attempt at an engine, with the connection between gateway and engine.
type engineRun struct {
	fleet          *Fleet
	request        *callerRequest
	gateway        *Gateway
	action         dispatch.Action
	engine         *Engine
	engineProcess  int  // of the engine that it was sent to
	gatewayProcess int  // of the gateway that sent it
	closed         bool // the gateway knows its end
	received       bool // it arrived at the engine
	cancelled      bool // by the gateway
	ended          bool // the engine is done with it
	piecesSent     int
	replies        []func() // on their way to the gateway, in the order sent
}

// reply runs a task at the gateway after a delay. Replies arrive in the order sent, also
// when the gateway was frozen and takes up what it missed in another order.
func (r *engineRun) reply(delayUS int64, task func()) {
	r.replies = append(r.replies, task)
	r.fleet.World.At(r.fleet.World.now+delayUS, func() {
		r.gateway.runIn(r.gatewayProcess, func() {
			next := r.replies[0]
			r.replies = r.replies[1:]
			next()
		})
	})
}

// isCut reports whether nothing gets through between gateway and engine in a direction.
func (r *engineRun) isCut() bool { return r.fleet.World.isCut(r.gateway.Host, r.engine.Host) }

// checkEngine notices that the engine is gone before the run arrived.
func (r *engineRun) checkEngine() {
	if !r.closed && (!r.engine.up || r.engine.process != r.engineProcess) && !r.isCut() {
		r.interrupt()
	}
}

// interrupt tells the gateway that the connection broke off.
func (r *engineRun) interrupt() {
	r.ended = true
	r.reply(500, func() { r.finish(attempt.Interrupted, "engine-lost") })
}

// finish tells the gateway how the attempt ended, once.
func (r *engineRun) finish(state attempt.State, cause string) {
	if !r.closed {
		r.closed = true
		r.gateway.progress(r.action, state, cause)
	}
}

// cancel is the gateway hanging up: the engine stops when it notices.
func (r *engineRun) cancel() {
	r.cancelled = true
	r.closed = true
	r.fleet.World.At(r.fleet.World.now+600, func() {
		if !r.ended && r.engine.up && r.engine.process == r.engineProcess && !r.isCut() {
			r.release()
		}
	})
}

// release frees the engine of the run.
func (r *engineRun) release() {
	r.ended = true
	delete(r.engine.runs, r.action.AttemptID)
}

// startRun takes a run that arrived at the engine, or refuses it.
func (e *Engine) startRun(run *engineRun) {
	if run.cancelled || run.received || run.engineProcess != e.process {
		return
	}
	e.arrivalTimes = append(e.arrivalTimes, e.fleet.World.now)
	run.received = true // a connection does not repeat what it carries
	if reason := e.refuses(run.action); reason != "" {
		run.reply(400, func() { run.finish(attempt.NotStarted, reason) })
		return
	}
	e.fencingToken = run.action.Grant.FencingToken
	e.runs[run.action.AttemptID] = run
	e.fleet.checker.runStarted(e, run)
	e.startTimes = append(e.startTimes, e.fleet.World.now)
	if e.interruptsRuns {
		e.After(5_000, func() {
			run.release()
			run.interrupt()
		})
		return
	}
	e.computePrompt(run)
}

// refuses is why an engine does not take a run, "" if it does.
func (e *Engine) refuses(action dispatch.Action) string {
	switch {
	case action.Grant.NodeID != e.nodeID():
		return "other-life"
	case action.Grant.FencingToken < e.fencingToken:
		e.fleet.World.Violation("two owners' orders", "%s got a run under epoch %d after %d", e.Name, action.Grant.FencingToken, e.fencingToken)
		return "old-epoch"
	case action.Weights != e.weights || e.loading != "":
		return "other-weights"
	case len(e.runs) >= e.capacity:
		return "busy"
	}
	return ""
}

// prefix is what a run need not compute: so many blocks of its prompt, and whose run
// computed the last of them.
type prefix struct {
	blocks int
	origin blockOrigin
}

// computePrompt computes the blocks of a run's prompt that are neither held here nor
// transferred, and then sends the answer.
func (e *Engine) computePrompt(run *engineRun) {
	action := run.action
	fresh := blockOrigin{run.request.group, action.Weights, e.fleet.World.now}
	local := e.localPrefix(run, fresh)
	reused, waitedUS := e.transferPrefix(run, local)
	tally := &e.fleet.Tally
	tally.Blocks += len(action.PrefixKeys)
	tally.Reused += reused.blocks
	tally.Transferred += reused.blocks - local.blocks
	run.reply(400, func() {
		if !run.closed {
			run.gateway.progress(action, attempt.Started, "")
		}
	})
	durationUS := waitedUS + int64(len(action.PrefixKeys)-reused.blocks)*4_000
	tally.FirstUS += durationUS
	e.After(durationUS+1000, func() { e.promptComputed(run, reused, fresh) })
}

// localPrefix is the longest prefix of a run's prompt that the engine holds.
func (e *Engine) localPrefix(run *engineRun, fresh blockOrigin) prefix {
	chain := run.action.PrefixKeys
	for i := len(chain) - 1; i >= 0; i-- {
		if origin, ok := e.holdings[chain[i]]; ok {
			e.fleet.checker.blockReused(origin, run)
			return prefix{i + 1, origin}
		}
	}
	return prefix{0, fresh}
}

// transferPrefix transfers a longer prefix than the local one, if the run names a peer
// for it and that works. It returns the local one else, and for how long it waited in vain.
func (e *Engine) transferPrefix(run *engineRun, local prefix) (reused prefix, waitedUS int64) {
	action := run.action
	if action.TransferBlock+1 <= local.blocks {
		return local, 0
	}
	if e.fleet.SlowTransfersFrom[action.TransferAddr] {
		e.fleet.Tally.TransfersInVain++
		return local, action.TransferWaitUS
	}
	peer := e.fleet.engineNamed(action.TransferAddr)
	if peer == nil || !e.canTransferFrom(peer) {
		return local, 0
	}
	origin, ok := peer.holdings[action.PrefixKeys[action.TransferBlock]]
	if !ok {
		return local, 0
	}
	e.fleet.checker.blockReused(origin, run)
	return prefix{action.TransferBlock + 1, origin}, 0
}

func (e *Engine) canTransferFrom(peer *Engine) bool {
	world := e.fleet.World
	return peer.up && !peer.frozen && world.Rng.Intn(1000) >= e.fleet.TransferFailurePermille && !world.isCut(e.Host, peer.Host)
}

func (e *Engine) promptComputed(run *engineRun, reused prefix, fresh blockOrigin) {
	if run.ended || run.engineProcess != e.process {
		return
	}
	chain := run.action.PrefixKeys
	for i, key := range chain {
		if i < reused.blocks {
			e.addBlock(key, reused.origin)
		} else {
			e.addBlock(key, fresh)
		}
	}
	e.publish(index.Event{FinishedAttempt: run.action.AttemptID, RecomputedBlocks: uint64(len(chain) - reused.blocks)})
	e.sendPieces(run)
}

// sendPieces sends the next piece of the answer, and ends the run after the last.
func (e *Engine) sendPieces(run *engineRun) {
	if run.ended || run.engineProcess != e.process {
		return
	}
	if run.isCut() {
		e.After(50_000, func() { e.sendPieces(run) }) // the connection's buffers fill; nothing moves
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
