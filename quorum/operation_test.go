package quorum

import "testing"

// TestFullState: without room a change is refused and what stands is read as before.
func TestFullState(t *testing.T) {
	n, _, do := newSingleNode(t, 0)
	n.config.MaxStateBytes = n.StateBytes() + 600
	now := int64(3_000_000)
	if a := do(now, Operation{ID: 1, Type: OpPut, Key: "plan", Value: make([]byte, 100)}); a.Status != StatusDone {
		t.Fatalf("%+v", a)
	}
	if a := do(now, Operation{ID: 2, Type: OpPut, Key: "plan", Value: make([]byte, 4000), ExpectedRevision: 1}); a.Status != StatusFull {
		t.Fatalf("%+v", a)
	}
	if a := do(now, Operation{ID: 3, Type: OpGet, Key: "plan"}); a.Status != StatusDone || a.Revision != 1 || len(a.Value) != 100 {
		t.Fatalf("%+v", a)
	}
}
