package placement

import "testing"

// TestFailureScore checks that failures accumulate up to a bound, that a success halves the score
// and that it decays with time.
func TestFailureScore(t *testing.T) {
	var f failureScore
	now := int64(5_000_000)
	if f.at(now) != 0 {
		t.Fatal("non-zero score without failures")
	}
	for range 20 {
		f.recordFailure(now)
	}
	if got := f.at(now); got != maxFailureScore {
		t.Errorf("score after 20 failures: %v", got)
	}
	f.recordSuccess(now)
	if got := f.at(now); got != maxFailureScore/2 {
		t.Errorf("score after a success: %v", got)
	}
	if got := f.at(now + failureScoreHalfLife); got != maxFailureScore/4.0 {
		t.Errorf("score one half-life later: %v", got)
	}
	if got := f.at(now + 20*failureScoreHalfLife); got != 0 {
		t.Errorf("score 20 half-lives later: %v", got)
	}
}

// TestSharedFailures checks that an engine with failures reported by other proxies is avoided at
// once and used again when they report none any more. If all engines have the same failures, the
// choice does not change, since the cause may be the network.
func TestSharedFailures(t *testing.T) {
	now := int64(10_000_000)
	f := newTestFleet(2)
	f.Cost.AffinityPenaltyUS = 0
	pick := func() string {
		c, ok := f.Pick(now, request("own"))
		if !ok {
			t.Fatal("no engine selected")
		}
		return c.Engine.ID
	}
	first := pick()
	other := map[string]string{"i-0": "i-1", "i-1": "i-0"}[first]
	f.SetOtherLoads(now, map[uint64]Load{EngineHolderID(first): {Failures: 6}}, false)
	if got := pick(); got != other {
		t.Errorf("%s selected although other proxies report failures there", got)
	}
	f.SetOtherLoads(now, map[uint64]Load{EngineHolderID(first): {Failures: 6}, EngineHolderID(other): {Failures: 6}}, false)
	if got := pick(); got != first {
		t.Errorf("%s selected instead of %s, although both have the same failures", got, first)
	}
	f.SetOtherLoads(now, nil, false)
	if got := pick(); got != first {
		t.Errorf("%s selected after the reported failures ended", got)
	}
}

// TestFailuresReported checks that an engine's failures are reported to other proxies until they
// have decayed, even if no request is in flight there.
func TestFailuresReported(t *testing.T) {
	now := int64(10_000_000)
	f := newTestFleet(2)
	f.Eject(now, "i-1", 100_000, true)
	loads := f.OwnLoads(now)
	if len(loads) != 1 || loads[EngineHolderID("i-1")].Failures != 1 {
		t.Errorf("loads after a failure: %+v", loads)
	}
	if loads = f.OwnLoads(now + 10*failureScoreHalfLife); len(loads) != 0 {
		t.Errorf("loads 10 half-lives later: %+v", loads)
	}
}
