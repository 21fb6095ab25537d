package attempt

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// actualResult is what actually happened to an attempt. The record holds only what is proven.
type actualResult struct {
	reached      bool // an engine received at least a part of the request
	ran          bool
	provenNotRun bool // proven not to have run, and never to run later
}

// model simulates engines, the caller and the deadline, and follows the decisions of a Forward.
type model struct {
	forward    Forward
	conditions Conditions
	actual     []actualResult // by attempt
	decisions  []ForwardDecision
	ended      bool
}

// endings are the ways in which an attempt can end: what actually happened, and what the proxy
// records.
var endings = []struct {
	name   string
	actual actualResult
	state  State
	cause  string
}{
	{"no connection", actualResult{provenNotRun: true}, NotStarted, Unreachable},
	{"refused", actualResult{reached: true, provenNotRun: true}, NotStarted, "skipped"},
	{"address of another engine", actualResult{reached: true, provenNotRun: true}, NotStarted, "other"},
	{"reset before it ran", actualResult{reached: true}, Interrupted, "engine-lost"},
	{"no response, runs later", actualResult{reached: true, ran: true}, Interrupted, "due-passed"},
	{"response truncated", actualResult{reached: true, ran: true}, Interrupted, "engine-lost"},
	{"response malformed", actualResult{reached: true, ran: true}, Interrupted, "engine-malformed"},
	{"failed", actualResult{reached: true, ran: true}, Interrupted, "engine-failed"},
	{"whole", actualResult{reached: true, ran: true}, Completed, ""},
}

func drawForward(t *rapid.T) Forward {
	resumable := rapid.Bool().Draw(t, "resumable")
	return Forward{
		Repeatable: resumable || rapid.Bool().Draw(t, "repeatable"),
		Resumable:  resumable,
		MaxEngines: rapid.IntRange(1, 4).Draw(t, "engines"),
	}
}

// mayHaveRun reports whether any attempt is not proven not to have run.
func (m *model) mayHaveRun() bool {
	for _, result := range m.actual {
		if !result.provenNotRun {
			return true
		}
	}
	return false
}

// reached counts the attempts that reached an engine.
func (m *model) reached() (n int) {
	for _, result := range m.actual {
		if result.reached {
			n++
		}
	}
	return n
}

// step asks for the next decision, checks it and carries it out.
func (m *model) step(t *rapid.T) {
	before := m.forward
	before.Attempts = append([]Attempt(nil), m.forward.Attempts...)
	decision := m.forward.Next(m.conditions)
	if !reflect.DeepEqual(before.Attempts, append([]Attempt(nil), m.forward.Attempts...)) || before.HeadSent != m.forward.HeadSent {
		t.Fatalf("Next modified the record")
	}
	m.decisions = append(m.decisions, decision)
	m.checkDecision(t, decision)
	switch decision.Action {
	case ForwardSend:
		m.attempt(t)
	case ForwardWait:
	default:
		m.ended = true
	}
}

// checkDecision checks a decision against what actually happened.
func (m *model) checkDecision(t *rapid.T, decision ForwardDecision) {
	mayHaveRun := m.mayHaveRun()
	switch decision.Action {
	case ForwardSend:
		switch {
		case mayHaveRun && !m.forward.Repeatable:
			t.Fatalf("sent again after an attempt that may have run: %+v", m.forward)
		case m.forward.HeadSent && !m.forward.Resumable:
			t.Fatalf("sent again after the head of a response that cannot be resumed: %+v", m.forward)
		case m.reached() >= m.forward.MaxEngines:
			t.Fatalf("sent to engine %d of %d: %+v", m.reached()+1, m.forward.MaxEngines, m.forward)
		case m.forward.StopReason != "" || !m.conditions.TimeLeft:
			t.Fatalf("sent although stopped or past the deadline: %+v %+v", m.forward, m.conditions)
		case m.reached() > 0 && (!decision.SpendsRetry || !m.conditions.RetryAllowed):
			t.Fatalf("retried without counting against the retry budget, or beyond it: %+v", m.forward)
		}
	case ForwardReject:
		if mayHaveRun || m.forward.HeadSent {
			t.Fatalf("rejected although it may have run or the response head was sent: %+v", m.forward)
		}
	case ForwardDone:
		if findState(m.forward.Attempts, Completed) == nil {
			t.Fatalf("done without a completed attempt: %+v", m.forward)
		}
	case ForwardLost:
		if m.forward.HeadSent || !mayHaveRun {
			t.Fatalf("lost although the response head was sent (%v) or nothing can have run: %+v", m.forward.HeadSent, m.forward)
		}
	case ForwardAbort:
		if !m.forward.HeadSent {
			t.Fatalf("aborted before the response head was sent: %+v", m.forward)
		}
	}
}

