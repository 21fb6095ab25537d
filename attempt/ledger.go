// Package attempt derives a ticket's next move from the ledger of its attempts
// (design §6). It is pure; the state table in the design page is this file.
package attempt

// State is how far an attempt is known to have come.
type State uint8

// Sent: ordered, nothing known. NeverBegan: proof that it did not and will not
// run. Began: the engine says it runs. Broken: lost, it may or may not have
// run on. Finished: whole.
const (
	Sent State = iota + 1
	NotStarted
	Started
	Interrupted
	Completed
)

// Attempt is one line of the ledger.
type Attempt struct {
	ID     string
	Engine string
	State  State
	Cause  string
}

// Claim is the state of a once-only ticket's durable claim.
type ClaimState uint8

// Missing: not asked for. Asked: no answer yet. Held: ours. Taken: somebody
// else's. Doubtful: asked and not answered. Closed: its era is over, nobody gets it
// any more. Needless: nobody else can ask for it.
const (
	ClaimNotRequested ClaimState = iota
	ClaimRequested
	ClaimGranted
	ClaimTaken
	ClaimUnknown
	ClaimClosed
	ClaimNotNeeded
)

// Ledger is all that is known of one ticket.
type History struct {
	OnceOnly        bool
	Claim           ClaimState
	Attempts        []Attempt
	ResponseStarted bool   // a byte of an answer has gone to the caller
	StopReason      string // why it must not go on, if so
	Ended           bool
}

// Outcome is what a caller is told in the last frame.
type Outcome string

// Done: ran once, whole. Refused: provably never ran nor will. Unknown: it may
// have run.
const (
	Done     Outcome = "done"
	Rejected Outcome = "refused"
	Unknown  Outcome = "unknown"
)

// Do is what to do next.
type Action uint8

// The moves.
const (
	Wait         Action = iota + 1
	RequestClaim        // for the claim
	Assign              // to an engine
	Finish
)

// Move is the next move. Cancel tells to cut the live attempt off, Release to
// give the claim back, Retry that assigning spends the retry budget.
type Decision struct {
	Action        Action
	Outcome       Outcome
	Reason        string
	CancelAttempt string
	ReleaseClaim  bool
	SpendsRetry   bool
}

// Facts are what the ledger does not hold: whether there is still time for a
// run, and whether the retry budget has room.
type Conditions struct {
	TimeLeft, RetryAllowed bool
}

// Next derives the move. It changes nothing.
func (h *History) Next(conditions Conditions) Decision {
	if h.Ended {
		return Decision{Action: Wait}
	}
	var broken *Attempt
	for i := range h.Attempts {
		switch a := &h.Attempts[i]; a.State {
		case Completed:
			return Decision{Action: Finish, Outcome: Done}
		case Sent, Started:
			if h.StopReason != "" {
				return Decision{Action: Finish, Outcome: Unknown, Reason: h.StopReason, CancelAttempt: a.ID}
			}
			return Decision{Action: Wait}
		case Interrupted:
			broken = a
		}
	}
	if broken != nil {
		switch {
		case h.OnceOnly || h.ResponseStarted:
			return Decision{Action: Finish, Outcome: Unknown, Reason: broken.Cause}
		case h.StopReason != "":
			return Decision{Action: Finish, Outcome: Unknown, Reason: h.StopReason}
		case !conditions.TimeLeft, !conditions.RetryAllowed:
			return Decision{Action: Finish, Outcome: Unknown, Reason: broken.Cause}
		}
		return Decision{Action: Assign, SpendsRetry: true}
	}
	// Every attempt, if there was one, provably never began.
	// A doubtful claim is given back as well, should it have been granted.
	held := h.OnceOnly && (h.Claim == ClaimGranted || h.Claim == ClaimUnknown)
	switch {
	case h.OnceOnly && h.Claim == ClaimTaken:
		return Decision{Action: Finish, Outcome: Unknown, Reason: "duplicate"}
	case h.OnceOnly && h.Claim == ClaimClosed:
		// Whether it ran while its era was open, nobody remembers.
		return Decision{Action: Finish, Outcome: Unknown, Reason: "era-closed"}
	case h.StopReason != "":
		// A claim still on its way is given back when it arrives.
		return Decision{Action: Finish, Outcome: Rejected, Reason: h.StopReason, ReleaseClaim: held}
	case !conditions.TimeLeft:
		return Decision{Action: Finish, Outcome: Rejected, Reason: "due-unreachable", ReleaseClaim: held}
	case h.OnceOnly && h.Claim == ClaimUnknown:
		return Decision{Action: Finish, Outcome: Rejected, Reason: "claim-unavailable", ReleaseClaim: true}
	case len(h.Attempts) > 0 && !conditions.RetryAllowed:
		return Decision{Action: Finish, Outcome: Rejected, Reason: "retry-budget", ReleaseClaim: held}
	case h.OnceOnly && h.Claim == ClaimNotRequested:
		return Decision{Action: RequestClaim}
	case h.OnceOnly && h.Claim == ClaimRequested:
		return Decision{Action: Wait}
	}
	return Decision{Action: Assign, SpendsRetry: len(h.Attempts) > 0}
}

// Note sets an attempt's state; it never moves backwards.
func (h *History) Record(id string, s State, cause string) bool {
	for i := range h.Attempts {
		a := &h.Attempts[i]
		if a.ID != id {
			continue
		}
		if a.State != Sent && !(a.State == Started && s > Started) {
			return false
		}
		a.State, a.Cause = s, cause
		return true
	}
	return false
}

// Live is the attempt that is under way, if any.
func (h *History) InFlight() (Attempt, bool) {
	for _, a := range h.Attempts {
		if a.State == Sent || a.State == Started {
			return a, true
		}
	}
	return Attempt{}, false
}

// Budget bounds retries to a part of real traffic: every new ticket earns a
// little, every retry spends a whole one.
type RetryBudget struct {
	Permille int
	balance  int
}

const maxBalance = 10_000

// Earn counts a new ticket.
func (b *RetryBudget) CountRequest() { b.balance = min(b.balance+b.Permille, maxBalance) }

// Has reports whether a retry may be spent.
func (b *RetryBudget) Allows() bool { return b.balance >= 1000 }

// Spend takes one retry.
func (b *RetryBudget) CountRetry() { b.balance -= 1000 }
