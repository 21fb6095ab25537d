package quorum

import "testing"

// TestFullState: without room a change is refused and what stands is read as before.
func TestFullState(t *testing.T) {
	s := newSingleNode(t, 0)
	s.node.config.MaxStateBytes = s.node.StateBytes() + 600
	s.expect("there is room", Operation{Type: OpPut, Key: "plan", Value: make([]byte, 100)}, StatusDone)
	s.expect("there is none", Operation{Type: OpPut, Key: "plan", Value: make([]byte, 4000), ExpectedRevision: 1}, StatusFull)
	read := s.expect("a read", Operation{Type: OpGet, Key: "plan"}, StatusDone)
	if read.Revision != 1 || len(read.Value) != 100 {
		t.Fatalf("%+v", read)
	}
}
