package proxy

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/placement"
	"violetthread/route"
)

// forwardedRequest is one caller's request on its way. It belongs to the goroutine that serves
// it.
type forwardedRequest struct {
	server      *server
	writer      http.ResponseWriter
	request     *http.Request
	info        RequestInfo
	view        *view // in force when the request had arrived whole
	route       *route.Route
	tenant      *route.Tenant // nil on a public route
	body        []byte
	deadline    int64 // monotonic microseconds
	forward     attempt.Forward
	placement   placement.Request
	lastEventID string // id of the last event that went out
}

const (
	// dispatchMarginUS is the least time that must be left for another attempt.
	dispatchMarginUS = 5_000

	ejectFullUS        = 250_000 // an engine that rejected a request
	ejectInterruptedUS = 400_000 // an engine that broke off; doubles with each failure
	ejectMisdirectedUS = 300_000 // an address that is another engine's now, or has other weights; doubles
)

// run takes one step after the other until the request has ended.
func (f *forwardedRequest) run() {
	s := f.server
	for {
		now := clock.Now()
		decision := f.forward.Next(f.conditions(now))
		switch decision.Action {
		case attempt.ForwardSend:
			// errRetryBudget needs nothing here: Next sees the spent budget, and ends the request.
			if err := f.send(now, decision.SpendsRetry); errors.Is(err, errNoEngine) {
				f.reject(reasonNoEngine)
				return
			}
		case attempt.ForwardDone:
			s.counts.done.Add(1)
			return
		case attempt.ForwardReject:
			f.reject(decision.Reason)
			return
		case attempt.ForwardLost:
			f.respondLost(decision.Reason)
			return
		default: // ForwardAbort; ForwardWait can't come, as no attempt is in flight here. What went out must not look complete.
			s.counts.aborted.Add(1)
			f.abort()
		}
	}
}

// conditions are what the decision rests on beside the attempts.
func (f *forwardedRequest) conditions(now int64) attempt.Conditions {
	f.server.mu.Lock()
	defer f.server.mu.Unlock()
	return attempt.Conditions{TimeLeft: now < f.deadline-dispatchMarginUS, RetryAllowed: f.server.retryWindow(f.placement.Pool).Allows(now)}
}

// respondLost says that the request may have run and has no answer.
func (f *forwardedRequest) respondLost(reason string) {
	f.server.counts.lost.Add(1)
	if f.request.Context().Err() != nil {
		f.abort() // nobody is there to read it
	}
	status := http.StatusBadGateway
	if reason == reasonDeadlinePassed {
		status = http.StatusGatewayTimeout
	}
	f.server.respondError(f.writer, status, reason, 0)
}

// reject answers that the request has not run and will not. If an attempt may have run, and
// no engine was left for another, it answers engine-lost instead.
func (f *forwardedRequest) reject(reason string) {
	s := f.server
	for _, a := range f.forward.Attempts {
		if a.State == attempt.Interrupted {
			s.counts.lost.Add(1)
			if f.forward.HeadSent {
				f.abort()
			}
			s.respondError(f.writer, http.StatusBadGateway, reasonEngineLost, 0)
			return
		}
	}
	s.counts.rejected.Add(1)
	backoff := int64(backoffRefusedUS)
	if reason == reasonNoEngine {
		backoff = backoffNoEngineUS
	}
	s.respondError(f.writer, http.StatusServiceUnavailable, reason, backoff)
}

// abort ends the connection so that the answer can't look complete: chunks and lengths tell,
// and where there may be neither, a reset does.
func (f *forwardedRequest) abort() {
	if !f.request.ProtoAtLeast(1, 1) {
		callerConnOf(f.request.Context()).resetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// Why no attempt was made.
var (
	errNoEngine    = trace.NotFound("no engine of the pool is in use; come back shortly")
	errRetryBudget = trace.LimitExceeded("further attempts are bounded over the whole fleet; come back shortly")
)

// send selects an engine and makes one attempt at it.
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

// pickEngine selects an engine, counts the request there, and spends the budget of a retry.
func (f *forwardedRequest) pickEngine(now int64, retry bool) (placement.Choice, error) {
	s := f.server
	s.mu.Lock()
	defer s.mu.Unlock()
	window := s.retryWindow(f.placement.Pool)
	if retry && !window.Allows(now) {
		return placement.Choice{}, errRetryBudget
	}
	// A later attempt begins later: weights may have gone out of date since the first.
	f.placement.MinVersion = s.minVersion(now, f.info.Model)
	choice, ok := s.picker.Pick(now, &f.placement)
	if !ok {
		return choice, errNoEngine
	}
	s.picker.RequestSent(now, &choice)
	s.reportReads(cacheindex.OpComputing, choice.Engine.ID, choice.NewBlocks)
	s.loadChanged()
	if retry {
		window.CountRetry(now)
		s.counts.retries.Add(1)
	}
	return choice, nil
}

// release takes an attempt that has ended off its engine's load, and ejects an engine that
// failed or rejected it.
func (f *forwardedRequest) release(a *engineAttempt, end outcome) {
	now := clock.Now()
	s, engine := f.server, a.choice.Engine.ID
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.AttemptEnded(a.choice, a.began)
	s.loadChanged()
	switch {
	case end.state == attempt.NotStarted && end.cause == causeNotRun:
		s.counts.notRun.Add(1)
		s.picker.Eject(now, engine, ejectFullUS, false)
	case end.state == attempt.NotStarted && end.cause == causeMisdirected:
		s.counts.notRun.Add(1)
		s.picker.Eject(now, engine, ejectMisdirectedUS, true)
		f.placement.Misdirected = true
	case a.unreached:
		s.picker.Eject(now, engine, ejectInterruptedUS, true)
	case end.state == attempt.Interrupted && end.cause == reasonWeightsOutdated:
		s.counts.withdrawn.Add(1) // the engine is not to blame
	case end.state == attempt.Interrupted && end.cause != reasonCallerGone && end.cause != reasonDeadlinePassed:
		s.counts.interrupted.Add(1)
		s.picker.Eject(now, engine, ejectInterruptedUS, true)
	}
}
