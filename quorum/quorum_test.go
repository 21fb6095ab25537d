package quorum

import (
	"fmt"
	"testing"
)

func newVoterSet(n int) VoterSet {
	r := VoterSet{Revision: FirstRevision(9)}
	for i := 0; i < n; i++ {
		r.Voters = append(r.Voters, Voter{Name: string(rune('a' + i)), Incarnation: uint64(i + 1), Number: uint16(i + 1)})
	}
	return r
}

// TestStepsShareAVoter tries every step from rosters of one to seven: those that
// are let through leave no two majorities without a common voter, and those that
// are refused would have.
func TestStepsShareAVoter(t *testing.T) {
	for n := 1; n <= 7; n++ {
		r := newVoterSet(n)
		for _, c := range []struct {
			old string
			new *Voter
		}{{"", &Voter{Name: "z", Incarnation: 99}}, {"a", nil}, {"a", &Voter{Name: "z", Incarnation: 99}}} {
			next, err := r.Next(c.old, c.new)
			apart := haveDisjointMajorities(r, next)
			if err == nil && apart {
				t.Errorf("%d voters, %q goes, %v comes: two majorities without a common voter", n, c.old, c.new)
			}
			if err != nil && !apart && len(next.Voters) > 0 {
				t.Errorf("%d voters, %q goes, %v comes: refused for nothing: %v", n, c.old, c.new, err)
			}
		}
	}
	r := newVoterSet(4)
	two := VoterSet{Revision: r.Revision + 1, Voters: append([]Voter{{Name: "y", Incarnation: 98, Number: 50}, {Name: "z", Incarnation: 99, Number: 51}}, r.Voters[2:]...)}
	if checkStep(r, two) == nil {
		t.Error("two voters may be replaced at once")
	}
	if _, err := r.Next("nobody", nil); err == nil {
		t.Error("a voter that is not there may go")
	}
	if _, err := r.Next("", &Voter{Name: "a", Incarnation: 99}); err == nil {
		t.Error("two voters of one name")
	}
}

// disjoint finds a majority of each roster that share nobody.
func haveDisjointMajorities(a, b VoterSet) bool {
	for x := 0; x < 1<<len(a.Voters); x++ {
		qa := map[Voter]bool{}
		for i, v := range a.Voters {
			if x>>i&1 == 1 {
				qa[v] = true
			}
		}
		if len(qa) < a.Majority() {
			continue
		}
		free := 0
		for _, v := range b.Voters {
			if !qa[v] {
				free++
			}
		}
		if len(b.Voters) > 0 && free >= b.Majority() {
			return true
		}
	}
	return false
}

// lone is a roster of one, which settles everything by itself once synced.
func newSingleNode(t *testing.T, era int64) (n *Node, step func(int64) []Result, do func(int64, Operation) Result) {
	t.Helper()
	p := DefaultConfig("a", 1)
	p.GenerationDuration, p.OpenGenerations = era, 3
	n = New(p, newVoterSet(1), 0, nil)
	var recs uint64
	var out []Result
	take := func(now int64, o Ready) {
		for len(o.Records) > 0 || len(o.Results) > 0 {
			recs += uint64(len(o.Records))
			out = append(out, o.Results...)
			if len(o.Records) == 0 {
				break
			}
			o = n.RecordsSynced(now, recs)
		}
	}
	step = func(now int64) []Result {
		take(now, n.Tick(now))
		a := out
		out = nil
		return a
	}
	do = func(now int64, op Operation) Result {
		out = nil
		take(now, n.Propose(now, op))
		for _, a := range out {
			if a.ID == op.ID {
				return a
			}
		}
		t.Fatalf("no answer to %+v", op)
		return Result{}
	}
	for now := int64(0); now <= 3_000_000; now += 25_000 {
		step(now)
	}
	return n, step, do
}

// TestOneRosterOfANumber: a step that is settled comes into force before the next is
// taken, or two rosters of one number would be about.
func TestOneVoterSetPerRevision(t *testing.T) {
	n, _, do := newSingleNode(t, 0)
	now := int64(3_000_000)
	put := func(name string, inc, expect uint64) Result {
		r, err := n.VoterSet().Next("", &Voter{Name: name, Incarnation: inc})
		if err != nil {
			t.Fatal(err)
		}
		return do(now, Operation{ID: inc, Type: OpPut, Key: VoterSetKey, Value: r.Bytes(), ExpectedRevision: expect})
	}
	if a := put("b", 2, 0); a.Status != StatusDone {
		t.Fatalf("%+v", a)
	}
	if a := put("c", 3, 1); a.Status != StatusConflict {
		t.Fatalf("a second roster of that number: %+v", a)
	}
	if o := n.AdmitVoter(now, Voter{Name: "c", Incarnation: 3}); len(o.Records) != 0 {
		t.Fatalf("a second roster of that number: %+v", o)
	}
}

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

// TestDuties: one holder at a time, epochs rise, renewals need the right epoch.
func TestRoleLeases(t *testing.T) {
	_, step, do := newSingleNode(t, 0)
	now, id := int64(3_000_000), uint64(0)
	wait := func(us int64) {
		for end := now + us; now < end; now += 25_000 {
			step(now)
		}
	}
	hold := func(who string, epoch uint64, kind OperationType) Result {
		id++
		return do(now, Operation{ID: id, Type: kind, Key: "duty/x", Holder: who, LeaseDuration: 1_000_000, ExpectedRevision: epoch})
	}
	a := hold("p", 0, OpAcquire)
	if a.Status != StatusDone {
		t.Fatalf("%+v", a)
	}
	if b := hold("q", 0, OpAcquire); b.Status != StatusConflict {
		t.Fatalf("two holders: %+v", b)
	}
	wait(900_000)
	if b := hold("p", a.Revision, OpAcquire); b.Status != StatusDone || b.Revision != a.Revision {
		t.Fatalf("a renewal: %+v", b)
	}
	if b := hold("p", 0, OpAcquire); b.Status != StatusDone || b.Revision != a.Revision {
		t.Fatalf("asked again by its own holder, who did not hear of the grant: %+v after %+v", b, a)
	}
	wait(900_000)
	if b := hold("q", 0, OpAcquire); b.Status != StatusConflict {
		t.Fatalf("a renewed duty was given away: %+v", b)
	}
	if b := hold("q", a.Revision, OpRelease); b.Status != StatusConflict {
		t.Fatalf("freed by another: %+v", b)
	}
	wait(200_000)
	b := hold("q", 0, OpAcquire)
	if b.Status != StatusDone || b.Revision <= a.Revision {
		t.Fatalf("a duty that ran out: %+v after %+v", b, a)
	}
	if c := hold("p", a.Revision, OpAcquire); c.Status != StatusConflict {
		t.Fatalf("a renewal under an old epoch: %+v", c)
	}
	if c := do(now, Operation{ID: 99, Type: OpPut, Key: "duty/x", Value: []byte("x"), ExpectedRevision: AnyRevision}); c.Status != StatusConflict {
		t.Fatalf("a duty was overwritten: %+v", c)
	}
}
