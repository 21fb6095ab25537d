package quorum

import (
	"fmt"
	"testing"
)

// TestClaimGenerations: a claim is kept while its generation is open. Afterwards it is never
// granted again, however late the request, and takes no space.
func TestClaimGenerations(t *testing.T) {
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
		{"free claim", OpClaim, 1, "x", StatusDone},
		{"same claim repeated", OpClaim, 1, "x", StatusDone},
		{"claim of another owner", OpClaim, 1, "y", StatusConflict},
		{"claim of another owner released", OpUnclaim, 1, "y", StatusConflict},
		{"claim released", OpUnclaim, 1, "x", StatusDone},
		{"released claim", OpClaim, 1, "y", StatusDone},
		{"no generation in the key", OpClaim, 0, "y", StatusConflict},
		{"generation not open yet", OpClaim, 9, "y", StatusGenerationNotOpen},
	} {
		s.expect(test.name, claim(test.kind, test.generation, test.value), test.want)
	}
	s.runUntil(25_000_000)
	s.expect("claim while its generation is open", claim(OpClaim, 1, "z"), StatusConflict)
	s.runUntil(40_000_000)
	s.expect("claim in a closed generation", claim(OpClaim, 1, "z"), StatusGenerationClosed)
	if result := s.propose(claim(OpUnclaim, 1, "y")); result.Status == StatusDone {
		t.Fatal("a claim of a closed generation was released")
	}
	// Only the claim floors of the slots are left.
	if left := s.node.StateBytes() - empty; left > 16*300 {
		t.Fatalf("%d bytes left over", left)
	}
	s.expect("client opens a generation", Operation{Type: OpPut, Key: GenerationKey, Value: []byte("x"), ExpectedRevision: AnyRevision}, StatusConflict)
}

// TestClaimsReserveSpace: claims up to their limit leave space for configurations and role
// leases, and a role lease that was refused for lack of space can be acquired later.
func TestClaimsReserveSpace(t *testing.T) {
	s := newSingleNode(t, 0)
	s.node.config.MaxStateBytes = s.node.StateBytes() + 6000
	full := false
	for i := 0; i < 40 && !full; i++ {
		full = s.propose(Operation{Type: OpClaim, Key: ClaimKey(1, fmt.Sprint("g/", i)), Value: []byte("x")}).Status == StatusFull
	}
	if !full {
		t.Fatal("no claim was refused for lack of space")
	}
	s.acquire("role lease, space reserved", "p", StatusDone)
	s.node.config.MaxStateBytes = s.node.StateBytes()
	s.now += 2_000_000
	// Without ticks, the node's own lease would have expired by now.
	s.node.slotOf(testRole).leaseUntil = s.now + 500_000
	s.acquire("role lease, no space", "q", StatusFull)
	s.node.config.MaxStateBytes += 1000
	s.acquire("role lease after one refused for lack of space", "r", StatusDone)
}
