package attempt

import (
	"math/rand"
	"testing"
)

// count is the number of times in (to-span, to].
func count(at []int64, to, span int64) (n int) {
	for _, x := range at {
		if x <= to && x > to-span {
			n++
		}
	}
	return n
}

// TestRetryWindowSlides: whatever comes, no span of the window's length holds more
// retries than the requests of it, or of the spans before, allow.
func TestRetryWindowSlides(t *testing.T) {
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
				t.Fatalf("seed %d: %d retries in the %d us up to %d, %d requests allow %.1f", seed, n, w.SpanUS, to, f, most)
			}
		}
	}
}

// TestRetryWindowEdge: retries at the end of one step and at the start of the one that takes its
// place lie within one span.
func TestRetryWindowEdge(t *testing.T) {
	const span, step = 10_000_000, 10_000_000 / windowSteps
	w := RetryWindow{Allowance: 10, SpanUS: span}
	at, n := int64(100*step+step-1), 0
	for w.Allows(at) {
		w.CountRetry(at)
		n++
	}
	if n != 10 {
		t.Fatalf("%d retries fit, 10 are allowed", n)
	}
	for to := at; to < at+span; to += step / 10 {
		if w.Allows(to) {
			t.Fatalf("another retry fits %d us after all ten, the span is %d us", to-at, int64(span))
		}
	}
	if !w.Allows(at + 2*span) {
		t.Fatal("the allowance does not come back")
	}
}

// TestRetryWindowEarly: a clock that has just begun forgets nothing.
func TestRetryWindowEarly(t *testing.T) {
	w := RetryWindow{Allowance: 1, SpanUS: 10_000_000}
	w.CountRetry(1000)
	if w.Allows(2000) {
		t.Fatal("a retry in the clock's first step is forgotten at once")
	}
}
