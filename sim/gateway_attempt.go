package sim

import (
	"violetthread/attempt"
	"violetthread/dispatch"
)

// attemptNote is what an observer is told of an attempt's course.
type attemptNote struct {
	state attempt.State
	cause string
}

func (g *Gateway) progress(action dispatch.Action, st attempt.State, cause string) {
	g.fleet.World.observe("attempt", g.Name, action.AttemptID, attemptNote{st, cause})
	g.perform(g.dispatcher.AttemptProgressed(g.Clock(), action.Ref, action.AttemptID, st, cause))
}

// startRun dials an engine: a connection that fails is proof that nothing began.
func (g *Gateway) startAttempt(request *callerRequest, action dispatch.Action) {
	fleet := g.fleet
	request.attempts = append(request.attempts, action.AttemptID)
	engine := fleet.engineNamed(action.Grant.Addr)
	if g.Clock() > action.StartBefore {
		g.After(1, func() { g.progress(action, attempt.NotStarted, "woke-late") })
		return
	}
	if engine == nil || !engine.up {
		g.After(300, func() { g.progress(action, attempt.NotStarted, "unreachable") })
		return
	}
	if engine.frozen || fleet.World.cutLinks[[2]string{g.Name, engine.Name}] || fleet.World.cutLinks[[2]string{engine.Name, g.Name}] {
		g.After(400_000, func() { g.progress(action, attempt.NotStarted, "unreachable") })
		return
	}
	run := &engineRun{fleet: fleet, request: request, gateway: g, action: action, engine: engine, engineProcess: engine.process, gatewayProcess: g.process}
	request.runs[action.AttemptID] = run
	g.Send(engine.Host, func() { engine.startRun(run) })
	// A wire whose far end dies is noticed; one whose messages are lost only by
	// the due.
	g.After(5_000, func() { run.checkEngine() })
}

// out passes a piece on to the caller.
func (g *Gateway) deliverPiece(run *engineRun, n int) {
	g.fleet.World.observe("piece", g.Name, run.action.AttemptID, n)
	request := run.request
	if request.ended || g.requests[run.action.Ref] != request {
		return
	}
	if n == 0 && !g.dispatcher.AllowFirstByte(run.action.Ref, run.action.AttemptID) {
		return
	}
	if request.piecesFrom != "" && request.piecesFrom != run.action.AttemptID || n != request.pieces {
		g.fleet.World.Violation("stitched", "%s/%s got piece %d of %s after %d of %s", request.group, request.id, n, run.action.AttemptID, request.pieces, request.piecesFrom)
	}
	request.piecesFrom = run.action.AttemptID
	request.pieces++
	g.fleet.checker.pieceDelivered(request)
}
