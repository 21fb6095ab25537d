package dispatch

import (
	"testing"

	"violetthread/attempt"
	"violetthread/plan"
)

// TestSecondLookAtDispatch checks that a request is not sent if its plan or its engine's grant
// exceeded the maximum age while the answer to the claim was pending, although an engine was
// reserved for it before.
func TestSecondLookAtDispatch(t *testing.T) {
	const start, ref = 10_000_000, 1
	digest := plan.KeyDigest("key")
	compiled := plan.Compile(&plan.Plan{
		Weights: "w",
		Kinds:   map[string]plan.Kind{"k": {Once: true, DueUS: 60_000_000}},
		Groups:  map[string]plan.Group{"g": {Share: 1, Keys: []string{digest}}},
	}, 1)
	for _, c := range []struct {
		name                   string
		planAgain, grantAgain  bool // confirmed again before the claim is answered
		answeredAfter          int64
		wantStarts, wantFinish bool
	}{
		{"all is fresh", false, false, 1, true, false},
		{"all is confirmed again", true, true, MaxGrantAge + 1, true, false},
		{"the grant is too old", true, false, MaxGrantAge + 1, false, false},
		{"the plan is too old", false, true, MaxPlanAge + 1, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := New("p", "north", 1)
			grant := []EngineGrant{{Engine: "e", Weights: "w", FencingToken: 1, NodeID: 10, Capacity: 1}}
			d.ApplyPlan(start, compiled, start)
			d.ApplyGrants(start, grant)
			request := Request{Ref: ref, ID: "id", IDFromCaller: true, Generation: 1, Group: "g", Kind: "k", KeyDigest: digest,
				Deadline: start + 60_000_000, Weights: "w", Domain: compiled.CacheDomain("g", "w")}
			actions, rejection := d.Admit(start, request)
			if rejection != nil || len(actions) != 2 || actions[1].Type != ActionClaim {
				t.Fatalf("Admit returned %+v, %+v", actions, rejection)
			}
			now := start + c.answeredAfter
			if c.planAgain {
				d.ApplyPlan(now, compiled, now)
			}
			if c.grantAgain {
				d.ApplyGrants(now, grant)
			}
			types := map[ActionType]bool{}
			for _, action := range d.ClaimAnswered(now, ref, attempt.ClaimGranted) {
				types[action.Type] = true
			}
			if types[ActionStartAttempt] != c.wantStarts || types[ActionFinish] != c.wantFinish {
				t.Fatalf("unexpected action types %v", types)
			}
		})
	}
}
