package quorum

import "testing"

// TestFullState: without space a change is refused, and the previous value can still be read.
func TestFullState(t *testing.T) {
	s := newSingleNode(t, 0)
	s.node.config.MaxStateBytes = s.node.StateBytes() + 600
	s.expect("change with enough space", Operation{Type: OpPut, Key: "plan", Value: make([]byte, 100)}, StatusDone)
	s.expect("change without space", Operation{Type: OpPut, Key: "plan", Value: make([]byte, 4000), ExpectedRevision: 1}, StatusFull)
	read := s.expect("read of the previous value", Operation{Type: OpGet, Key: "plan"}, StatusDone)
	if read.Revision != 1 || len(read.Value) != 100 {
		t.Fatalf("%+v", read)
	}
}
