package rollout

import (
	"errors"
	"slices"
	"testing"
)

func TestLeasePermits(t *testing.T) {
	lease := Lease{FencingToken: 7, ExpiresAt: 5_000_000}
	for _, c := range []struct {
		name  string
		now   int64
		token uint64
		want  error // of this type
	}{
		{"fresh", 1_000_000, 7, nil},
		{"last permitted time", 5_000_000 - RequestTimeoutUS - 1, 7, nil},
		{"too late to arrive", 5_000_000 - RequestTimeoutUS, 7, &LeaseEndingError{}},
		{"expired just now", 5_000_001, 7, &LeaseEndingError{}},
		{"expired long ago", 25_000_000, 7, &LeaseEndingError{}},
		{"decided under an earlier lease", 1_000_000, 6, &StaleTokenError{}},
		{"decided under a later lease", 1_000_000, 8, &StaleTokenError{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			err := lease.Permit(c.now, c.token)
			var ending *LeaseEndingError
			var stale *StaleTokenError
			permitted := err == nil
			switch c.want.(type) {
			case nil:
				if !permitted {
					t.Error(err)
				}
			case *LeaseEndingError:
				if permitted || !errors.As(err, &ending) || ending.LeftUS != lease.ExpiresAt-c.now {
					t.Errorf("want a LeaseEndingError, got %v", err)
				}
			case *StaleTokenError:
				if permitted || !errors.As(err, &stale) || stale.Decided != c.token || stale.Current != lease.FencingToken {
					t.Errorf("want a StaleTokenError, got %v", err)
				}
			}
		})
	}
	if (Lease{FencingToken: 7}).Permit(1, 7) == nil {
		t.Error("a released lease permits a request")
	}
}

// TestResumeUnderTheSameLease: a leader that could not write its state makes a new scheduler
// under the same lease. It must not wait for its own lease to expire, nor repeat a request that
// it has just sent.
func TestResumeUnderTheSameLease(t *testing.T) {
	const startedAt, now = 100_000_000, 110_000_000
	config := DefaultConfig(12_000_000, 3_000_000)
	state := State{
		Updates: map[string]Update{
			"sent":   {Model: "m", Version: 2, Phase: PhaseRequested},
			"unsent": {Model: "m", Version: 2, Phase: PhaseRequested},
		},
		Applied: map[string]map[string]uint64{"updated": {"m": 1}},
	}
	engines := []Engine{
		{ID: "sent", Weights: map[string]uint64{"m": 1}},
		{ID: "updated", Weights: map[string]uint64{"m": 1}},
		{ID: "unsent", Weights: map[string]uint64{"m": 1}},
	}
	requested := func(scheduler *Scheduler, now int64) (ids []string) {
		requests, _, _ := scheduler.Step(now, engines)
		for _, request := range requests {
			ids = append(ids, request.Engine)
		}
		return ids
	}
	resumed := func(startedAt int64) *Scheduler {
		scheduler := New(config, now, startedAt, State{Updates: map[string]Update{"sent": state.Updates["sent"], "unsent": state.Updates["unsent"]}, Applied: state.Applied})
		scheduler.Resume(startedAt, map[string]int64{"sent": now - 1_000_000})
		scheduler.Announce("m", 2, startedAt)
		return scheduler
	}
	if got := requested(resumed(startedAt), now); !slices.Equal(got, []string{"unsent"}) {
		t.Errorf("requests to %v, want one to the engine that was not sent one before", got)
	}
	if got := requested(resumed(startedAt), now-1_000_000+config.RetryAfterUS); !slices.Contains(got, "sent") {
		t.Errorf("requests to %v, the unanswered request is not repeated", got)
	}
	// Soon after the leader changed, requests of the former leader may still arrive.
	if got := requested(resumed(now-config.LeaseDurationUS+1), now); len(got) != 0 {
		t.Errorf("requests to %v within the lease of the former leader", got)
	}
}
