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
	NeverBegan
	Began
	Broken
	Finished
)

// Attempt is one line of the ledger.
type Attempt struct {
	ID     string
	Engine string
	State  State
	Cause  string
}

// Claim is the state of a once-only ticket's durable claim.
type Claim uint8

// Missing: not asked for. Asked: no answer yet. Held: ours. Taken: somebody
// else's. Doubtful: asked and not answered. Closed: its era is over, nobody gets it
// any more. Needless: nobody else can ask for it.
const (
	Missing Claim = iota
	Asked
	Held
	Taken
	Doubtful
	Closed
	Needless
)

// Ledger is all that is known of one ticket.
type Ledger struct {
	Once     bool
	Claim    Claim
	Attempts []Attempt
	Out      bool   // a byte of an answer has gone to the caller
	Stop     string // why it must not go on, if so
	Ended    bool
}

// Outcome is what a caller is told in the last frame.
type Outcome string

// Done: ran once, whole. Refused: provably never ran nor will. Unknown: it may
// have run.
const (
	Done    Outcome = "done"
	Refused Outcome = "refused"
	Unknown Outcome = "unknown"
)

// Do is what to do next.
type Do uint8

// The moves.
const (
	Wait   Do = iota + 1
	Ask       // for the claim
	Assign    // to an engine
	End
)

// Move is the next move. Cancel tells to cut the live attempt off, Release to
// give the claim back, Retry that assigning spends the retry budget.
type Move struct {
	Do      Do
	Outcome Outcome
	Reason  string
	Cancel  string
	Release bool
	Retry   bool
}

// Facts are what the ledger does not hold: whether there is still time for a
// run, and whether the retry budget has room.
type Facts struct {
	Time, Budget bool
}

// Next derives the move. It changes nothing.
func (l *Ledger) Next(f Facts) Move {
	if l.Ended {
		return Move{Do: Wait}
	}
	var broken *Attempt
	for i := range l.Attempts {
		switch a := &l.Attempts[i]; a.State {
		case Finished:
			return Move{Do: End, Outcome: Done}
		case Sent, Began:
			if l.Stop != "" {
				return Move{Do: End, Outcome: Unknown, Reason: l.Stop, Cancel: a.ID}
			}
			return Move{Do: Wait}
		case Broken:
			broken = a
		}
	}
	if broken != nil {
		switch {
		case l.Once || l.Out:
			return Move{Do: End, Outcome: Unknown, Reason: broken.Cause}
		case l.Stop != "":
			return Move{Do: End, Outcome: Unknown, Reason: l.Stop}
		case !f.Time, !f.Budget:
			return Move{Do: End, Outcome: Unknown, Reason: broken.Cause}
		}
		return Move{Do: Assign, Retry: true}
	}
	// Every attempt, if there was one, provably never began.
	// A doubtful claim is given back as well, should it have been granted.
	held := l.Once && (l.Claim == Held || l.Claim == Doubtful)
	switch {
	case l.Once && l.Claim == Taken:
		return Move{Do: End, Outcome: Unknown, Reason: "duplicate"}
	case l.Once && l.Claim == Closed:
		// Whether it ran while its era was open, nobody remembers.
		return Move{Do: End, Outcome: Unknown, Reason: "era-closed"}
	case l.Stop != "":
		// A claim still on its way is given back when it arrives.
		return Move{Do: End, Outcome: Refused, Reason: l.Stop, Release: held}
	case !f.Time:
		return Move{Do: End, Outcome: Refused, Reason: "due-unreachable", Release: held}
	case l.Once && l.Claim == Doubtful:
		return Move{Do: End, Outcome: Refused, Reason: "claim-unavailable", Release: true}
	case len(l.Attempts) > 0 && !f.Budget:
		return Move{Do: End, Outcome: Refused, Reason: "retry-budget", Release: held}
	case l.Once && l.Claim == Missing:
		return Move{Do: Ask}
	case l.Once && l.Claim == Asked:
		return Move{Do: Wait}
	}
	return Move{Do: Assign, Retry: len(l.Attempts) > 0}
}

// Note sets an attempt's state; it never moves backwards.
func (l *Ledger) Note(id string, s State, cause string) bool {
	for i := range l.Attempts {
		a := &l.Attempts[i]
		if a.ID != id {
			continue
		}
		if a.State != Sent && !(a.State == Began && s > Began) {
			return false
		}
		a.State, a.Cause = s, cause
		return true
	}
	return false
}

// Live is the attempt that is under way, if any.
func (l *Ledger) Live() (Attempt, bool) {
	for _, a := range l.Attempts {
		if a.State == Sent || a.State == Began {
			return a, true
		}
	}
	return Attempt{}, false
}

// Budget bounds retries to a part of real traffic: every new ticket earns a
// little, every retry spends a whole one.
type Budget struct {
	Permille int
	have     int
}

const budgetMost = 10_000

// Earn counts a new ticket.
func (b *Budget) Earn() { b.have = min(b.have+b.Permille, budgetMost) }

// Has reports whether a retry may be spent.
func (b *Budget) Has() bool { return b.have >= 1000 }

// Spend takes one retry.
func (b *Budget) Spend() { b.have -= 1000 }
