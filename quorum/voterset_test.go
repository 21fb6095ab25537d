package quorum

import "testing"

func newVoterSet(n int) VoterSet {
	r := VoterSet{Revision: FirstRevision(9)}
	for i := 0; i < n; i++ {
		r.Voters = append(r.Voters, Voter{Name: string(rune('a' + i)), Incarnation: uint64(i + 1), Number: uint16(i + 1)})
	}
	return r
}

func newAddressedSet(n int) VoterSet {
	r := newVoterSet(n)
	for i := range r.Voters {
		r.Voters[i].Addr = "at-" + r.Voters[i].Name
	}
	return r
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

// TestSeatsFollowTheFleet: a fleet that starts grows its seats, a replacement never does,
// and what an operator asks for is meant.
func TestSeatsFollowTheFleet(t *testing.T) {
	heard := func(string) int64 { return 0 }
	r := newAddressedSet(3)
	r.Seats = 3
	z := Voter{Name: "z", Addr: "at-z", Incarnation: 99}
	if next, ok := r.Admit(z, AddAfter, heard, MaxVoters); !ok || next.Seats != 3 {
		t.Errorf("a newcomer beside all others: %v %d", ok, next.Seats)
	}
	if next, ok := r.Admit(Voter{Name: "b", Addr: "at-b", Incarnation: 99}, 0, heard, MaxVoters); !ok || len(next.Voters) != 2 || next.Seats != 3 {
		t.Errorf("the seat of a lost disk is kept for its next life: %v %+v", ok, next)
	}
	if next, err := r.Next("", &z); err != nil || next.Seats != 4 {
		t.Errorf("an operator adds one: %v %d", err, next.Seats)
	}
	if next, err := r.Next("a", nil); err != nil || next.Seats != 2 {
		t.Errorf("an operator removes one: %v %d", err, next.Seats)
	}
	if back, err := ParseVoterSet(r.Bytes()); err != nil || back.Seats != 3 {
		t.Errorf("read back: %v %d", err, back.Seats)
	}
}
