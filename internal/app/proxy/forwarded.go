package proxy

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/limits"
	"violetthread/placement"
	"violetthread/route"
)

// forwardedRequest is a caller's request while it is being forwarded. Only the goroutine that
// serves it uses it.
type forwardedRequest struct {
	server    *server
	writer    http.ResponseWriter
	request   *http.Request
	conn      *limits.Conn // of the caller
	info      RequestInfo
	view      *view // loaded when the whole request had been received; before that, when its head had
	route     *route.Route
	tenant    *route.Tenant // nil on a public route
	body      requestBody
	deadline  int64 // monotonic microseconds
	forward   attempt.Forward
	placement placement.Request
	position  streamPosition // of the caller in a stream

	invalidResponses int // that engines sent
}

const (
	// dispatchMarginUS is the least time that must be left for a further attempt.
	dispatchMarginUS = 5_000

	ejectFullUS        = 250_000 // the engine rejected a request
	ejectInterruptedUS = 400_000 // the engine failed during a request; doubles with each failure
	ejectMisdirectedUS = 300_000 // the address now belongs to another engine, or the engine has other weights; doubles
)

// run makes attempts as package attempt decides, until the request has ended.
func (f *forwardedRequest) run() {
	s := f.server
	for {
		now := clock.Now()
		decision := f.forward.Next(f.conditions(now))
		switch decision.Action {
		case attempt.ForwardSend:
			// errRetryBudget needs no handling: the next decision sees the exhausted budget and
			// ends the request.
			if err := f.send(now, decision.SpendsRetry); errors.Is(err, errNoEngine) {
				f.reject(reasonNoEngine)
				return
			}
		case attempt.ForwardDone:
			s.counts.done.Add(1)
			f.logInvalidResult(resultComplete)
			return
		case attempt.ForwardReject:
			f.reject(decision.Reason)
			return
		case attempt.ForwardLost:
			f.respondLost(decision.Reason)
			return
		default:
			// ForwardAbort: a partial response must not look complete. ForwardWait can't occur,
			// as no attempt is in flight here.
			s.counts.aborted.Add(1)
			f.logInvalidResult(resultCut)
			f.abort()
		}
	}
}

// conditions returns what the next decision depends on besides the attempts.
func (f *forwardedRequest) conditions(now int64) attempt.Conditions {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	return attempt.Conditions{TimeLeft: now < f.deadline-dispatchMarginUS, RetryAllowed: f.server.retryWindow(f.placement.Pool).Allows(now)}
}

// respondLost responds that the request may have run and that its response was lost.
func (f *forwardedRequest) respondLost(reason string) {
	f.server.counts.lost.Add(1)
	f.logInvalidResult(resultLost)
	if f.request.Context().Err() != nil {
		f.abort() // nobody is left to respond to
	}
	status := http.StatusBadGateway
	if reason == reasonDeadlinePassed {
		status = http.StatusGatewayTimeout
	}
	f.server.respondError(f.writer, status, reason, 0)
}

// reject responds that the request has not run and will not. If an earlier attempt may have run, it
// responds with reasonEngineLost instead, or aborts a response that has started.
func (f *forwardedRequest) reject(reason string) {
	s := f.server
	for _, a := range f.forward.Attempts {
		if a.State == attempt.Interrupted {
			s.counts.lost.Add(1)
			f.logInvalidResult(resultLost)
			if f.forward.HeadSent {
				f.abort()
			}
			s.respondError(f.writer, http.StatusBadGateway, reasonEngineLost, 0)
			return
		}
	}
	s.counts.rejected.Add(1)
	f.logInvalidResult(resultRejected)
	backoff := int64(backoffRefusedUS)
	if reason == reasonNoEngine {
		backoff = backoffNoEngineUS
	}
	s.respondError(f.writer, http.StatusServiceUnavailable, reason, backoff)
}

// abort closes the connection so that the response can't look complete. Content-Length or chunked
// framing shows that it was cut off; HTTP/1.0 may have neither, so there a TCP reset shows it.
func (f *forwardedRequest) abort() {
	if !f.request.ProtoAtLeast(1, 1) {
		callerConnOf(f.request.Context()).resetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// Why no attempt was made.
var (
	errNoEngine    = trace.NotFound("no engine of the pool is available; retry shortly")
	errRetryBudget = trace.LimitExceeded("this proxy's share of the fleet's retry budget is exhausted; retry shortly")
)

// send selects an engine and makes one attempt there.
func (f *forwardedRequest) send(now int64, retry bool) error {
	choice, err := f.pickEngine(now, retry)
	if err != nil {
		return err
	}
	f.placement.TriedEngines[choice.Engine.ID] = true
	id := strconv.Itoa(len(f.forward.Attempts))
	f.forward.Attempts = append(f.forward.Attempts, attempt.Attempt{ID: id, Engine: choice.Engine.ID, State: attempt.Sent})
	a := &engineAttempt{forwarded: f, choice: &choice, id: id}
	end := a.run()
	f.release(a, end)
	if f.request.Context().Err() != nil && end.state != attempt.Completed {
		f.forward.StopReason = reasonCallerGone
	}
	f.forward.Record(id, end.state, end.cause)
	return nil
}

// pickEngine selects an engine, adds the request to its load, and takes a retry from the budget.
func (f *forwardedRequest) pickEngine(now int64, retry bool) (placement.Choice, error) {
	s := f.server
	s.mu.Lock()
	defer s.mu.Unlock()
	window := s.retryWindow(f.placement.Pool)
	if retry && !window.Allows(now) {
		return placement.Choice{}, errRetryBudget
	}
	// A retry starts later than the first attempt, and weights may have become outdated since.
	f.placement.MinVersion = s.minVersion(now, f.info.Model)
	choice, ok := s.picker.Pick(now, &f.placement)
	if !ok {
		return choice, errNoEngine
	}
	s.picker.RequestSent(now, &choice)
	s.queueCacheUpdates(cacheindex.OpComputing, choice.Engine.ID, choice.NewBlocks)
	s.loadChanged()
	if retry {
		window.CountRetry(now)
		s.counts.retries.Add(1)
	}
	return choice, nil
}

// release removes an ended attempt from its engine's load, and ejects an engine that failed or
// rejected the request.
func (f *forwardedRequest) release(a *engineAttempt, end outcome) {
	now := clock.Now()
	s, engine := f.server, a.choice.Engine.ID
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.AttemptEnded(a.choice, a.started)
	s.loadChanged()
	switch {
	case end.state == attempt.NotStarted && end.cause == causeNotRun:
		s.counts.notRun.Add(1)
		s.picker.Eject(now, engine, ejectFullUS, false)
	case end.state == attempt.NotStarted && end.cause == causeMisdirected:
		s.counts.notRun.Add(1)
		s.picker.Eject(now, engine, ejectMisdirectedUS, true)
		f.placement.Misdirected = true
	case a.connectFailed:
		s.picker.Eject(now, engine, ejectInterruptedUS, true)
	case end.state == attempt.Interrupted && end.cause == reasonWeightsOutdated:
		s.counts.withdrawn.Add(1) // not the engine's fault
	case end.state == attempt.Interrupted && end.cause != reasonCallerGone && end.cause != reasonDeadlinePassed && end.cause != reasonOverloaded:
		s.counts.interrupted.Add(1)
		s.picker.Eject(now, engine, ejectInterruptedUS, true)
	}
}
