package attempt

import (
	"math/rand"
	"testing"
)

// countIn is the number of times in (to-span, to].
func countIn(times []int64, to, span int64) (n int) {
	for _, at := range times {
		if at <= to && at > to-span {
			n++
		}
	}
	return n
}

// TestRetryWindowSlides: in random traffic, no interval of the window's length holds more
// retries than the requests in it, or in an interval that ends up to one window earlier, allow.
func TestRetryWindowSlides(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		w := RetryWindow{Ratio: []float64{0, 0.05, 0.1, 0.3}[rnd.Intn(4)], Allowance: float64(rnd.Intn(12)), SpanUS: 1_000_000 * int64(1+rnd.Intn(10))}
		now := int64(50_000_000) + rnd.Int63n(10_000_000)
		var requests, retries []int64 // times
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
				requests = append(requests, now)
			}
			for rnd.Intn(2) == 0 && w.Allows(now) {
				w.CountRetry(now)
				retries = append(retries, now)
			}
		}
		for _, to := range retries {
			retried := countIn(retries, to, w.SpanUS)
			requested := max(countIn(requests, to, w.SpanUS), countIn(requests, to-w.SpanUS/2, w.SpanUS), countIn(requests, to-w.SpanUS, w.SpanUS))
			if limit := w.Ratio*float64(requested) + w.Allowance; float64(retried) > limit {
				t.Fatalf("seed %d: %d retries in the %d us up to %d, %d requests allow %.1f", seed, retried, w.SpanUS, to, requested, limit)
			}
		}
	}
}

// TestRetryWindowEdge: retries at the end of a step count against the limit until a whole
// window has passed, also when the ring buffer is about to reuse that step's slot.
func TestRetryWindowEdge(t *testing.T) {
	const span, step = 10_000_000, 10_000_000 / windowSteps
	w := RetryWindow{Allowance: 10, SpanUS: span}
	at, n := int64(100*step+step-1), 0
	for w.Allows(at) {
		w.CountRetry(at)
		n++
	}
	if n != 10 {
		t.Fatalf("%d retries were allowed, want 10", n)
	}
	for to := at; to < at+span; to += step / 10 {
		if w.Allows(to) {
			t.Fatalf("an eleventh retry was allowed %d us after the tenth, the window is %d us", to-at, int64(span))
		}
	}
	if !w.Allows(at + 2*span) {
		t.Fatal("no retry is allowed two windows after the last one")
	}
}

// TestRetryWindowEarly: retries are counted correctly when the clock is in step 0, which is
// also the zero value of the current step.
func TestRetryWindowEarly(t *testing.T) {
	w := RetryWindow{Allowance: 1, SpanUS: 10_000_000}
	w.CountRetry(1000)
	if w.Allows(2000) {
		t.Fatal("a retry in the clock's first step was not counted")
	}
}
