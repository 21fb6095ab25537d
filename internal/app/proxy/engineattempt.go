package proxy

import (
	"context"
	"net/http"

	"violetthread/attempt"
	"violetthread/internal/clock"
	"violetthread/internal/eventstream"
	"violetthread/placement"
)

// engineAttempt is one attempt to run a request on one engine.
type engineAttempt struct {
	forwarded *forwardedRequest
	choice    *placement.Choice
	id        string // in forwardedRequest.forward
	conn      *engineConn

	connectFailed bool // connecting failed, and not because the caller had gone
	started       bool // the engine has started the content of its response
	withdrawn     bool // the engine had not started shortly before the deadline for the newer weights
	resuming      bool // continues a stream that another engine started

	events    int                   // of a stream, passed on to the caller
	violation eventstream.Violation // the first one of the response; empty for none
}

// outcome is how an attempt ended.
type outcome struct {
	state attempt.State
	cause string
}

// Causes of attempts that did not start, in addition to attempt.Unreachable.
const (
	causeNotRun      = "skipped" // the engine says that it did not run the request
	causeMisdirected = "other"   // the address now belongs to another engine, or the engine has other weights
)

var (
	completed   = outcome{state: attempt.Completed}
	nothingSent = outcome{attempt.NotStarted, attempt.Unreachable}
)

// responseGraceUS is how long after the caller's deadline an engine's response is still accepted.
const responseGraceUS = 120_000

// run sends the request and relays the response as far as it arrives.
func (a *engineAttempt) run() outcome {
	s, engine := a.forwarded.server, a.choice.Engine
	s.counts.prefillTokens.Add(int64(a.choice.PrefillTokens))
	s.counts.transferTokens.Add(int64(a.choice.TransferTokens))
	s.counts.cachedTokens.Add(int64(a.choice.CachedTokens))
	ctx := a.forwarded.request.Context()
	if !a.connect(ctx) {
		return nothingSent
	}
	stop := context.AfterFunc(ctx, a.conn.reset)
	end, response := a.exchange()
	// A connection is pooled only after a complete response, and only if it was not reset meanwhile
	// because the caller had gone.
	if response != nil && !response.Close && stop() {
		s.pool.put(engine.Pool, engine.ID, a.conn, response.Header)
		return end
	}
	stop()
	a.conn.reset()
	return end
}

// connect takes a connection from the pool, or dials a new one.
func (a *engineAttempt) connect(ctx context.Context) bool {
	s, engine := a.forwarded.server, a.choice.Engine
	a.conn = s.pool.get(engine.ID)
	if a.conn != nil {
		return true
	}
	conn, err := s.pool.dial(ctx, engine.Addr)
	a.conn = conn
	a.connectFailed = err != nil && ctx.Err() == nil
	return err == nil
}

// exchange sends the request on the attempt's connection and handles the response. It returns the
// response if that was read to its end.
func (a *engineAttempt) exchange() (outcome, *http.Response) {
	f, s := a.forwarded, a.forwarded.server
	// Checked again right before sending: the machine may have been suspended since.
	now := clock.Now()
	switch {
	case s.view.Load().age(now) > s.maxConfigAgeUS():
		f.forward.StopReason = reasonConfigNotFresh
		return nothingSent, nil
	case now >= f.deadline || now >= a.startDeadline():
		return nothingSent, nil
	}
	a.setConnDeadline(now, a.waitDeadline(now))
	s.counts.sends.Add(1)
	writeErr := a.sendRequest(now)
	response, info, end := a.readHead()
	if response == nil {
		return end, nil
	}
	a.reportLoad(info)
	switch {
	case info.NotRun: // an engine may reject a request before it has read all of it
		end, response = a.notRun(response)
		if writeErr != nil {
			response = nil // the engine still expects the rest of the request on this connection
		}
		return end, response
	case writeErr != nil:
		return a.interrupted(reasonEngineLost), nil
	}
	switch cause := rejectReason(response, info); cause {
	case "":
	case reasonEngineMalformed:
		return a.invalidResponse(unsealedResponse), nil
	default:
		return a.interrupted(cause), nil
	}
	if end = a.relay(response); end != completed {
		return end, nil
	}
	return end, response
}

// reportLoad passes the load that the engine reported on to placement.
func (a *engineAttempt) reportLoad(info ResponseInfo) {
	if !info.HasLoad {
		return
	}
	s := a.forwarded.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.ReportLoad(clock.Now(), a.choice.Engine.ID, info.Waiting)
}

// interrupted returns the outcome of an attempt that was sent and failed after that.
func (a *engineAttempt) interrupted(cause string) outcome {
	switch {
	case a.forwarded.request.Context().Err() != nil:
		cause = reasonCallerGone
	case a.withdrawn:
		cause = reasonWeightsOutdated
	case clock.Now() >= a.forwarded.deadline:
		cause = reasonDeadlinePassed
	}
	return outcome{attempt.Interrupted, cause}
}
