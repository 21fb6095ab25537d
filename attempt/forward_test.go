package attempt

import (
	"fmt"
	"testing"
)

// attemptKinds are the combinations of state and cause that an attempt of a Forward can have.
var attemptKinds = []Attempt{{State: Sent}, {State: NotStarted, Cause: "skipped"}, {State: NotStarted, Cause: Unreachable}, {State: Started},
	{State: Interrupted, Cause: "engine-lost"}, {State: Completed}}

// forEachRecord calls check with every list of up to maxAttempts attempts in which only the
// last one may be in flight or completed.
func forEachRecord(maxAttempts int, check func([]Attempt)) {
	var extend func(attempts []Attempt)
	extend = func(attempts []Attempt) {
		check(attempts)
		if n := len(attempts); n == maxAttempts || n > 0 && attempts[n-1].State != NotStarted && attempts[n-1].State != Interrupted {
			return
		}
		for _, next := range attemptKinds {
			next.ID = fmt.Sprint(len(attempts))
			extend(append(append([]Attempt(nil), attempts...), next))
		}
	}
	extend(nil)
}

// findState returns the first attempt in a state, or nil.
func findState(attempts []Attempt, state State) *Attempt {
	for i := range attempts {
		if attempts[i].State == state {
			return &attempts[i]
		}
	}
	return nil
}

// expectedDecision is a second, independent implementation of the decision table, derived
// from what callers and engines may be told.
func expectedDecision(forward Forward, conditions Conditions) (action ForwardAction, retry bool, cancel string) {
	reached := 0 // attempts that may have reached an engine
	for _, a := range forward.Attempts {
		if a.State != NotStarted || a.Cause == "skipped" {
			reached++
		}
	}
	inFlight := findState(forward.Attempts, Sent)
	if inFlight == nil {
		inFlight = findState(forward.Attempts, Started)
	}
	lost := findState(forward.Attempts, Interrupted) != nil
	switch {
	case forward.Ended:
		return ForwardWait, false, ""
	case findState(forward.Attempts, Completed) != nil:
		return ForwardDone, false, ""
	case inFlight != nil && forward.StopReason == "":
		return ForwardWait, false, ""
	case inFlight != nil && forward.HeadSent:
		return ForwardAbort, false, inFlight.ID
	case inFlight != nil:
		return ForwardLost, false, inFlight.ID
	}
	maySend := forward.StopReason == "" && conditions.TimeLeft && reached < forward.MaxEngines && (reached == 0 || conditions.RetryAllowed)
	if lost {
		maySend = maySend && (!forward.HeadSent && forward.Repeatable || forward.HeadSent && forward.Resumable)
	}
	switch {
	case maySend:
		return ForwardSend, reached > 0, ""
	case forward.HeadSent:
		return ForwardAbort, false, ""
	case lost:
		return ForwardLost, false, ""
	}
	return ForwardReject, false, ""
}

// TestForwardDecisions goes through every record of up to three attempts. Each decision must
// keep the guarantees to callers and engines, and agree with expectedDecision.
func TestForwardDecisions(t *testing.T) {
	count := 0
	bit := func(bits, i int) bool { return bits>>i&1 == 1 }
	forEachRecord(3, func(attempts []Attempt) {
		for bits := range 1 << 7 {
			for maxEngines := 1; maxEngines <= 3; maxEngines++ {
				forward := Forward{Repeatable: bit(bits, 0), Resumable: bit(bits, 1), HeadSent: bit(bits, 2), Ended: bit(bits, 3), MaxEngines: maxEngines, Attempts: attempts}
				if bit(bits, 4) {
					forward.StopReason = "caller-gone"
				}
				conditions := Conditions{TimeLeft: bit(bits, 5), RetryAllowed: bit(bits, 6)}
				decision := forward.Next(conditions)
				count++
				mayHaveRun := findState(attempts, Sent) != nil || findState(attempts, Started) != nil || findState(attempts, Interrupted) != nil || findState(attempts, Completed) != nil
				violation := ""
				switch {
				case decision.Action == ForwardSend && mayHaveRun && !forward.Repeatable && !forward.Resumable:
					violation = "the request may run twice"
				case decision.Action == ForwardSend && (findState(attempts, Sent) != nil || findState(attempts, Started) != nil || findState(attempts, Completed) != nil):
					violation = "sent while an attempt is in flight or completed"
				case decision.Action == ForwardReject && (mayHaveRun || forward.HeadSent):
					violation = "rejected although it may have run"
				case decision.Action == ForwardLost && forward.HeadSent, decision.Action == ForwardAbort && !forward.HeadSent:
					violation = "response ended the wrong way for whether its head was sent"
				case decision.Action == ForwardDone && findState(attempts, Completed) == nil:
					violation = "done without a completed attempt"
				}
				if violation != "" {
					t.Fatalf("%s: %+v with %+v: %+v", violation, forward, conditions, decision)
				}
				if action, retry, cancel := expectedDecision(forward, conditions); decision.Action != action || decision.SpendsRetry != retry || decision.CancelAttempt != cancel {
					t.Fatalf("%+v with %+v: got %+v, want %v, retry %v, cancel %q", forward, conditions, decision, action, retry, cancel)
				}
				if (decision.Action == ForwardReject || decision.Action == ForwardLost || decision.Action == ForwardAbort) && decision.Reason == "" {
					t.Fatalf("%+v with %+v: decision %+v has no reason", forward, conditions, decision)
				}
			}
		}
	})
	t.Logf("%d records checked", count)
}

// TestForwardRecord: Record accepts only transitions towards a final state.
func TestForwardRecord(t *testing.T) {
	for _, c := range []struct {
		from, to State
		ok       bool
	}{{Sent, Started, true}, {Sent, NotStarted, true}, {Sent, Interrupted, true}, {Sent, Completed, true}, {Started, Interrupted, true}, {Started, Completed, true},
		{Started, NotStarted, false}, {Started, Sent, false}, {Interrupted, NotStarted, false}, {Interrupted, Completed, false}, {NotStarted, Started, false},
		{NotStarted, Interrupted, false}, {Completed, Interrupted, false}, {Completed, NotStarted, false}} {
		p := Forward{Attempts: []Attempt{{ID: "0", State: c.from}}}
		if ok := p.Record("0", c.to, "x"); ok != c.ok || ok && p.Attempts[0].State != c.to || !ok && p.Attempts[0].State != c.from {
			t.Errorf("from %v to %v: accepted %v, state is now %v", c.from, c.to, ok, p.Attempts[0].State)
		}
		if p.Record("1", c.to, "x") {
			t.Error("Record accepted an unknown attempt id")
		}
	}
}
