package quorum

import (
	"errors"
	"testing"
)

func newVoterSet(count int) VoterSet {
	set := VoterSet{Revision: FirstRevision(9)}
	for i := 0; i < count; i++ {
		set.Voters = append(set.Voters, Voter{Name: string(rune('a' + i)), Incarnation: uint64(i + 1), Number: uint16(i + 1)})
	}
	return set
}

func newAddressedSet(count int) VoterSet {
	set := newVoterSet(count)
	for i := range set.Voters {
		set.Voters[i].Addr = "at-" + set.Voters[i].Name
	}
	return set
}

// haveDisjointMajorities finds a majority of each set that share nobody.
func haveDisjointMajorities(a, b VoterSet) bool {
	for subset := 0; subset < 1<<len(a.Voters); subset++ {
		majority := map[Voter]bool{}
		for i, voter := range a.Voters {
			if subset>>i&1 == 1 {
				majority[voter] = true
			}
		}
		if len(majority) < a.Majority() {
			continue
		}
		free := 0
		for _, voter := range b.Voters {
			if !majority[voter] {
				free++
			}
		}
		if len(b.Voters) > 0 && free >= b.Majority() {
			return true
		}
	}
	return false
}

// TestStepsShareAVoter tries every step from sets of one to seven: those that
// are let through leave no two majorities without a common voter, and those that
// are refused would have.
func TestStepsShareAVoter(t *testing.T) {
	for count := 1; count <= 7; count++ {
		set := newVoterSet(count)
		for _, test := range []struct {
			old string
			new *Voter
		}{{"", &Voter{Name: "z", Incarnation: 99}}, {"a", nil}, {"a", &Voter{Name: "z", Incarnation: 99}}} {
			next, err := set.Next(test.old, test.new)
			apart := haveDisjointMajorities(set, next)
			if err == nil && apart {
				t.Errorf("%d voters, %q goes, %v comes: two majorities without a common voter", count, test.old, test.new)
			}
			if err != nil && !apart && len(next.Voters) > 0 {
				t.Errorf("%d voters, %q goes, %v comes: refused for nothing: %v", count, test.old, test.new, err)
			}
		}
	}
	set := newVoterSet(4)
	two := VoterSet{Revision: set.Revision + 1, Voters: append([]Voter{{Name: "y", Incarnation: 98, Number: 50}, {Name: "z", Incarnation: 99, Number: 51}}, set.Voters[2:]...)}
	if checkStep(set, two) == nil {
		t.Error("two voters may be replaced at once")
	}
	if _, err := set.Next("nobody", nil); err == nil {
		t.Error("a voter that is not there may go")
	}
	if _, err := set.Next("", &Voter{Name: "a", Incarnation: 99}); err == nil {
		t.Error("two voters of one name")
	}
}

// TestOneVoterSetPerRevision: a step that is committed comes into force before the next is
// taken, or there would be two voter sets of one revision.
func TestOneVoterSetPerRevision(t *testing.T) {
	s := newSingleNode(t, 0)
	add := func(name string, incarnation, expected uint64) Operation {
		next, err := s.node.VoterSet().Next("", &Voter{Name: name, Incarnation: incarnation})
		if err != nil {
			t.Fatal(err)
		}
		return Operation{Type: OpPut, Key: VoterSetKey, Value: next.Bytes(), ExpectedRevision: expected}
	}
	s.expect("a first step", add("b", 2, 0), StatusDone)
	s.expect("a second voter set of that revision", add("c", 3, 1), StatusConflict)
	if ready := s.node.AdmitVoter(s.now, Voter{Name: "c", Incarnation: 3}); len(ready.Records) != 0 {
		t.Fatalf("a second voter set of that revision: %+v", ready)
	}
}

// TestSeatsFollowTheFleet: a fleet that starts grows its seats, a replacement never does,
// and what an operator asks for is meant.
func TestSeatsFollowTheFleet(t *testing.T) {
	heard := func(string) int64 { return 0 }
	set := newAddressedSet(3)
	set.TargetSize = 3
	newcomer := Voter{Name: "z", Addr: "at-z", Incarnation: 99}
	if next, ok := set.Admit(newcomer, AddAfterUS, heard, MaxVoters); !ok || next.TargetSize != 3 {
		t.Errorf("a newcomer beside all others: %v %d", ok, next.TargetSize)
	}
	if next, ok := set.Admit(Voter{Name: "b", Addr: "at-b", Incarnation: 99}, 0, heard, MaxVoters); !ok || len(next.Voters) != 2 || next.TargetSize != 3 {
		t.Errorf("the seat of a lost disk is kept for its next incarnation: %v %+v", ok, next)
	}
	if next, err := set.Next("", &newcomer); err != nil || next.TargetSize != 4 {
		t.Errorf("an operator adds one: %v %d", err, next.TargetSize)
	}
	if next, err := set.Next("a", nil); err != nil || next.TargetSize != 2 {
		t.Errorf("an operator removes one: %v %d", err, next.TargetSize)
	}
	if back, err := ParseVoterSet(set.Bytes()); err != nil || back.TargetSize != 3 {
		t.Errorf("read back: %v %d", err, back.TargetSize)
	}
}

// TestVoterSetErrors: a change that is refused is refused for a reason that callers can match.
func TestVoterSetErrors(t *testing.T) {
	set := newVoterSet(4)
	replaceBy := func(name string, incarnation uint64, number uint16) VoterSet {
		voters := append([]Voter{{Name: name, Incarnation: incarnation, Number: number}}, set.Voters[1:]...)
		return VoterSet{Revision: set.Revision + 1, Voters: voters}
	}
	next := func(leaves string, joins *Voter) error {
		_, err := set.Next(leaves, joins)
		return err
	}
	skipped := replaceBy("z", 99, 50)
	skipped.Revision++
	for _, test := range []struct {
		name string
		err  error
		want error
	}{
		{"nobody of that name goes", next("nobody", nil), ErrNoSuchVoter},
		{"one of that name is in", next("", &Voter{Name: "a", Incarnation: 99}), ErrVoterExists},
		{"a revision left out", checkStep(set, skipped), ErrNotNextRevision},
		{"two at once", checkStep(set, VoterSet{Revision: set.Revision + 1, Voters: set.Voters[2:]}), ErrNotOneStep},
		{"nothing changes", checkStep(set, VoterSet{Revision: set.Revision + 1, Voters: set.Voters}), ErrNotOneStep},
		{"nobody is left", checkStep(newVoterSet(1), VoterSet{Revision: set.Revision + 1}), ErrNotOneStep},
		{"a name twice", checkStep(set, replaceBy("b", 99, 50)), ErrVotersNotDistinct},
		{"an incarnation twice", checkStep(set, replaceBy("z", 2, 50)), ErrVotersNotDistinct},
		{"a number twice", checkStep(set, replaceBy("z", 99, 2)), ErrVotersNotDistinct},
		{"one step", checkStep(set, replaceBy("z", 99, 50)), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !errors.Is(test.err, test.want) {
				t.Errorf("got %v, want %v", test.err, test.want)
			}
		})
	}
}
