package attempt

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// truth is what really became of an attempt, which the record can only know by proof.
type truth struct {
	reached bool // an engine got some of it
	ran     bool
	proven  bool // that it did not run and will not
}

// world plays engines, callers and time against a Forward that follows its own decisions.
type world struct {
	forward    Forward
	conditions Conditions
	truths     []truth
	decisions  []ForwardDecision
	over       bool
}

// endings are how an attempt can end: what is true, and what the proxy may record of it.
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

func drawForward(t *rapid.T) Forward {
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

// step asks for the next decision, checks it and follows it.
func (w *world) step(t *rapid.T) {
	before := w.forward
	before.Attempts = append([]Attempt(nil), w.forward.Attempts...)
	decision := w.forward.Next(w.conditions)
	if !reflect.DeepEqual(before.Attempts, append([]Attempt(nil), w.forward.Attempts...)) || before.HeadSent != w.forward.HeadSent {
		t.Fatalf("asking for a decision changed the record")
	}
	w.decisions = append(w.decisions, decision)
	w.judge(t, decision)
	switch decision.Action {
	case ForwardSend:
		w.attempt(t)
	case ForwardWait:
	default:
		w.over = true
	}
}

// judge checks a decision against what really happened.
func (w *world) judge(t *rapid.T, decision ForwardDecision) {
	ran := w.mayHaveRun()
	switch decision.Action {
	case ForwardSend:
		switch {
		case ran && !w.forward.Repeatable:
			t.Fatalf("sent again after an attempt that may have run: %+v", w.forward)
		case w.forward.HeadSent && !w.forward.Resumable:
			t.Fatalf("sent again behind an answer that can't go on: %+v", w.forward)
		case w.reached() >= w.forward.MaxEngines:
			t.Fatalf("sent to engine %d of %d: %+v", w.reached()+1, w.forward.MaxEngines, w.forward)
		case w.forward.StopReason != "" || !w.conditions.TimeLeft:
			t.Fatalf("sent with a reason not to: %+v %+v", w.forward, w.conditions)
		case w.reached() > 0 && (!decision.SpendsRetry || !w.conditions.RetryAllowed):
			t.Fatalf("a further attempt spends no budget: %+v", w.forward)
		}
	case ForwardReject:
		if ran || w.forward.HeadSent {
			t.Fatalf("told that it never ran: %+v", w.forward)
		}
	case ForwardDone:
		if has(w.forward.Attempts, Completed) == nil {
			t.Fatalf("told that it is done: %+v", w.forward)
		}
	case ForwardLost:
		if w.forward.HeadSent || !ran {
			t.Fatalf("lost, with an answer out (%v) or nothing that ran: %+v", w.forward.HeadSent, w.forward)
		}
	case ForwardAbort:
		if !w.forward.HeadSent {
			t.Fatalf("cut off before anything went out: %+v", w.forward)
		}
	}
}

// attempt makes one and draws how it ends.
func (w *world) attempt(t *rapid.T) {
	id := fmt.Sprint(len(w.forward.Attempts))
	w.forward.Attempts = append(w.forward.Attempts, Attempt{ID: id, State: Sent})
	end := endings[rapid.IntRange(0, len(endings)-1).Draw(t, "ending")]
	w.truths = append(w.truths, end.truth)
	if end.truth.ran && rapid.Bool().Draw(t, "its head went out") {
		w.forward.Record(id, Started, "")
		w.forward.HeadSent = true
	}
	if w.forward.HeadSent && end.truth.ran && rapid.IntRange(0, 4).Draw(t, "an event without an id") == 0 {
		w.forward.Resumable = false
	}
	if !end.truth.proven && rapid.IntRange(0, 5).Draw(t, "still under way") == 0 {
		return
	}
	w.forward.Record(id, end.state, end.cause)
}

// TestForwardNeverRepeatsWhatMayHaveRun: whatever engines, callers and time do, in any
// order, no decision breaks a promise.
func TestForwardNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{forward: drawForward(t), conditions: Conditions{TimeLeft: true, RetryAllowed: true}}
		t.Repeat(map[string]func(*rapid.T){
			"next decision": func(t *rapid.T) {
				if w.over {
					t.Skip("it has ended")
				}
				w.step(t)
			},
			"the deadline passes": func(*rapid.T) { w.conditions.TimeLeft = false },
			"the budget is spent": func(*rapid.T) { w.conditions.RetryAllowed = false },
			"the budget is back":  func(*rapid.T) { w.conditions.RetryAllowed = true },
			"the caller leaves":   func(*rapid.T) { w.forward.StopReason = "caller-gone" },
			"a late word of an attempt": func(t *rapid.T) {
				if len(w.forward.Attempts) == 0 {
					t.Skip("none was made")
				}
				i := rapid.IntRange(0, len(w.forward.Attempts)-1).Draw(t, "attempt")
				a := &w.forward.Attempts[i]
				was := a.State
				end := endings[rapid.IntRange(0, len(endings)-1).Draw(t, "word")]
				if end.truth != w.truths[i] && (was == Sent || was == Started) {
					t.Skip("not what became of it")
				}
				w.forward.Record(a.ID, end.state, end.cause)
				if was != Sent && was != Started && a.State != was {
					t.Fatalf("a late word turned %v into %v", was, a.State)
				}
			},
		})
	})
}

