package placement

import "testing"

// TestFailureScore: failures add up to a bound, a success halves them, time forgets them.
func TestFailureScore(t *testing.T) {
	var f failureScore
	now := int64(5_000_000)
	if f.at(now) != 0 {
		t.Fatal("nothing failed")
	}
	for range 20 {
		f.failed(now)
	}
	if got := f.at(now); got != maxFailureScore {
		t.Errorf("after many failures: %v", got)
	}
	f.succeeded(now)
	if got := f.at(now); got != maxFailureScore/2 {
		t.Errorf("after a success: %v", got)
	}
	if got := f.at(now + failureScoreHalfLife); got != maxFailureScore/4.0 {
		t.Errorf("a half-life later: %v", got)
	}
	if got := f.at(now + 20*failureScoreHalfLife); got != 0 {
		t.Errorf("long after: %v", got)
	}
}

// TestSharedFailures: an engine that fails for other proxies is left for another one at once,
// used again once they report no failures any more, and used all the while if there is no
// other or if all fail alike, since then the network may be at fault.
func TestSharedFailures(t *testing.T) {
	now := int64(10_000_000)
	f := newTestFleet(2)
	f.Cost.AffinityPenaltyUS = 0
	pick := func() string {
		c, ok := f.Pick(now, request("own"))
		if !ok {
			t.Fatal("no choice")
		}
		return c.Engine.ID
	}
	first := pick()
	other := map[string]string{"i-0": "i-1", "i-1": "i-0"}[first]
	f.SetOtherLoads(now, map[uint64]Load{EngineHolderID(first): {Failures: 6}}, false)
	if got := pick(); got != other {
		t.Errorf("%s fails for others and gets the request", got)
	}
	f.SetOtherLoads(now, map[uint64]Load{EngineHolderID(first): {Failures: 6}, EngineHolderID(other): {Failures: 6}}, false)
	if got := pick(); got != first {
		t.Errorf("all fail alike, and %s gets the request instead of %s", got, first)
	}
	f.SetOtherLoads(now, nil, false)
	if got := pick(); got != first {
		t.Errorf("nothing fails any more, and %s gets the request", got)
	}
}

// TestFailuresReported: an engine's failures are told to the others as long as they count, also
// when nothing is under way there.
func TestFailuresReported(t *testing.T) {
	now := int64(10_000_000)
	f := newTestFleet(2)
	f.Eject(now, "i-1", 100_000, true)
	loads := f.OwnLoads(now)
	if len(loads) != 1 || loads[EngineHolderID("i-1")].Failures != 1 {
		t.Errorf("%+v", loads)
	}
	if loads = f.OwnLoads(now + 10*failureScoreHalfLife); len(loads) != 0 {
		t.Errorf("long after: %+v", loads)
	}
}
