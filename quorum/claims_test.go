package quorum

import (
	"fmt"
	"testing"
)

// TestClaimsOfAGeneration: a claim stands while its generation is open; then it is granted
// to nobody any more, however late it is asked for, and takes no room.
func TestClaimsOfAGeneration(t *testing.T) {
	node, step, do := newSingleNode(t, 10_000_000)
	now, id := int64(3_000_000), uint64(0)
	propose := func(kind OperationType, era uint64, name, val string) Status {
		id++
		return do(now, Operation{ID: id, Type: kind, Key: ClaimKey(era, name), Value: []byte(val)}).Status
	}
	empty := node.StateBytes()
	for i, test := range []struct {
		kind OperationType
		era  uint64
		val  string
		want Status
	}{{OpClaim, 1, "x", StatusDone}, {OpClaim, 1, "x", StatusDone}, {OpClaim, 1, "y", StatusConflict}, {OpUnclaim, 1, "y", StatusConflict},
		{OpUnclaim, 1, "x", StatusDone}, {OpClaim, 1, "y", StatusDone}, {OpClaim, 0, "y", StatusConflict}, {OpClaim, 9, "y", StatusGenerationNotOpen}} {
		if status := propose(test.kind, test.era, "g/1", test.val); status != test.want {
			t.Fatalf("%d: %+v ended in %d", i, test, status)
		}
	}
	for ; now < 25_000_000; now += 25_000 {
		step(now)
	}
	if status := propose(OpClaim, 1, "g/1", "z"); status != StatusConflict {
		t.Fatalf("forgotten while its generation was open: %v", status)
	}
	for ; now < 40_000_000; now += 25_000 {
		step(now)
	}
	if status := propose(OpClaim, 1, "g/1", "z"); status != StatusGenerationClosed {
		t.Fatalf("claimed in a closed generation: %v", status)
	}
	if status := propose(OpUnclaim, 1, "g/1", "y"); status == StatusDone {
		t.Fatal("given back in a closed generation")
	}
	// What is left are the floors of the slots.
	if left := node.StateBytes() - empty; left > 16*300 {
		t.Fatalf("%d bytes are left", left)
	}
	id++
	if result := do(now, Operation{ID: id, Type: OpPut, Key: GenerationKey, Value: []byte("x"), ExpectedRevision: AnyRevision}); result.Status != StatusConflict {
		t.Fatalf("anybody opens generations: %+v", result)
	}
}

// TestClaimsLeaveRoom: claims that fill their part of the room leave configurations and role leases
// theirs, and a role lease that finds none is not blocked afterwards.
func TestClaimsLeaveRoom(t *testing.T) {
	node, _, do := newSingleNode(t, 0)
	node.config.MaxStateBytes = node.StateBytes() + 6000
	now, id := int64(3_000_000), uint64(0)
	full := false
	for i := 0; i < 40 && !full; i++ {
		id++
		full = do(now, Operation{ID: id, Type: OpClaim, Key: fmt.Sprint("claim/1/g/", i), Value: []byte("x")}).Status == StatusFull
	}
	if !full {
		t.Fatal("claims took all the room")
	}
	hold := func(who string) Result {
		id++
		return do(now, Operation{ID: id, Type: OpAcquire, Key: rolePrefix + "x", Holder: who, LeaseDuration: 1_000_000})
	}
	if result := hold("p"); result.Status != StatusDone {
		t.Fatalf("no room for a role lease: %+v", result)
	}
	node.config.MaxStateBytes = node.StateBytes()
	now += 2_000_000
	// The lone voter's lease would have run out by now if nobody ticked it.
	node.slots[SlotOf(rolePrefix+"x", node.config.Slots)].leaseUntil = now + 500_000
	if result := hold("q"); result.Status != StatusFull {
		t.Fatalf("%+v", result)
	}
	node.config.MaxStateBytes += 1000
	if result := hold("r"); result.Status != StatusDone {
		t.Fatalf("blocked by one that found no room: %+v", result)
	}
}
