package quorum

import "testing"

// TestFullState: without room a change is refused and what stands is read as before.
func TestFullState(t *testing.T) {
	node, _, do := newSingleNode(t, 0)
	node.config.MaxStateBytes = node.StateBytes() + 600
	now := int64(3_000_000)
	if result := do(now, Operation{ID: 1, Type: OpPut, Key: "plan", Value: make([]byte, 100)}); result.Status != StatusDone {
		t.Fatalf("%+v", result)
	}
	if result := do(now, Operation{ID: 2, Type: OpPut, Key: "plan", Value: make([]byte, 4000), ExpectedRevision: 1}); result.Status != StatusFull {
		t.Fatalf("%+v", result)
	}
	if result := do(now, Operation{ID: 3, Type: OpGet, Key: "plan"}); result.Status != StatusDone || result.Revision != 1 || len(result.Value) != 100 {
		t.Fatalf("%+v", result)
	}
}
