package sim

import (
	"violetthread/attempt"
	"violetthread/dispatch"
)

// attemptProgress is the progress of an attempt as reported to an observer.
type attemptProgress struct {
	state attempt.State
	cause string
}

// progress reports the progress of an attempt to the dispatcher.
func (g *Gateway) progress(action dispatch.Action, state attempt.State, cause string) {
	g.fleet.World.observe("attempt", g.Name, action.AttemptID, attemptProgress{state, cause})
	g.perform(g.dispatcher.AttemptProgressed(g.Clock(), action.Ref, action.AttemptID, state, cause))
}

// startAttempt connects to an engine. If the connection fails, the run certainly did not
// start.
func (g *Gateway) startAttempt(request *callerRequest, action dispatch.Action) {
	fleet := g.fleet
	request.attempts = append(request.attempts, action.AttemptID)
	engine := fleet.engineNamed(action.Grant.Addr)
	failAfter := func(delayUS int64, cause string) {
		g.After(delayUS, func() { g.progress(action, attempt.NotStarted, cause) })
	}
	switch {
	case g.Clock() > action.StartBefore:
		failAfter(1, "woke-late")
	case engine == nil || !engine.up:
		failAfter(300, "unreachable")
	case engine.frozen || fleet.World.isCut(g.Host, engine.Host):
		failAfter(400_000, "unreachable")
	default:
		g.sendRun(&engineRun{fleet: fleet, request: request, gateway: g, action: action, engine: engine, engineProcess: engine.process, gatewayProcess: g.process})
	}
}

// sendRun sends a run. If the engine dies before the run arrives, the gateway notices soon; a
// lost message is noticed only at the deadline.
func (g *Gateway) sendRun(run *engineRun) {
	run.request.runs[run.action.AttemptID] = run
	g.Send(run.engine.Host, func() { run.engine.startRun(run) })
	g.After(5_000, func() { run.checkEngine() })
}

// deliverPiece forwards a piece of the answer to the caller.
func (g *Gateway) deliverPiece(run *engineRun, number int) {
	g.fleet.World.observe("piece", g.Name, run.action.AttemptID, number)
	request := run.request
	if request.ended || g.requests[run.action.Ref] != request {
		return
	}
	if number == 0 && !g.dispatcher.AllowFirstByte(run.action.Ref, run.action.AttemptID) {
		return
	}
	if request.piecesFrom != "" && request.piecesFrom != run.action.AttemptID || number != request.pieces {
		g.fleet.World.Violation("stitched", "%s/%s got piece %d of attempt %s after %d pieces of %s", request.group, request.id, number, run.action.AttemptID, request.pieces, request.piecesFrom)
	}
	request.piecesFrom = run.action.AttemptID
	request.pieces++
	g.fleet.checker.pieceDelivered(request)
}
