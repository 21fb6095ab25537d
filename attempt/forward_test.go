package attempt

import (
	"fmt"
	"testing"
)

// attemptKinds are the kinds of attempt that a Forward may hold.
var attemptKinds = []Attempt{{State: Sent}, {State: NotStarted, Cause: "skipped"}, {State: NotStarted, Cause: Unreachable}, {State: Started},
	{State: Interrupted, Cause: "engine-lost"}, {State: Completed}}

// each calls f with every record of up to most attempts, of which only the last one may
// be under way or finished.
func each(most int, f func([]Attempt)) {
	var walk func(l []Attempt)
	walk = func(l []Attempt) {
		f(l)
		if n := len(l); n == most || n > 0 && l[n-1].State != NotStarted && l[n-1].State != Interrupted {
			return
		}
		for _, x := range attemptKinds {
			x.ID = fmt.Sprint(len(l))
			walk(append(append([]Attempt(nil), l...), x))
		}
	}
	walk(nil)
}

func has(l []Attempt, s State) *Attempt {
	for i := range l {
		if l[i].State == s {
			return &l[i]
		}
	}
	return nil
}

// want is the decision table, written anew from what callers and engines may be promised.
func want(p Forward, f Conditions) (d ForwardAction, retry bool, cancel string) {
	reached := 0 // engines that may have seen it
	for _, a := range p.Attempts {
		if a.State != NotStarted || a.Cause == "skipped" {
			reached++
		}
	}
	live := has(p.Attempts, Sent)
	if live == nil {
		live = has(p.Attempts, Started)
	}
	lost := has(p.Attempts, Interrupted) != nil
	switch {
	case p.Ended:
		return ForwardWait, false, ""
	case has(p.Attempts, Completed) != nil:
		return ForwardDone, false, ""
	case live != nil && p.StopReason == "":
		return ForwardWait, false, ""
	case live != nil && p.HeadSent:
		return ForwardAbort, false, live.ID
	case live != nil:
		return ForwardLost, false, live.ID
	}
	may := p.StopReason == "" && f.TimeLeft && reached < p.MaxEngines && (reached == 0 || f.RetryAllowed)
	if lost {
		may = may && (!p.HeadSent && p.Repeatable || p.HeadSent && p.Resumable)
	}
	switch {
	case may:
		return ForwardSend, reached > 0, ""
	case p.HeadSent:
		return ForwardAbort, false, ""
	case lost:
		return ForwardLost, false, ""
	}
	return ForwardReject, false, ""
}

// TestForwardDecisions goes through every record of up to three attempts and checks each
// decision by what it promises, and against the decision table written anew in want.
func TestForwardDecisions(t *testing.T) {
	n := 0
	bits := func(x, i int) bool { return x>>i&1 == 1 }
	each(3, func(l []Attempt) {
		for x := range 1 << 7 {
			for most := 1; most <= 3; most++ {
				p := Forward{Repeatable: bits(x, 0), Resumable: bits(x, 1), HeadSent: bits(x, 2), Ended: bits(x, 3), MaxEngines: most, Attempts: l}
				if bits(x, 4) {
					p.StopReason = "caller-gone"
				}
				f := Conditions{TimeLeft: bits(x, 5), RetryAllowed: bits(x, 6)}
				m := p.Next(f)
				n++
				ran := has(l, Sent) != nil || has(l, Started) != nil || has(l, Interrupted) != nil || has(l, Completed) != nil
				bad := ""
				switch {
				case m.Action == ForwardSend && ran && !p.Repeatable && !p.Resumable:
					bad = "it may run twice"
				case m.Action == ForwardSend && (has(l, Sent) != nil || has(l, Started) != nil || has(l, Completed) != nil):
					bad = "it is sent beside an attempt that was not lost"
				case m.Action == ForwardReject && (ran || p.HeadSent):
					bad = "it is promised that it never ran"
				case m.Action == ForwardLost && p.HeadSent, m.Action == ForwardAbort && !p.HeadSent:
					bad = "the answer is ended in the wrong way"
				case m.Action == ForwardDone && has(l, Completed) == nil:
					bad = "no attempt finished"
				}
				if bad != "" {
					t.Fatalf("%s: %+v with %+v: %+v", bad, p, f, m)
				}
				if d, retry, cancel := want(p, f); m.Action != d || m.SpendsRetry != retry || m.CancelAttempt != cancel {
					t.Fatalf("%+v with %+v: %+v, not %v, retry %v, cancel %q", p, f, m, d, retry, cancel)
				}
				if (m.Action == ForwardReject || m.Action == ForwardLost || m.Action == ForwardAbort) && m.Reason == "" {
					t.Fatalf("%+v with %+v: %+v has no reason", p, f, m)
				}
			}
		}
	})
	t.Logf("%d records", n)
}

// TestForwardRecord: what is known of an attempt never moves backwards.
func TestForwardRecord(t *testing.T) {
	for _, c := range []struct {
		from, to State
		ok       bool
	}{{Sent, Started, true}, {Sent, NotStarted, true}, {Sent, Interrupted, true}, {Sent, Completed, true}, {Started, Interrupted, true}, {Started, Completed, true},
		{Started, NotStarted, false}, {Started, Sent, false}, {Interrupted, NotStarted, false}, {Interrupted, Completed, false}, {NotStarted, Started, false},
		{NotStarted, Interrupted, false}, {Completed, Interrupted, false}, {Completed, NotStarted, false}} {
		p := Forward{Attempts: []Attempt{{ID: "0", State: c.from}}}
		if ok := p.Record("0", c.to, "x"); ok != c.ok || ok && p.Attempts[0].State != c.to || !ok && p.Attempts[0].State != c.from {
			t.Errorf("from %v to %v: %v, is %v", c.from, c.to, ok, p.Attempts[0].State)
		}
		if p.Record("1", c.to, "x") {
			t.Error("an attempt that is not there was recorded")
		}
	}
}