// attempt adds an attempt and draws how it ends.
func (m *model) attempt(t *rapid.T) {
	id := fmt.Sprint(len(m.forward.Attempts))
	m.forward.Attempts = append(m.forward.Attempts, Attempt{ID: id, State: Sent})
	ending := endings[rapid.IntRange(0, len(endings)-1).Draw(t, "ending")]
	m.actual = append(m.actual, ending.actual)
	if ending.actual.ran && rapid.Bool().Draw(t, "response head was sent") {
		m.forward.Record(id, Started, "")
		m.forward.HeadSent = true
	}
	if m.forward.HeadSent && ending.actual.ran && rapid.IntRange(0, 4).Draw(t, "event without an id") == 0 {
		m.forward.Resumable = false
	}
	if !ending.actual.provenNotRun && rapid.IntRange(0, 5).Draw(t, "still in flight") == 0 {
		return
	}
	m.forward.Record(id, ending.state, ending.cause)
}

// TestForwardNeverRepeatsWhatMayHaveRun: for every order of what engines, the caller, the
// deadline and the retry budget do, no decision breaks a guarantee.
func TestForwardNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{forward: drawForward(t), conditions: Conditions{TimeLeft: true, RetryAllowed: true}}
		t.Repeat(map[string]func(*rapid.T){
			"next decision": func(t *rapid.T) {
				if m.ended {
					t.Skip("the request has ended")
				}
				m.step(t)
			},
			"the deadline passes": func(*rapid.T) { m.conditions.TimeLeft = false },
			"the budget is spent": func(*rapid.T) { m.conditions.RetryAllowed = false },
			"the budget is back":  func(*rapid.T) { m.conditions.RetryAllowed = true },
			"the caller leaves":   func(*rapid.T) { m.forward.StopReason = "caller-gone" },
			"a late report of an attempt": func(t *rapid.T) {
				if len(m.forward.Attempts) == 0 {
					t.Skip("there is no attempt")
				}
				i := rapid.IntRange(0, len(m.forward.Attempts)-1).Draw(t, "attempt")
				a := &m.forward.Attempts[i]
				previous := a.State
				ending := endings[rapid.IntRange(0, len(endings)-1).Draw(t, "word")]
				if ending.actual != m.actual[i] && (previous == Sent || previous == Started) {
					t.Skip("contradicts what actually happened")
				}
				m.forward.Record(a.ID, ending.state, ending.cause)
				if previous != Sent && previous != Started && a.State != previous {
					t.Fatalf("a late report changed the final state %v to %v", previous, a.State)
				}
			},
		})
	})
}

// TestForwardEnds: if no engine ever completes a response, the request ends after at most
// MaxEngines engines.
func TestForwardEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{forward: drawForward(t), conditions: Conditions{TimeLeft: true, RetryAllowed: true}}
		for range 2*m.forward.MaxEngines + 64 {
			if m.ended {
				return
			}
			m.step(t)
			for i := range m.forward.Attempts { // every attempt in flight is interrupted
				m.forward.Record(m.forward.Attempts[i].ID, Interrupted, "engine-lost")
			}
		}
		if m.reached() >= m.forward.MaxEngines {
			t.Fatalf("the request did not end: %+v", m.decisions)
		}
	})
}

// TestHistoryNeverRepeatsWhatMayHaveRun checks the same guarantees for a History.
func TestHistoryNeverRepeatsWhatMayHaveRun(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &History{OnceOnly: rapid.Bool().Draw(t, "once")}
		conditions := Conditions{TimeLeft: true, RetryAllowed: true}
		var actual []actualResult
		mayHaveRun := func() bool {
			for _, result := range actual {
				if !result.provenNotRun {
					return true
				}
			}
			return false
		}
		t.Repeat(map[string]func(*rapid.T){
			"next decision": func(t *rapid.T) {
				decision := h.Next(conditions)
				switch {
				case decision.Action == Assign && h.OnceOnly && mayHaveRun():
					t.Fatalf("once-only request assigned again although it may have run: %+v", h)
				case decision.Action == Assign && h.OnceOnly && h.Claim != ClaimGranted && h.Claim != ClaimNotNeeded:
					t.Fatalf("once-only request assigned without a claim: %+v", h)
				case decision.Action == Assign && h.ResponseStarted:
					t.Fatalf("assigned again after the response started: %+v", h)
				case decision.Action == Finish && decision.Outcome == Rejected && mayHaveRun():
					t.Fatalf("rejected although it may have run: %+v", h)
				case decision.Action == RequestClaim:
					h.Claim = ClaimRequested
				case decision.Action == Assign:
					ending := endings[rapid.IntRange(0, len(endings)-1).Draw(t, "ending")]
					id := fmt.Sprint(len(h.Attempts))
					h.Attempts = append(h.Attempts, Attempt{ID: id, State: Sent})
					actual = append(actual, ending.actual)
					h.ResponseStarted = h.ResponseStarted || ending.actual.ran && rapid.Bool().Draw(t, "a byte was sent")
					h.Record(id, ending.state, ending.cause)
				}
			},
			"the claim is answered": func(t *rapid.T) {
				if h.Claim == ClaimRequested {
					h.Claim = rapid.SampledFrom([]ClaimState{ClaimGranted, ClaimTaken, ClaimUnknown, ClaimClosed, ClaimNotNeeded}).Draw(t, "claim")
				}
			},
			"the deadline passes": func(*rapid.T) { conditions.TimeLeft = false },
			"the budget is spent": func(*rapid.T) { conditions.RetryAllowed = false },
			"it is stopped":       func(*rapid.T) { h.StopReason = "key-revoked" },
		})
	})
}
