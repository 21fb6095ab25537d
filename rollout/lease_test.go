package rollout

import (
	"slices"
	"testing"
)

func TestLeasePermits(t *testing.T) {
	lease := Lease{FencingToken: 7, ExpiresAt: 5_000_000}
	for _, c := range []struct {
		name  string
		now   int64
		fence uint64
		want  bool
	}{
		{"fresh", 1_000_000, 7, true},
		{"just in time", 5_000_000 - RequestTimeout - 1, 7, true},
		{"too late to arrive", 5_000_000 - RequestTimeout, 7, false},
		{"run out", 5_000_001, 7, false},
		{"paused for long", 25_000_000, 7, false},
		{"decided under an earlier hold", 1_000_000, 6, false},
		{"decided under a later hold", 1_000_000, 8, false},
	} {
		if err := lease.Permit(c.now, c.fence); (err == nil) != c.want {
			t.Errorf("%s: %v", c.name, err)
		}
	}
	if (Lease{FencingToken: 7}).Permit(1, 7) == nil {
		t.Error("a lease that was given back permits")
	}
}

// A conductor that is made anew under the same hold, since its state could not be written,
// does not wait another lease out, nor say again what it has just said.
func TestResumeUnderTheSameHold(t *testing.T) {
	const began, now = 100_000_000, 110_000_000
	figures := DefaultConfig(12_000_000, 3_000_000)
	state := State{
		Updates: map[string]Update{
			"said":   {Model: "m", Version: 2, Phase: PhaseRequested},
			"unsaid": {Model: "m", Version: 2, Phase: PhaseRequested},
		},
		Applied: map[string]map[string]uint64{"turned": {"m": 1}},
	}
	engines := []Engine{
		{ID: "said", Weights: map[string]uint64{"m": 1}},
		{ID: "turned", Weights: map[string]uint64{"m": 1}},
		{ID: "unsaid", Weights: map[string]uint64{"m": 1}},
	}
	ordered := func(c *Scheduler, now int64) (ids []string) {
		orders, _, _ := c.Step(now, engines)
		for _, o := range orders {
			ids = append(ids, o.Engine)
		}
		return ids
	}
	resumed := func(began int64) *Scheduler {
		c := New(figures, now, began, State{Updates: map[string]Update{"said": state.Updates["said"], "unsaid": state.Updates["unsaid"]}, Applied: state.Applied})
		c.Resume(began, map[string]int64{"said": now - 1_000_000})
		c.Announce("m", 2, began)
		return c
	}
	if got := ordered(resumed(began), now); !slices.Equal(got, []string{"unsaid"}) {
		t.Errorf("orders to %v, want one to the engine that was sent none", got)
	}
	if got := ordered(resumed(began), now-1_000_000+figures.RetryAfter); !slices.Contains(got, "said") {
		t.Errorf("orders to %v, the one without an answer is not said again", got)
	}
	// Right after the duty changed hands, another holder's orders may still be young.
	if got := ordered(resumed(now-figures.LeaseDuration+1), now); len(got) != 0 {
		t.Errorf("orders to %v within the lease of the holder before", got)
	}
}
