package attempt

import "fmt"

// Forward is the record of one request that the proxy forwards without parsing its body
// (docs/design.md §14).
type Forward struct {
	Repeatable bool // may run more than once: idempotent, or a stream that can be resumed
	Resumable  bool // a stream that another engine may continue after the response head was sent
	MaxEngines int  // maximum number of engines that the request may reach
	Attempts   []Attempt
	HeadSent   bool   // the response head has been sent to the caller
	StopReason string // why the request must not be sent again; empty if it may be
	Ended      bool   // the caller has the final response
}

// ForwardAction is the next step of a Forward.
type ForwardAction uint8

// The next steps of a Forward.
const (
	ForwardWait   ForwardAction = iota + 1 // wait for the attempt in flight
	ForwardSend                            // send the request to one more engine
	ForwardDone                            // the response was sent completely
	ForwardReject                          // tell the caller that the request did not and will not run
	ForwardLost                            // tell the caller that the request may have run
	ForwardAbort                           // cut the response off so that it cannot pass for a complete one
)

// String is the action's name in logs and test output.
func (a ForwardAction) String() string {
	names := [...]string{"none", "wait", "send", "done", "reject", "lost", "abort"}
	if int(a) < len(names) {
		return names[a]
	}
	return fmt.Sprintf("ForwardAction(%d)", uint8(a))
}

// Reasons for a rejection in addition to ReasonDeadline and ReasonRetryBudget. The texts are
// part of the API.
const (
	reasonNoEngine = "no-engine"
	// ReasonEnginesFull: as many engines as the route allows reported that they did not run
	// the request.
	ReasonEnginesFull = "engines-full"
)

// ForwardDecision is the next step of a forwarded request and its details.
type ForwardDecision struct {
	Action        ForwardAction
	Reason        string // for ForwardReject, ForwardLost and ForwardAbort
	CancelAttempt string // id of the attempt in flight to cancel; empty for none
	SpendsRetry   bool   // the attempt counts against the retry budget
}

// enginesReached counts the attempts that reached an engine, or may have, in whole or in part.
func (f *Forward) enginesReached() (reached int) {
	for _, a := range f.Attempts {
		if a.State != NotStarted || a.Cause != Unreachable {
			reached++
		}
	}
	return reached
}

// Next decides the next step. It does not modify the record.
func (f *Forward) Next(conditions Conditions) ForwardDecision {
	if f.Ended {
		return ForwardDecision{Action: ForwardWait}
	}
	decisive, interrupted := decidingAttempt(f.Attempts)
	switch {
	case decisive != nil:
		return f.nextInFlightOrCompleted(decisive)
	case interrupted != nil:
		return f.nextInterrupted(interrupted, conditions)
	}
	return f.nextNeverRan(conditions)
}

// nextInFlightOrCompleted decides if an attempt is in flight or has completed.
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

// nextInterrupted decides if an interrupted attempt may have run; last is the last such one.
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

// nextNeverRan decides if there was no attempt, or every attempt provably never ran.
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

// maySend reports whether the deadline, the route's limit on engines and the retry budget
// allow one more attempt. The first engine that is reached costs no retry.
func (f *Forward) maySend(reached int, conditions Conditions) bool {
	return f.StopReason == "" && conditions.TimeLeft && reached < f.MaxEngines &&
		(reached == 0 || conditions.RetryAllowed)
}

// Record sets an attempt's state and reports whether it did. A final state is never replaced
// and a started attempt never goes back to an earlier state; an unknown id changes nothing.
func (f *Forward) Record(id string, state State, cause string) bool {
	return record(f.Attempts, id, state, cause)
}
