package quorum

import (
	"fmt"
	"testing"
)

// TestClaimsOfAnEra: a claim stands while its era is open; then it is granted to
// nobody any more, however late it is asked for, and takes no room.
func TestClaimsOfAGeneration(t *testing.T) {
	n, step, do := newSingleNode(t, 10_000_000)
	now, id := int64(3_000_000), uint64(0)
	op := func(k OperationType, era uint64, name, val string) Status {
		id++
		return do(now, Operation{ID: id, Type: k, Key: ClaimKey(era, name), Value: []byte(val)}).Status
	}
	empty := n.StateBytes()
	for i, c := range []struct {
		kind OperationType
		era  uint64
		val  string
		want Status
	}{{OpClaim, 1, "x", StatusDone}, {OpClaim, 1, "x", StatusDone}, {OpClaim, 1, "y", StatusConflict}, {OpUnclaim, 1, "y", StatusConflict},
		{OpUnclaim, 1, "x", StatusDone}, {OpClaim, 1, "y", StatusDone}, {OpClaim, 0, "y", StatusConflict}, {OpClaim, 9, "y", StatusGenerationNotOpen}} {
		if s := op(c.kind, c.era, "g/1", c.val); s != c.want {
			t.Fatalf("%d: %+v ended in %d", i, c, s)
		}
	}
	for ; now < 25_000_000; now += 25_000 {
		step(now)
	}
	if s := op(OpClaim, 1, "g/1", "z"); s != StatusConflict {
		t.Fatalf("forgotten while its era was open: %d", s)
	}
	for ; now < 40_000_000; now += 25_000 {
		step(now)
	}
	if s := op(OpClaim, 1, "g/1", "z"); s != StatusGenerationClosed {
		t.Fatalf("claimed in a closed era: %d", s)
	}
	if s := op(OpUnclaim, 1, "g/1", "y"); s == StatusDone {
		t.Fatal("given back in a closed era")
	}
	// What is left are the floors of the slots.
	if left := n.StateBytes() - empty; left > 16*300 {
		t.Fatalf("%d bytes are left", left)
	}
	id++
	if a := do(now, Operation{ID: id, Type: OpPut, Key: GenerationKey, Value: []byte("x"), ExpectedRevision: AnyRevision}); a.Status != StatusConflict {
		t.Fatalf("anybody opens eras: %+v", a)
	}
}

// TestClaimsLeaveRoom: claims that fill their part of the room leave plans and duties
// theirs, and a duty that finds none is not held up afterwards.
func TestClaimsLeaveRoom(t *testing.T) {
	n, _, do := newSingleNode(t, 0)
	n.config.MaxStateBytes = n.StateBytes() + 6000
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
		return do(now, Operation{ID: id, Type: OpAcquire, Key: "duty/x", Holder: who, LeaseDuration: 1_000_000})
	}
	if a := hold("p"); a.Status != StatusDone {
		t.Fatalf("no room for a duty: %+v", a)
	}
	n.config.MaxStateBytes = n.StateBytes()
	now += 2_000_000
	// The lone voter's lease would have run out by now if nobody ticked it.
	n.slots[SlotOf("duty/x", n.config.Slots)].leaseUntil = now + 500_000
	if a := hold("q"); a.Status != StatusFull {
		t.Fatalf("%+v", a)
	}
	n.config.MaxStateBytes += 1000
	if a := hold("r"); a.Status != StatusDone {
		t.Fatalf("held up by one that found no room: %+v", a)
	}
}
