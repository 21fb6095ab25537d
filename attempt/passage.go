package attempt

// A passage is the ledger of a request that is passed through unopened (design §14).
// Its attempts are the Attempts of a ticket; what differs is who may have run twice:
// the operator's route says so, and how many engines one try may reach.

// Passage is all that is known of one request on its way.
type Forward struct {
	Repeatable bool // it may run again: it is repeatable, or a stream that can be resumed
	Resumable  bool // a stream that may go on at another engine after its head is out
	MaxEngines int  // engines that it may be sent to
	Attempts   []Attempt
	HeadSent   bool // the head of an answer has gone to the caller
	StopReason string
	Ended      bool
}

// PassDo is what to do next with a passage.
type ForwardAction uint8

// The moves. PassRefuse promises that it has not run and will not; PassLost says that it
// may have; PassCut breaks the answer off so that it can't look whole.
const (
	ForwardWait ForwardAction = iota + 1
	ForwardSend
	ForwardDone
	ForwardReject
	ForwardLost
	ForwardAbort
)

// PassMove is the next move. Retry says that placing it spends the budget.
type ForwardDecision struct {
	Action        ForwardAction
	Reason        string
	CancelAttempt string
	SpendsRetry   bool
}

// sent counts the attempts that reached an engine, or may have.
func (f *Forward) enginesReached() (n int) {
	for _, a := range f.Attempts {
		if a.State != NotStarted || a.Cause != Unreachable {
			n++
		}
	}
	return n
}

// Unreachable is the cause of an attempt of which nothing reached an engine.
const Unreachable = "unreachable"

// Next derives the move. It changes nothing.
func (f *Forward) Next(conditions Conditions) ForwardDecision {
	if f.Ended {
		return ForwardDecision{Action: ForwardWait}
	}
	var broken *Attempt
	for i := range f.Attempts {
		switch a := &f.Attempts[i]; a.State {
		case Completed:
			return ForwardDecision{Action: ForwardDone}
		case Sent, Started:
			if f.StopReason == "" {
				return ForwardDecision{Action: ForwardWait}
			}
			if f.HeadSent {
				return ForwardDecision{Action: ForwardAbort, Reason: f.StopReason, CancelAttempt: a.ID}
			}
			return ForwardDecision{Action: ForwardLost, Reason: f.StopReason, CancelAttempt: a.ID}
		case Interrupted:
			broken = a
		}
	}
	n := f.enginesReached()
	more := f.StopReason == "" && conditions.TimeLeft && n < f.MaxEngines && (n == 0 || conditions.RetryAllowed)
	if broken != nil {
		switch {
		case more && (f.HeadSent && f.Resumable || !f.HeadSent && f.Repeatable):
			return ForwardDecision{Action: ForwardSend, SpendsRetry: true}
		case f.HeadSent:
			return ForwardDecision{Action: ForwardAbort, Reason: broken.Cause}
		}
		return ForwardDecision{Action: ForwardLost, Reason: broken.Cause}
	}
	// Every attempt, if there was one, provably never began.
	switch {
	case more:
		return ForwardDecision{Action: ForwardSend, SpendsRetry: n > 0}
	case f.HeadSent:
		return ForwardDecision{Action: ForwardAbort, Reason: "no-engine"}
	case f.StopReason != "":
		return ForwardDecision{Action: ForwardReject, Reason: f.StopReason}
	case !conditions.TimeLeft:
		return ForwardDecision{Action: ForwardReject, Reason: "due-unreachable"}
	case n >= f.MaxEngines && n > 0:
		return ForwardDecision{Action: ForwardReject, Reason: "engines-full"}
	}
	return ForwardDecision{Action: ForwardReject, Reason: "retry-budget"}
}

// Note sets an attempt's state; it never moves backwards.
func (f *Forward) Record(id string, s State, cause string) bool {
	l := History{Attempts: f.Attempts}
	return l.Record(id, s, cause)
}

// Window bounds sends beyond each request's first over a sliding span, as a part of
// the requests seen in it plus an allowance (design §14). It counts in steps: sends for
// a step longer than the span, requests for a step less, so that it never errs upwards.
type RetryWindow struct {
	Ratio     float64
	Allowance float64
	SpanUS    int64
	requests  [windowSteps + 2]int
	retries   [windowSteps + 2]int
	step      int64
	started   bool
}

const windowSteps = 20

func (w *RetryWindow) advance(now int64) {
	n := now / max(w.SpanUS/windowSteps, 1)
	k := int64(len(w.requests))
	if !w.started || n-w.step >= k {
		w.requests, w.retries = [windowSteps + 2]int{}, [windowSteps + 2]int{}
		w.step, w.started = n, true
		return
	}
	for w.step < n {
		w.step++
		w.requests[w.step%k], w.retries[w.step%k] = 0, 0
	}
}

// Earn counts a request.
func (w *RetryWindow) CountRequest(now int64) {
	w.advance(now)
	w.requests[w.step%int64(len(w.requests))]++
}

// Has reports whether another send fits.
func (w *RetryWindow) Allows(now int64) bool {
	w.advance(now)
	k := int64(len(w.requests))
	f, m := 0, 0
	for j := range k {
		i := (w.step - j + 2*k) % k
		if j < windowSteps-1 {
			f += w.requests[i]
		}
		m += w.retries[i]
	}
	return float64(m+1) <= w.Ratio*float64(f)+w.Allowance
}

// Spend counts a send beyond the first.
func (w *RetryWindow) CountRetry(now int64) {
	w.advance(now)
	w.retries[w.step%int64(len(w.retries))]++
}
