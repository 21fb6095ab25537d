package attempt

import "fmt"

// ClaimState is the state of the durable claim that keeps a once-only request from running
// twice. The numbers are stored in recordings and must not change.
type ClaimState uint8

// The states of a claim.
const (
	ClaimNotRequested ClaimState = iota
	ClaimRequested               // no response yet
	ClaimGranted                 // this node may run the request
	ClaimTaken                   // another holder has it
	ClaimUnknown                 // requested, and the response was lost
	ClaimClosed                  // its generation of claims has closed: it can no longer be granted
	ClaimNotNeeded               // no other node can request it
)

// String is the state's name in logs and test output.
func (c ClaimState) String() string {
	names := [...]string{"not requested", "requested", "granted", "taken", "unknown", "closed", "not needed"}
	if int(c) < len(names) {
		return names[c]
	}
	return fmt.Sprintf("ClaimState(%d)", uint8(c))
}

// History is the record of one request of the dispatcher.
type History struct {
	OnceOnly        bool       // must not run twice: needs a claim before its first attempt
	Claim           ClaimState // of a once-only request
	Attempts        []Attempt  // oldest first; at most the last one is in flight
	ResponseStarted bool       // at least one byte of a response has been sent to the caller
	StopReason      string     // why the request must not be sent again; empty if it may be
	Ended           bool       // the caller has the final response
}

// Outcome is reported to the caller in the last frame. The texts are part of the API.
type Outcome string

// The outcomes of a request.
const (
	Done     Outcome = "done"    // ran to completion
	Rejected Outcome = "refused" // provably never ran and never will
	Unknown  Outcome = "unknown" // may have run
)

// Reasons that originate in History.Next and Forward.Next; all others are copied from an
// attempt's Cause or from StopReason. The texts are part of the API.
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
	Wait         Action = iota + 1 // wait for an attempt or the claim
	RequestClaim                   // request the claim, before the first attempt
	Assign                         // send the request to an engine
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

// Decision is the next step of a queued request and its details.
type Decision struct {
	Action        Action
	Outcome       Outcome // for Finish
	Reason        string  // for Finish; empty if the Outcome is Done
	CancelAttempt string  // id of the attempt in flight to cancel; empty for none
	ReleaseClaim  bool    // release the claim
	SpendsRetry   bool    // for Assign: the attempt counts against the retry budget
}

// Conditions are the inputs of a decision that the record of attempts does not hold.
type Conditions struct {
	TimeLeft     bool // enough time for one more attempt before the deadline
	RetryAllowed bool // the retry budget allows a retry
}

// Next decides the next step. It does not modify the record.
func (h *History) Next(conditions Conditions) Decision {
	if h.Ended {
		return Decision{Action: Wait}
	}
	decisive, interrupted := decidingAttempt(h.Attempts)
	switch {
	case decisive != nil:
		return h.nextInFlightOrCompleted(decisive)
	case interrupted != nil:
		return h.nextInterrupted(interrupted, conditions)
	}
	return h.nextNeverRan(conditions)
}

// nextInFlightOrCompleted decides if an attempt is in flight or has completed.
func (h *History) nextInFlightOrCompleted(a *Attempt) Decision {
	switch {
	case a.State == Completed:
		return Decision{Action: Finish, Outcome: Done}
	case h.StopReason != "":
		return Decision{Action: Finish, Outcome: Unknown, Reason: h.StopReason, CancelAttempt: a.ID}
	}
	return Decision{Action: Wait}
}

// nextInterrupted decides if an interrupted attempt may have run; last is the last such one.
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

// nextNeverRan decides if there was no attempt, or every attempt provably never ran.
func (h *History) nextNeverRan(conditions Conditions) Decision {
	// A claim in state ClaimUnknown is released as well, because it may have been granted.
	release := h.OnceOnly && (h.Claim == ClaimGranted || h.Claim == ClaimUnknown)
	switch {
	case h.OnceOnly && h.Claim == ClaimTaken:
		return Decision{Action: Finish, Outcome: Unknown, Reason: reasonDuplicate}
	case h.OnceOnly && h.Claim == ClaimClosed:
		// Once a generation has closed, there is no record of what ran while it was open.
		return Decision{Action: Finish, Outcome: Unknown, Reason: reasonGenerationClosed}
	case h.StopReason != "":
		// If the claim is still being requested, it is released once it is granted.
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

// Record sets an attempt's state and reports whether it did. A final state is never replaced
// and a started attempt never goes back to an earlier state; an unknown id changes nothing.
func (h *History) Record(id string, state State, cause string) bool {
	return record(h.Attempts, id, state, cause)
}

// InFlight returns the attempt that has not ended, if there is one.
func (h *History) InFlight() (Attempt, bool) {
	for i := range h.Attempts {
		if h.Attempts[i].inFlight() {
			return h.Attempts[i], true
		}
	}
	return Attempt{}, false
}