// TestForwardEnds: engines that never answer whole are asked as often as allowed, and no
// more.
func TestForwardEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{forward: drawForward(t), conditions: Conditions{TimeLeft: true, RetryAllowed: true}}
		for range 2*w.forward.MaxEngines + 64 {
			if w.over {
				return
			}
			w.step(t)
			for i := range w.forward.Attempts { // whatever is under way is lost
				w.forward.Record(w.forward.Attempts[i].ID, Interrupted, "engine-lost")
			}
		}
		if w.reached() >= w.forward.MaxEngines {
			t.Fatalf("it goes on: %+v", w.decisions)
		}
	})
}

// TestHistoryNeverRepeatsWhatMayHaveRun is the same for a History.
func TestHistoryNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &History{OnceOnly: rapid.Bool().Draw(t, "once")}
		conditions := Conditions{TimeLeft: true, RetryAllowed: true}
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
			"next decision": func(t *rapid.T) {
				decision := h.Next(conditions)
				switch {
				case decision.Action == Assign && h.OnceOnly && ran():
					t.Fatalf("a once-only request is assigned again: %+v", h)
				case decision.Action == Assign && h.OnceOnly && h.Claim != ClaimGranted && h.Claim != ClaimNotNeeded:
					t.Fatalf("a once-only request is assigned without its claim: %+v", h)
				case decision.Action == Assign && h.ResponseStarted:
					t.Fatalf("assigned again behind an answer: %+v", h)
				case decision.Action == Finish && decision.Outcome == Rejected && ran():
					t.Fatalf("told that it never ran: %+v", h)
				case decision.Action == RequestClaim:
					h.Claim = ClaimRequested
				case decision.Action == Assign:
					end := endings[rapid.IntRange(0, len(endings)-1).Draw(t, "ending")]
					id := fmt.Sprint(len(h.Attempts))
					h.Attempts = append(h.Attempts, Attempt{ID: id, State: Sent})
					truths = append(truths, end.truth)
					h.ResponseStarted = h.ResponseStarted || end.truth.ran && rapid.Bool().Draw(t, "a byte went out")
					h.Record(id, end.state, end.cause)
				}
			},
			"the claim is answered": func(t *rapid.T) {
				if h.Claim == ClaimRequested {
					h.Claim = rapid.SampledFrom([]ClaimState{ClaimGranted, ClaimTaken, ClaimUnknown, ClaimClosed, ClaimNotNeeded}).Draw(t, "claim")
				}
			},
			"the deadline passes": func(*rapid.T) { conditions.TimeLeft = false },
			"the budget is spent": func(*rapid.T) { conditions.RetryAllowed = false },
			"it must stop":        func(*rapid.T) { h.StopReason = "key-revoked" },
		})
	})
}
