package quorum

import (
	"fmt"
	"testing"
)

// TestClaimsOfAGeneration: a claim stands while its generation is open; then it is granted
// to nobody any more, however late it is asked for, and takes no room.
func TestClaimsOfAGeneration(t *testing.T) {
	s := newSingleNode(t, 10_000_000)
	empty := s.node.StateBytes()
	claim := func(kind OperationType, generation uint64, value string) Operation {
		return Operation{Type: kind, Key: ClaimKey(generation, "g/1"), Value: []byte(value)}
	}
	for _, test := range []struct {
		name       string
		kind       OperationType
		generation uint64
		value      string
		want       Status
	}{
		{"a free claim", OpClaim, 1, "x", StatusDone},
		{"the very same claim again", OpClaim, 1, "x", StatusDone},
		{"another's claim", OpClaim, 1, "y", StatusConflict},
		{"another's claim given back", OpUnclaim, 1, "y", StatusConflict},
		{"a claim given back", OpUnclaim, 1, "x", StatusDone},
		{"a claim that was given back", OpClaim, 1, "y", StatusDone},
		{"no generation", OpClaim, 0, "y", StatusConflict},
		{"a generation that is not open yet", OpClaim, 9, "y", StatusGenerationNotOpen},
	} {
		s.expect(test.name, claim(test.kind, test.generation, test.value), test.want)
	}
	s.runUntil(25_000_000)
	s.expect("while its generation is open", claim(OpClaim, 1, "z"), StatusConflict)
	s.runUntil(40_000_000)
	s.expect("in a closed generation", claim(OpClaim, 1, "z"), StatusGenerationClosed)
	if result := s.propose(claim(OpUnclaim, 1, "y")); result.Status == StatusDone {
		t.Fatal("given back in a closed generation")
	}
	// What is left are the floors of the slots.
	if left := s.node.StateBytes() - empty; left > 16*300 {
		t.Fatalf("%d bytes are left", left)
	}
	s.expect("anybody opens generations", Operation{Type: OpPut, Key: GenerationKey, Value: []byte("x"), ExpectedRevision: AnyRevision}, StatusConflict)
}

// TestClaimsLeaveRoom: claims that fill their part of the room leave configurations and role
// leases theirs, and a role lease that finds none is not blocked afterwards.
func TestClaimsLeaveRoom(t *testing.T) {
	s := newSingleNode(t, 0)
	s.node.config.MaxStateBytes = s.node.StateBytes() + 6000
	full := false
	for i := 0; i < 40 && !full; i++ {
		full = s.propose(Operation{Type: OpClaim, Key: ClaimKey(1, fmt.Sprint("g/", i)), Value: []byte("x")}).Status == StatusFull
	}
	if !full {
		t.Fatal("claims took all the room")
	}
	s.acquire("there is room for a role lease", "p", StatusDone)
	s.node.config.MaxStateBytes = s.node.StateBytes()
	s.now += 2_000_000
	// The node's own lease would have expired by now, since nobody ticked it.
	s.node.slotOf(testRole).leaseUntil = s.now + 500_000
	s.acquire("there is no room", "q", StatusFull)
	s.node.config.MaxStateBytes += 1000
	s.acquire("after one that found no room", "r", StatusDone)
}
