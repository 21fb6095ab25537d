package proxy

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"violetthread/attempt"
	"violetthread/internal/clock"
	"violetthread/placement"
	"violetthread/route"
)

// passage is one caller's request on its way.
type passage struct {
	c         *carrier
	w         http.ResponseWriter
	r         *http.Request
	ask       RequestInfo
	view      *view // in force when the request had come whole
	route     *route.Route
	tenant    *route.Tenant // nil on a public route
	body      []byte
	deadline  int64
	ledger    attempt.Forward
	placing   placement.Request
	lastEvent string // id of the last event that went out
}

const (
	// dispatchMarginUS is the least time that must be left for another attempt.
	dispatchMarginUS = 5_000

	restFullUS  = 250_000 // for an engine that turned a request away
	restLostUS  = 400_000 // for an engine that broke off; doubles with each failure
	restOtherUS = 300_000 // for an address that is another engine's now, or has other weights; doubles
)

// run derives the next move from the ledger until the request has ended.
func (p *passage) run() {
	c := p.c
	for {
		now := clock.Now()
		move := p.ledger.Next(p.facts(now))
		switch move.Action {
		case attempt.ForwardSend:
			// A budget that was spent meanwhile is seen at the next move.
			if err := p.place(now, move.SpendsRetry); errors.Is(err, errNoEngine) {
				p.refuse(reasonNoEngine)
				return
			}
		case attempt.ForwardDone:
			c.counts.done.Add(1)
			return
		case attempt.ForwardReject:
			p.refuse(move.Reason)
			return
		case attempt.ForwardLost:
			p.lost(move.Reason)
			return
		default: // PassCut: whatever came so far must not look whole
			c.counts.cut.Add(1)
			p.abort()
		}
	}
}

// facts are what the ledger has to know beside its attempts.
func (p *passage) facts(now int64) attempt.Conditions {
	p.c.mu.Lock()
	defer p.c.mu.Unlock()
	return attempt.Conditions{TimeLeft: now < p.deadline-dispatchMarginUS, RetryAllowed: p.c.budget(p.placing.Pool).Allows(now)}
}

// lost says that the request may have run and has no answer.
func (p *passage) lost(reason string) {
	p.c.counts.lost.Add(1)
	if p.r.Context().Err() != nil {
		p.abort() // nobody is there to read it
	}
	status := http.StatusBadGateway
	if reason == reasonDuePassed {
		status = http.StatusGatewayTimeout
	}
	p.c.respondError(p.w, status, reason, 0)
}

// refuse promises that the request has not run and will not; it says that it is lost if
// an attempt may have run.
func (p *passage) refuse(reason string) {
	c := p.c
	for _, a := range p.ledger.Attempts {
		if a.State == attempt.Interrupted {
			c.counts.lost.Add(1)
			if p.ledger.HeadSent {
				p.abort()
			}
			c.respondError(p.w, http.StatusBadGateway, reasonEngineLost, 0)
			return
		}
	}
	c.counts.refused.Add(1)
	backoff := int64(backoffRefused)
	if reason == reasonNoEngine {
		backoff = backoffNoEngine
	}
	c.respondError(p.w, http.StatusServiceUnavailable, reason, backoff)
}

// abort ends the connection so that the answer can't look whole: chunks and lengths tell,
// and where there may be neither, a reset does.
func (p *passage) abort() {
	if !p.r.ProtoAtLeast(1, 1) {
		callerConnOf(p.r.Context()).resetOnClose()
	}
	panic(http.ErrAbortHandler)
}

// Why no attempt was made.
var (
	errNoEngine    = trace.NotFound("no engine of the pool is in use; come back shortly")
	errRetryBudget = trace.LimitExceeded("further attempts are bounded over the whole fleet; come back shortly")
)

// place chooses an engine and makes one attempt at it.
func (p *passage) place(now int64, retry bool) error {
	choice, err := p.choose(now, retry)
	if err != nil {
		return err
	}
	p.placing.TriedEngines[choice.Engine.ID] = true
	id := strconv.Itoa(len(p.ledger.Attempts))
	p.ledger.Attempts = append(p.ledger.Attempts, attempt.Attempt{ID: id, Engine: choice.Engine.ID, State: attempt.Sent})
	a := &engineAttempt{p: p, choice: &choice, id: id}
	end := a.run()
	p.settle(now, a, end)
	if p.r.Context().Err() != nil && end.state != attempt.Completed {
		p.ledger.StopReason = reasonCallerGone
	}
	p.ledger.Record(id, end.state, end.cause)
	return nil
}

// choose picks an engine, counts the request there, and spends the budget of a retry.
func (p *passage) choose(now int64, retry bool) (placement.Choice, error) {
	c := p.c
	c.mu.Lock()
	defer c.mu.Unlock()
	budget := c.budget(p.placing.Pool)
	if retry && !budget.Allows(now) {
		return placement.Choice{}, errRetryBudget
	}
	// A later attempt begins later: weights may have gone out of date since the first.
	p.placing.MinVersion = c.leastVersion(now, p.ask.Model)
	choice, ok := c.pick.Pick(now, &p.placing)
	if !ok {
		return choice, errNoEngine
	}
	c.pick.RequestSent(&choice)
	if retry {
		budget.CountRetry(now)
		c.counts.more.Add(1)
	}
	return choice, nil
}

// settle takes an attempt that has ended off its engine's load, and lets an engine rest
// that failed or turned it away.
func (p *passage) settle(now int64, a *engineAttempt, end outcome) {
	c, engine := p.c, a.choice.Engine.ID
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pick.AttemptEnded(a.choice, a.began)
	switch {
	case end.state == attempt.NotStarted && end.cause == causeSkipped:
		c.counts.skipped.Add(1)
		c.pick.Eject(now, engine, restFullUS, false)
	case end.state == attempt.NotStarted && end.cause == causeOther:
		c.counts.skipped.Add(1)
		c.pick.Eject(now, engine, restOtherUS, true)
		p.placing.Misdirected = true
	case a.unreached:
		c.pick.Eject(clock.Now(), engine, restLostUS, true)
	case end.state == attempt.Interrupted && end.cause != reasonCallerGone && end.cause != reasonDuePassed:
		c.counts.broken.Add(1)
		c.pick.Eject(clock.Now(), engine, restLostUS, true)
	}
}
