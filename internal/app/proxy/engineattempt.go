package proxy

import (
	"context"
	"net/http"

	"violetthread/attempt"
	"violetthread/internal/clock"
	"violetthread/placement"
)

// engineAttempt is one attempt of a request at one engine.
type engineAttempt struct {
	forwarded *forwardedRequest
	choice    *placement.Choice
	id        string // in the forwarded request's record
	conn      *engineConn

	unreached bool // no connection came about, and the caller is not the reason
	began     bool // the engine has answered with content
	withdrawn bool // it had not begun shortly before the bound on newer weights
	resumes   bool // it goes on with a stream that another engine began
}

// outcome is how an attempt ended.
type outcome struct {
	state attempt.State
	cause string
}

// Causes of attempts that never began, beside attempt.Unreachable.
const (
	causeNotRun      = "skipped" // the engine says that it did not run it
	causeMisdirected = "other"   // the address is another engine's, or it has other weights
)

var (
	completed   = outcome{state: attempt.Completed}
	nothingSent = outcome{attempt.NotStarted, attempt.Unreachable}
)

// lateAnswerUS is how much later than the caller's deadline an engine may answer.
const lateAnswerUS = 120_000

// run sends the request and relays the answer as far as it comes.
func (a *engineAttempt) run() outcome {
	s, engine := a.forwarded.server, a.choice.Engine
	s.counts.prefillTokens.Add(int64(a.choice.PrefillTokens))
	s.counts.transferTokens.Add(int64(a.choice.TransferTokens))
	s.counts.cachedTokens.Add(int64(a.choice.CachedTokens))
	ctx := a.forwarded.request.Context()
	if !a.connect(ctx) {
		return nothingSent
	}
	stop := context.AfterFunc(ctx, a.conn.kill)
	end, answer := a.exchange()
	// A connection is kept only after a complete answer, and if nobody has killed it.
	if answer != nil && !answer.Close && stop() {
		s.pool.put(engine.Pool, engine.ID, a.conn, answer.Header)
		return end
	}
	stop()
	a.conn.kill()
	return end
}

// connect takes a connection of the pool, or makes one.
func (a *engineAttempt) connect(ctx context.Context) bool {
	s, engine := a.forwarded.server, a.choice.Engine
	a.conn = s.pool.get(engine.ID)
	if a.conn != nil {
		return true
	}
	conn, err := s.pool.dial(ctx, engine.Addr)
	a.conn = conn
	a.unreached = err != nil && ctx.Err() == nil
	return err == nil
}

// exchange sends the request over the attempt's connection and deals with the answer. It
// returns the answer if that was read to its end.
func (a *engineAttempt) exchange() (outcome, *http.Response) {
	f, s := a.forwarded, a.forwarded.server
	// Looked at again at the moment of dispatch: the machine may have slept.
	now := clock.Now()
	switch {
	case s.view.Load().age(now) > s.maxConfigAgeUS():
		f.forward.StopReason = reasonConfigNotFresh
		return nothingSent, nil
	case now >= f.deadline || now >= a.beginLimit():
		return nothingSent, nil
	}
	a.setLimit(now, a.waitLimit(now))
	s.counts.sends.Add(1)
	_, writeErr := a.conn.Write(a.encodeRequest(now))
	answer, info, end := a.readHead()
	if answer == nil {
		return end, nil
	}
	a.reportLoad(info)
	switch {
	case info.NotRun: // an engine may refuse a request before it has read it whole
		return a.notRun(answer)
	case writeErr != nil:
		return a.interrupted(reasonEngineLost), nil
	}
	if cause := rejectAnswer(answer, info); cause != "" {
		return a.interrupted(cause), nil
	}
	if end = a.relay(answer); end != completed {
		return end, nil
	}
	return end, answer
}

// reportLoad tells placement what the engine reported of its load.
func (a *engineAttempt) reportLoad(info ResponseInfo) {
	if !info.HasLoad {
		return
	}
	s := a.forwarded.server
	s.mu.Lock()
	defer s.mu.Unlock()
	s.picker.ReportLoad(clock.Now(), a.choice.Engine.ID, info.Waiting)
}

// interrupted is the outcome of an attempt that was sent and lost.
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
