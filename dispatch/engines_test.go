package dispatch

import "testing"

// TestGrantsOfFormerOwner checks that a late grant from a former owner of an engine is ignored,
// and that further grants of the current owner and of its successor are applied.
func TestGrantsOfFormerOwner(t *testing.T) {
	const now = 10_000_000
	d := New("p", "north", 1)
	for _, step := range []struct {
		what      string
		grant     EngineGrant
		wantToken uint64
		wantAge   int64
	}{
		{"the first", EngineGrant{Engine: "e", FencingToken: 2, NodeID: 20, Age: 100}, 2, 100},
		{"a former owner's, late", EngineGrant{Engine: "e", FencingToken: 1, NodeID: 10, Age: 50}, 2, 100},
		{"the same owner's next", EngineGrant{Engine: "e", FencingToken: 2, NodeID: 20, Age: 40}, 2, 40},
		{"its successor's", EngineGrant{Engine: "e", FencingToken: 3, NodeID: 30, Age: 70}, 3, 70},
	} {
		d.ApplyGrants(now, []EngineGrant{step.grant})
		engine := d.engines["e"]
		age := now - engine.confirmedAt
		if engine.FencingToken != step.wantToken || age != step.wantAge {
			t.Errorf("%s: fencing token %d, age %d", step.what, engine.FencingToken, age)
		}
		if d.engineByNode[engine.NodeID] != engine || len(d.engineByNode) != 1 {
			t.Errorf("%s: unexpected engines by node: %v", step.what, d.engineByNode)
		}
	}
}
