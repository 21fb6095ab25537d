package clock_test

import (
	"testing"
	"time"

	"violetthread/internal/clock"
)

// TestNow: the clock advances and never goes backwards.
func TestNow(t *testing.T) {
	first := clock.Now()
	last := first
	for last == first {
		now := clock.Now()
		if now < last {
			t.Fatalf("%d after %d", now, last)
		}
		last = now
	}
	if first <= 0 {
		t.Fatalf("%d microseconds since boot", first)
	}
}

func TestDuration(t *testing.T) {
	if got := clock.Duration(1_500_000); got != 1500*time.Millisecond {
		t.Fatalf("%v", got)
	}
}
