package rollout

import "testing"

// TestStateReads: a state is decoded as it was encoded, and a malformed one is an error.
func TestStateReads(t *testing.T) {
	state := State{Updates: map[string]Update{"i": {Model: "m", Version: 3, Phase: PhaseRequested}}, Applied: map[string]map[string]uint64{"j": {"m": 2}}}
	got, err := UnmarshalState(state.Marshal())
	if err != nil || got.Updates["i"] != state.Updates["i"] || got.Version("j", "m", 1) != 2 || got.Version("j", "m", 3) != 3 || got.Version("k", "m", 1) != 1 {
		t.Fatalf("%+v %v", got, err)
	}
	if _, err := UnmarshalState([]byte("{")); err == nil {
		t.Fatal("a malformed state was decoded")
	}
	if state, err := UnmarshalState(nil); err != nil || len(state.Updates) != 0 {
		t.Fatal("an empty register does not give an empty state")
	}
}
