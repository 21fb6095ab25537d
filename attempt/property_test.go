package attempt

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// truth is what really became of an attempt, which the ledger can only know by proof.
type truth struct {
	reached bool // an engine got some of it
	ran     bool
	proven  bool // that it did not run and will not
}

// world plays engines, callers and time against a passage that follows its own moves.
type world struct {
	p      Forward
	facts  Conditions
	truths []truth
	moves  []ForwardDecision
	over   bool
}

// endings are how an attempt can end: what is true, and what the proxy may note of it.
var endings = []struct {
	name  string
	truth truth
	state State
	cause string
}{
	{"no connection", truth{proven: true}, NotStarted, Unreachable},
	{"refused", truth{reached: true, proven: true}, NotStarted, "skipped"},
	{"another engine's address", truth{reached: true, proven: true}, NotStarted, "other"},
	{"reset before it ran", truth{reached: true}, Interrupted, "engine-lost"},
	{"silence, and it runs later", truth{reached: true, ran: true}, Interrupted, "due-passed"},
	{"answer cut", truth{reached: true, ran: true}, Interrupted, "engine-lost"},
	{"answer garbled", truth{reached: true, ran: true}, Interrupted, "engine-malformed"},
	{"failed", truth{reached: true, ran: true}, Interrupted, "engine-failed"},
	{"whole", truth{reached: true, ran: true}, Completed, ""},
}

func drawPassage(t *rapid.T) Forward {
	resume := rapid.Bool().Draw(t, "resumable")
	return Forward{
		Repeatable: resume || rapid.Bool().Draw(t, "repeatable"),
		Resumable:  resume,
		MaxEngines: rapid.IntRange(1, 4).Draw(t, "engines"),
	}
}

// mayHaveRun reports whether any attempt is not proven not to have run.
func (w *world) mayHaveRun() bool {
	for _, x := range w.truths {
		if !x.proven {
			return true
		}
	}
	return false
}

func (w *world) reached() (n int) {
	for _, x := range w.truths {
		if x.reached {
			n++
		}
	}
	return n
}

// step asks for the next move, judges it and follows it.
func (w *world) step(t *rapid.T) {
	before := w.p
	before.Attempts = append([]Attempt(nil), w.p.Attempts...)
	move := w.p.Next(w.facts)
	if !reflect.DeepEqual(before.Attempts, append([]Attempt(nil), w.p.Attempts...)) || before.HeadSent != w.p.HeadSent {
		t.Fatalf("asking for a move changed the ledger")
	}
	w.moves = append(w.moves, move)
	w.judge(t, move)
	switch move.Action {
	case ForwardSend:
		w.attempt(t)
	case ForwardWait:
	default:
		w.over = true
	}
}

func (w *world) judge(t *rapid.T, move ForwardDecision) {
	ran := w.mayHaveRun()
	switch move.Action {
	case ForwardSend:
		switch {
		case ran && !w.p.Repeatable:
			t.Fatalf("sent again after an attempt that may have run: %+v", w.p)
		case w.p.HeadSent && !w.p.Resumable:
			t.Fatalf("sent again behind an answer that can't go on: %+v", w.p)
		case w.reached() >= w.p.MaxEngines:
			t.Fatalf("sent to engine %d of %d: %+v", w.reached()+1, w.p.MaxEngines, w.p)
		case w.p.StopReason != "" || !w.facts.TimeLeft:
			t.Fatalf("sent with a reason not to: %+v %+v", w.p, w.facts)
		case w.reached() > 0 && (!move.SpendsRetry || !w.facts.RetryAllowed):
			t.Fatalf("a further attempt spends no budget: %+v", w.p)
		}
	case ForwardReject:
		if ran || w.p.HeadSent {
			t.Fatalf("told that it never ran: %+v", w.p)
		}
	case ForwardDone:
		if has(w.p.Attempts, Completed) == nil {
			t.Fatalf("told that it is done: %+v", w.p)
		}
	case ForwardLost:
		if w.p.HeadSent || !ran {
			t.Fatalf("lost, with an answer out (%v) or nothing that ran: %+v", w.p.HeadSent, w.p)
		}
	case ForwardAbort:
		if !w.p.HeadSent {
			t.Fatalf("cut off before anything went out: %+v", w.p)
		}
	}
}

// attempt makes one and draws how it ends.
func (w *world) attempt(t *rapid.T) {
	id := fmt.Sprint(len(w.p.Attempts))
	w.p.Attempts = append(w.p.Attempts, Attempt{ID: id, State: Sent})
	end := endings[rapid.IntRange(0, len(endings)-1).Draw(t, "ending")]
	w.truths = append(w.truths, end.truth)
	if end.truth.ran && rapid.Bool().Draw(t, "its head went out") {
		w.p.Record(id, Started, "")
		w.p.HeadSent = true
	}
	if w.p.HeadSent && end.truth.ran && rapid.IntRange(0, 4).Draw(t, "an event without an id") == 0 {
		w.p.Resumable = false
	}
	if !end.truth.proven && rapid.IntRange(0, 5).Draw(t, "still under way") == 0 {
		return
	}
	w.p.Record(id, end.state, end.cause)
}

