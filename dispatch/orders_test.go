package dispatch

import "testing"

// TestOrdersOfFormerOwner: an order that a former owner of the engine gave, and that comes
// after its successor's, changes nothing; the successor's next one does.
func TestOrdersOfFormerOwner(t *testing.T) {
	const now = 10_000_000
	d := New("p", "north", 1)
	for _, c := range []struct {
		what  string
		order EngineGrant
		epoch uint64
		age   int64
	}{
		{"the first", EngineGrant{Engine: "e", FencingToken: 2, NodeID: 20, Age: 100}, 2, 100},
		{"a former owner's, late", EngineGrant{Engine: "e", FencingToken: 1, NodeID: 10, Age: 50}, 2, 100},
		{"the same owner's next", EngineGrant{Engine: "e", FencingToken: 2, NodeID: 20, Age: 40}, 2, 40},
		{"its successor's", EngineGrant{Engine: "e", FencingToken: 3, NodeID: 30, Age: 70}, 3, 70},
	} {
		d.ApplyGrants(now, []EngineGrant{c.order})
		l := d.engines["e"]
		if l.FencingToken != c.epoch || now-l.confirmedAt != c.age || d.engineByNode[l.NodeID] != l || len(d.engineByNode) != 1 {
			t.Errorf("%s: epoch %d, %d old, engines known by their life: %v", c.what, l.FencingToken, now-l.confirmedAt, d.engineByNode)
		}
	}
}
