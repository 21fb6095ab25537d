package proxy

import (
	"errors"
	"testing"

	"violetthread/internal/clock"
	"violetthread/placement"
	"violetthread/route"
)

// TestRetryBudgetIsCheckedWhereItIsSpent: between the decision to retry a request and the attempt,
// other requests may have used up the retry budget.
func TestRetryBudgetIsCheckedWhereItIsSpent(t *testing.T) {
	u := NewStandalone(t, nil, route.Compile(route.Config{}, 1))
	u.SetRetries(0, 1)
	u.SetEngines(&placement.Engine{ID: "e", Pool: "p", Addr: "127.0.0.1:1"})
	now := clock.Now()
	p := &forwardedRequest{server: u.server, deadline: now + 1_000_000, placement: placement.Request{Pool: "p", TriedEngines: map[string]bool{}}}
	if !p.conditions(now).RetryAllowed {
		t.Fatal("no retry budget at the start")
	}
	if _, err := p.pickEngine(now, true); err != nil {
		t.Fatal(err)
	}
	if _, err := p.pickEngine(now, true); !errors.Is(err, errRetryBudget) {
		t.Fatalf("a second retry got an engine with a budget for one: %v", err)
	}
	if _, err := p.pickEngine(now, false); err != nil {
		t.Fatalf("a first attempt must not need retry budget: %v", err)
	}
}