// TestPassageNeverRepeatsWhatMayHaveRun: whatever engines, callers and time do, in any
// order, no move breaks a promise.
func TestPassageNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{p: drawPassage(t), facts: Conditions{TimeLeft: true, RetryAllowed: true}}
		t.Repeat(map[string]func(*rapid.T){
			"next move": func(t *rapid.T) {
				if w.over {
					t.Skip("it has ended")
				}
				w.step(t)
			},
			"the deadline passes": func(*rapid.T) { w.facts.TimeLeft = false },
			"the budget is spent": func(*rapid.T) { w.facts.RetryAllowed = false },
			"the budget is back":  func(*rapid.T) { w.facts.RetryAllowed = true },
			"the caller leaves":   func(*rapid.T) { w.p.StopReason = "caller-gone" },
			"a late word of an attempt": func(t *rapid.T) {
				if len(w.p.Attempts) == 0 {
					t.Skip("none was made")
				}
				i := rapid.IntRange(0, len(w.p.Attempts)-1).Draw(t, "attempt")
				a := &w.p.Attempts[i]
				was := a.State
				end := endings[rapid.IntRange(0, len(endings)-1).Draw(t, "word")]
				if end.truth != w.truths[i] && (was == Sent || was == Started) {
					t.Skip("not what became of it")
				}
				w.p.Record(a.ID, end.state, end.cause)
				if was != Sent && was != Started && a.State != was {
					t.Fatalf("a late word turned %v into %v", was, a.State)
				}
			},
		})
	})
}

// TestPassageEnds: engines that never answer whole are asked as often as allowed, and no
// more.
func TestPassageEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{p: drawPassage(t), facts: Conditions{TimeLeft: true, RetryAllowed: true}}
		for range 2*w.p.MaxEngines + 64 {
			if w.over {
				return
			}
			w.step(t)
			for i := range w.p.Attempts { // whatever is under way is lost
				w.p.Record(w.p.Attempts[i].ID, Interrupted, "engine-lost")
			}
		}
		if w.reached() >= w.p.MaxEngines {
			t.Fatalf("it goes on: %+v", w.moves)
		}
	})
}

// TestLedgerNeverRepeatsWhatMayHaveRun is the same for a ticket's ledger.
func TestLedgerNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := &History{OnceOnly: rapid.Bool().Draw(t, "once")}
		facts := Conditions{TimeLeft: true, RetryAllowed: true}
		var truths []truth
		ran := func() bool {
			for _, x := range truths {
				if !x.proven {
					return true
				}
			}
			return false
		}
		t.Repeat(map[string]func(*rapid.T){
			"next move": func(t *rapid.T) {
				move := l.Next(facts)
				switch {
				case move.Action == Assign && l.OnceOnly && ran():
					t.Fatalf("a once-only ticket is assigned again: %+v", l)
				case move.Action == Assign && l.OnceOnly && l.Claim != ClaimGranted && l.Claim != ClaimNotNeeded:
					t.Fatalf("a once-only ticket is assigned without its claim: %+v", l)
				case move.Action == Assign && l.ResponseStarted:
					t.Fatalf("assigned again behind an answer: %+v", l)
				case move.Action == Finish && move.Outcome == Rejected && ran():
					t.Fatalf("told that it never ran: %+v", l)
				case move.Action == RequestClaim:
					l.Claim = ClaimRequested
				case move.Action == Assign:
					end := endings[rapid.IntRange(0, len(endings)-1).Draw(t, "ending")]
					id := fmt.Sprint(len(l.Attempts))
					l.Attempts = append(l.Attempts, Attempt{ID: id, State: Sent})
					truths = append(truths, end.truth)
					l.ResponseStarted = l.ResponseStarted || end.truth.ran && rapid.Bool().Draw(t, "a byte went out")
					l.Record(id, end.state, end.cause)
				}
			},
			"the claim is answered": func(t *rapid.T) {
				if l.Claim == ClaimRequested {
					l.Claim = rapid.SampledFrom([]ClaimState{ClaimGranted, ClaimTaken, ClaimUnknown, ClaimClosed, ClaimNotNeeded}).Draw(t, "claim")
				}
			},
			"the deadline passes": func(*rapid.T) { facts.TimeLeft = false },
			"the budget is spent": func(*rapid.T) { facts.RetryAllowed = false },
			"it must stop":        func(*rapid.T) { l.StopReason = "key-revoked" },
		})
	})
}
