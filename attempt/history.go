package attempt

import "fmt"

// ClaimState is the state of the durable claim by which a once-only request is kept from
// running twice. Its numbers are part of recordings and must not change.
type ClaimState uint8

// The states of a claim.
const (
	ClaimNotRequested ClaimState = iota
	ClaimRequested               // no answer yet
	ClaimGranted                 // the request is ours to run
	ClaimTaken                   // somebody else's
	ClaimUnknown                 // requested, and the answer was lost
	ClaimClosed                  // its generation of claims is over: nobody gets it any more
	ClaimNotNeeded               // nobody else can request it
)

// String is the state's name in logs and test output.
func (c ClaimState) String() string {
	names := [...]string{"not requested", "requested", "granted", "taken", "unknown", "closed", "not needed"}
	if int(c) < len(names) {
		return names[c]
	}
	return fmt.Sprintf("ClaimState(%d)", uint8(c))
}

// History is all that is known of one request of the dispatcher.
type History struct {
	OnceOnly        bool       // it must not run twice: a claim goes before its first attempt
	Claim           ClaimState // of a once-only request
	Attempts        []Attempt  // oldest first; at most the last one is in flight
	ResponseStarted bool       // a byte of an answer has gone to the caller
	StopReason      string     // why it must not go on; empty while it may
	Ended           bool       // the caller has its final answer
}

// Outcome is what the caller is told in the last frame. The texts are part of the API.
type Outcome string

// The outcomes of a request.
const (
	Done     Outcome = "done"    // ran once, to its end
	Rejected Outcome = "refused" // provably never ran and never will
	Unknown  Outcome = "unknown" // it may have run
)

// Reasons that History.Next and Forward.Next give themselves; others are the cause of an
// attempt or a StopReason. The texts are part of the API.
const (
	reasonDuplicate        = "duplicate"
	reasonGenerationClosed = "era-closed"
	reasonClaimUnavailable = "claim-unavailable"
	// ReasonDeadline: too little time is left for an attempt.
	ReasonDeadline = "due-unreachable"
	// ReasonRetryBudget: the retry budget is exhausted.
	ReasonRetryBudget = "retry-budget"
)

// Action is the next step of a History.
type Action uint8

// The next steps of a History.
const (
	Wait         Action = iota + 1 // for an attempt or the claim
	RequestClaim                   // before the first attempt
	Assign                         // send it to an engine
	Finish                         // tell the caller the Outcome
)

// String is the action's name in logs and test output.
func (a Action) String() string {
	names := [...]string{"none", "wait", "request claim", "assign", "finish"}
	if int(a) < len(names) {
		return names[a]
	}
	return fmt.Sprintf("Action(%d)", uint8(a))
}

// Decision is the next step of a request, and what goes with it.
type Decision struct {
	Action        Action
	Outcome       Outcome // of Finish
	Reason        string  // of Finish; empty when Done
	CancelAttempt string  // id of an attempt in flight to cancel; empty for none
	ReleaseClaim  bool    // give the claim back
	SpendsRetry   bool    // the attempt to Assign counts against the retry budget
}

// Conditions are what a record of attempts does not hold.
type Conditions struct {
	TimeLeft     bool // before the deadline, for one more attempt
	RetryAllowed bool // by the retry budget
}

// Next decides the next step. It changes nothing.
func (h *History) Next(conditions Conditions) Decision {
	if h.Ended {
		return Decision{Action: Wait}
	}
	decisive, interrupted := survey(h.Attempts)
	switch {
	case decisive != nil:
		return h.nextInFlightOrCompleted(decisive)
	case interrupted != nil:
		return h.nextInterrupted(interrupted, conditions)
	}
	return h.nextNeverRan(conditions)
}

// nextInFlightOrCompleted decides while an attempt is in flight or when it completed.
func (h *History) nextInFlightOrCompleted(a *Attempt) Decision {
	switch {
	case a.State == Completed:
		return Decision{Action: Finish, Outcome: Done}
	case h.StopReason != "":
		return Decision{Action: Finish, Outcome: Unknown, Reason: h.StopReason, CancelAttempt: a.ID}
	}
	return Decision{Action: Wait}
}

// nextInterrupted decides when the last attempt may have run.
func (h *History) nextInterrupted(last *Attempt, conditions Conditions) Decision {
	switch {
	case h.OnceOnly || h.ResponseStarted:
		return Decision{Action: Finish, Outcome: Unknown, Reason: last.Cause}
	case h.StopReason != "":
		return Decision{Action: Finish, Outcome: Unknown, Reason: h.StopReason}
	case !conditions.TimeLeft, !conditions.RetryAllowed:
		return Decision{Action: Finish, Outcome: Unknown, Reason: last.Cause}
	}
	return Decision{Action: Assign, SpendsRetry: true}
}

// nextNeverRan decides when every attempt, if there was one, provably never ran.
func (h *History) nextNeverRan(conditions Conditions) Decision {
	// A claim whose answer was lost is given back as well, should it have been granted.
	release := h.OnceOnly && (h.Claim == ClaimGranted || h.Claim == ClaimUnknown)
	switch {
	case h.OnceOnly && h.Claim == ClaimTaken:
		return Decision{Action: Finish, Outcome: Unknown, Reason: reasonDuplicate}
	case h.OnceOnly && h.Claim == ClaimClosed:
		// Whether it ran while that generation was open is not recorded any more.
		return Decision{Action: Finish, Outcome: Unknown, Reason: reasonGenerationClosed}
	case h.StopReason != "":
		// A claim still on its way is given back when it arrives.
		return Decision{Action: Finish, Outcome: Rejected, Reason: h.StopReason, ReleaseClaim: release}
	case !conditions.TimeLeft:
		return Decision{Action: Finish, Outcome: Rejected, Reason: ReasonDeadline, ReleaseClaim: release}
	case h.OnceOnly && h.Claim == ClaimUnknown:
		return Decision{Action: Finish, Outcome: Rejected, Reason: reasonClaimUnavailable, ReleaseClaim: true}
	case len(h.Attempts) > 0 && !conditions.RetryAllowed:
		return Decision{Action: Finish, Outcome: Rejected, Reason: ReasonRetryBudget, ReleaseClaim: release}
	case h.OnceOnly && h.Claim == ClaimNotRequested:
		return Decision{Action: RequestClaim}
	case h.OnceOnly && h.Claim == ClaimRequested:
		return Decision{Action: Wait}
	}
	return Decision{Action: Assign, SpendsRetry: len(h.Attempts) > 0}
}

// Record sets an attempt's state and reports whether it did: what is known of an attempt is
// never taken back, and an unknown id changes nothing.
func (h *History) Record(id string, state State, cause string) bool {
	return record(h.Attempts, id, state, cause)
}

// InFlight is the attempt that has not ended, if there is one.
func (h *History) InFlight() (Attempt, bool) {
	for i := range h.Attempts {
		if h.Attempts[i].inFlight() {
			return h.Attempts[i], true
		}
	}
	return Attempt{}, false
}
