package attempt

import (
	"fmt"
	"math/rand"
	"testing"
)

// kinds of attempt lines that a passage may hold.
var lines = []Attempt{{State: Sent}, {State: NotStarted, Cause: "skipped"}, {State: NotStarted, Cause: Unreachable}, {State: Started},
	{State: Interrupted, Cause: "engine-lost"}, {State: Completed}}

// each calls f with every ledger of up to most attempts, of which only the last one may
// be under way or finished.
func each(most int, f func([]Attempt)) {
	var walk func(l []Attempt)
	walk = func(l []Attempt) {
		f(l)
		if n := len(l); n == most || n > 0 && l[n-1].State != NotStarted && l[n-1].State != Interrupted {
			return
		}
		for _, x := range lines {
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

// want is the move table, told anew from what callers and engines may be promised.
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

// TestPassageMoves goes through every ledger, and judges each move by what it promises.
func TestPassageMoves(t *testing.T) {
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
					bad = "it is placed beside an attempt that is no loss"
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
					t.Fatalf("%+v with %+v: %+v, not do %d, retry %v, cancel %q", p, f, m, d, retry, cancel)
				}
				if (m.Action == ForwardReject || m.Action == ForwardLost || m.Action == ForwardAbort) && m.Reason == "" {
					t.Fatalf("%+v with %+v: %+v has no reason", p, f, m)
				}
			}
		}
	})
	t.Logf("%d ledgers", n)
}

// TestPassageNotes: what is known of an attempt never moves backwards.
func TestPassageNotes(t *testing.T) {
	for _, c := range []struct {
		from, to State
		ok       bool
	}{{Sent, Started, true}, {Sent, NotStarted, true}, {Sent, Interrupted, true}, {Sent, Completed, true}, {Started, Interrupted, true}, {Started, Completed, true},
		{Started, NotStarted, false}, {Started, Sent, false}, {Interrupted, NotStarted, false}, {Interrupted, Completed, false}, {NotStarted, Started, false},
		{NotStarted, Interrupted, false}, {Completed, Interrupted, false}, {Completed, NotStarted, false}} {
		p := Forward{Attempts: []Attempt{{ID: "0", State: c.from}}}
		if ok := p.Record("0", c.to, "x"); ok != c.ok || ok && p.Attempts[0].State != c.to || !ok && p.Attempts[0].State != c.from {
			t.Errorf("from %d to %d: %v, is %d", c.from, c.to, ok, p.Attempts[0].State)
		}
		if p.Record("1", c.to, "x") {
			t.Error("an attempt that is not there was noted")
		}
	}
}

// count is the number of times in (to-span, to].
func count(at []int64, to, span int64) (n int) {
	for _, x := range at {
		if x <= to && x > to-span {
			n++
		}
	}
	return n
}

// TestWindowSlides: whatever comes, no span of the window's length holds more sends
// beyond the first than the requests of it, or of the spans before, allow.
func TestWindowSlides(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		w := RetryWindow{Ratio: []float64{0, 0.05, 0.1, 0.3}[rnd.Intn(4)], Allowance: float64(rnd.Intn(12)), SpanUS: 1_000_000 * int64(1+rnd.Intn(10))}
		now := int64(50_000_000) + rnd.Int63n(10_000_000)
		var first, more []int64
		for range 1500 {
			switch rnd.Intn(12) {
			case 0:
				now += rnd.Int63n(w.SpanUS)
			case 1:
				now += w.SpanUS - rnd.Int63n(w.SpanUS/10)
			default:
				now += rnd.Int63n(w.SpanUS/200 + 1)
			}
			if rnd.Intn(3) > 0 {
				w.CountRequest(now)
				first = append(first, now)
			}
			for rnd.Intn(2) == 0 && w.Allows(now) {
				w.CountRetry(now)
				more = append(more, now)
			}
		}
		for _, to := range more {
			n := count(more, to, w.SpanUS)
			f := max(count(first, to, w.SpanUS), count(first, to-w.SpanUS/2, w.SpanUS), count(first, to-w.SpanUS, w.SpanUS))
			if most := w.Ratio*float64(f) + w.Allowance; float64(n) > most {
				t.Fatalf("seed %d: %d sends beyond the first in the %d us up to %d, %d requests allow %.1f", seed, n, w.SpanUS, to, f, most)
			}
		}
	}
}

// TestWindowEdge: sends at the end of one step and at the start of the one that takes its
// place lie within one span.
func TestWindowEdge(t *testing.T) {
	const span, step = 10_000_000, 10_000_000 / windowSteps
	w := RetryWindow{Allowance: 10, SpanUS: span}
	at, n := int64(100*step+step-1), 0
	for w.Allows(at) {
		w.CountRetry(at)
		n++
	}
	if n != 10 {
		t.Fatalf("%d sends fit, 10 are allowed", n)
	}
	for to := at; to < at+span; to += step / 10 {
		if w.Allows(to) {
			t.Fatalf("another send fits %d us after all ten, the span is %d us", to-at, int64(span))
		}
	}
	if !w.Allows(at + 2*span) {
		t.Fatal("the allowance does not come back")
	}
}

// TestWindowEarly: a clock that has just begun forgets nothing.
func TestWindowEarly(t *testing.T) {
	w := RetryWindow{Allowance: 1, SpanUS: 10_000_000}
	w.CountRetry(1000)
	if w.Allows(2000) {
		t.Fatal("a send in the clock's first step is forgotten at once")
	}
}
