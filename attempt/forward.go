package attempt

import "fmt"

// Forward is all that is known of one request that the proxy forwards unopened (docs/design.md
// §14).
type Forward struct {
	Repeatable bool // it may run again: it is idempotent, or a stream that can be resumed
	Resumable  bool // a stream that may go on at another engine after its head went out
	MaxEngines int  // engines that it may be sent to, at the most
	Attempts   []Attempt
	HeadSent   bool   // the head of an answer has gone to the caller
	StopReason string // why it must not go on; empty while it may
	Ended      bool   // the caller has its final answer
}

// ForwardAction is the next step of a Forward.
type ForwardAction uint8

// The next steps of a Forward.
const (
	ForwardWait   ForwardAction = iota + 1 // for the attempt in flight
	ForwardSend                            // to one more engine
	ForwardDone                            // the answer went out to its end
	ForwardReject                          // promise that it has not run and will not
	ForwardLost                            // say that it may have run
	ForwardAbort                           // break the answer off so that it can't look complete
)

// String is the action's name in logs and test output.
func (a ForwardAction) String() string {
	names := [...]string{"none", "wait", "send", "done", "reject", "lost", "abort"}
	if int(a) < len(names) {
		return names[a]
	}
	return fmt.Sprintf("ForwardAction(%d)", uint8(a))
}

// Reasons of a rejection beside ReasonDeadline and ReasonRetryBudget. The texts are part of
// the API.
const (
	reasonNoEngine = "no-engine"
	// ReasonEnginesFull: as many engines as the route allows said that they did not run it.
	ReasonEnginesFull = "engines-full"
)

// ForwardDecision is the next step of a forwarded request, and what goes with it.
type ForwardDecision struct {
	Action        ForwardAction
	Reason        string // of a rejection, loss or abort
	CancelAttempt string // id of an attempt in flight to cancel; empty for none
	SpendsRetry   bool   // the attempt counts against the retry budget
}

// enginesReached counts the attempts of which something reached an engine, or may have.
func (f *Forward) enginesReached() (reached int) {
	for _, a := range f.Attempts {
		if a.State != NotStarted || a.Cause != Unreachable {
			reached++
		}
	}
	return reached
}

// Next decides the next step. It changes nothing.
func (f *Forward) Next(conditions Conditions) ForwardDecision {
	if f.Ended {
		return ForwardDecision{Action: ForwardWait}
	}
	decisive, interrupted := survey(f.Attempts)
	switch {
	case decisive != nil:
		return f.nextInFlightOrCompleted(decisive)
	case interrupted != nil:
		return f.nextInterrupted(interrupted, conditions)
	}
	return f.nextNeverRan(conditions)
}

// nextInFlightOrCompleted decides while an attempt is in flight or when it completed.
func (f *Forward) nextInFlightOrCompleted(a *Attempt) ForwardDecision {
	switch {
	case a.State == Completed:
		return ForwardDecision{Action: ForwardDone}
	case f.StopReason == "":
		return ForwardDecision{Action: ForwardWait}
	case f.HeadSent:
		return ForwardDecision{Action: ForwardAbort, Reason: f.StopReason, CancelAttempt: a.ID}
	}
	return ForwardDecision{Action: ForwardLost, Reason: f.StopReason, CancelAttempt: a.ID}
}

// nextInterrupted decides when the last attempt may have run.
func (f *Forward) nextInterrupted(last *Attempt, conditions Conditions) ForwardDecision {
	more := f.maySend(f.enginesReached(), conditions)
	switch {
	case more && (f.HeadSent && f.Resumable || !f.HeadSent && f.Repeatable):
		return ForwardDecision{Action: ForwardSend, SpendsRetry: true}
	case f.HeadSent:
		return ForwardDecision{Action: ForwardAbort, Reason: last.Cause}
	}
	return ForwardDecision{Action: ForwardLost, Reason: last.Cause}
}

// nextNeverRan decides when every attempt, if there was one, provably never ran.
func (f *Forward) nextNeverRan(conditions Conditions) ForwardDecision {
	reached := f.enginesReached()
	switch {
	case f.maySend(reached, conditions):
		return ForwardDecision{Action: ForwardSend, SpendsRetry: reached > 0}
	case f.HeadSent:
		return ForwardDecision{Action: ForwardAbort, Reason: reasonNoEngine}
	case f.StopReason != "":
		return ForwardDecision{Action: ForwardReject, Reason: f.StopReason}
	case !conditions.TimeLeft:
		return ForwardDecision{Action: ForwardReject, Reason: ReasonDeadline}
	case reached >= f.MaxEngines && reached > 0:
		return ForwardDecision{Action: ForwardReject, Reason: ReasonEnginesFull}
	}
	return ForwardDecision{Action: ForwardReject, Reason: ReasonRetryBudget}
}

// maySend reports whether one more engine may be asked, as far as time, the route's
// limit and the retry budget go. The first engine that is reached spends no budget.
func (f *Forward) maySend(reached int, conditions Conditions) bool {
	return f.StopReason == "" && conditions.TimeLeft && reached < f.MaxEngines &&
		(reached == 0 || conditions.RetryAllowed)
}

// Record sets an attempt's state and reports whether it did: what is known of an attempt is
// never taken back, and an unknown id changes nothing.
func (f *Forward) Record(id string, state State, cause string) bool {
	return record(f.Attempts, id, state, cause)
}
