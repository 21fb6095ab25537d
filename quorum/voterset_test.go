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

func newVoterSetWithAddrs(count int) VoterSet {
	set := newVoterSet(count)
	for i := range set.Voters {
		set.Voters[i].Addr = "at-" + set.Voters[i].Name
	}
	return set
}

// haveDisjointMajorities reports whether some majorities of the two sets share no voter.
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

// TestConsecutiveMajoritiesIntersect tries every step from sets of one to seven voters: all
// majorities of the two sets share a voter if the step is accepted, and some do not if it is
// refused.
func TestConsecutiveMajoritiesIntersect(t *testing.T) {
	for count := 1; count <= 7; count++ {
		set := newVoterSet(count)
		for _, test := range []struct {
			old string
			new *Voter
		}{{"", &Voter{Name: "z", Incarnation: 99}}, {"a", nil}, {"a", &Voter{Name: "z", Incarnation: 99}}} {
			next, err := set.Next(test.old, test.new)
			disjoint := haveDisjointMajorities(set, next)
			if err == nil && disjoint {
				t.Errorf("%d voters, %q removed, %v added: two majorities without a common voter", count, test.old, test.new)
			}
			if err != nil && !disjoint && len(next.Voters) > 0 {
				t.Errorf("%d voters, %q removed, %v added: refused without need: %v", count, test.old, test.new, err)
			}
		}
	}
	set := newVoterSet(4)
	two := VoterSet{Revision: set.Revision + 1, Voters: append([]Voter{{Name: "y", Incarnation: 98, Number: 50}, {Name: "z", Incarnation: 99, Number: 51}}, set.Voters[2:]...)}
	if checkStep(set, two) == nil {
		t.Error("two voters replaced at once")
	}
	if _, err := set.Next("nobody", nil); err == nil {
		t.Error("unknown voter removed")
	}
	if _, err := set.Next("", &Voter{Name: "a", Incarnation: 99}); err == nil {
		t.Error("two voters with the same name")
	}
}

// TestOneVoterSetPerRevision: a committed step comes into force before the next one is
// accepted. Otherwise there could be two voter sets of one revision.
func TestOneVoterSetPerRevision(t *testing.T) {
	s := newSingleNode(t, 0)
	add := func(name string, incarnation, expected uint64) Operation {
		next, err := s.node.VoterSet().Next("", &Voter{Name: name, Incarnation: incarnation})
		if err != nil {
			t.Fatal(err)
		}
		return Operation{Type: OpPut, Key: VoterSetKey, Value: next.Bytes(), ExpectedRevision: expected}
	}
	s.expect("first step", add("b", 2, 0), StatusDone)
	s.expect("second voter set of the same revision", add("c", 3, 1), StatusConflict)
	if ready := s.node.AdmitVoter(s.now, Voter{Name: "c", Incarnation: 3}); len(ready.Records) != 0 {
		t.Fatalf("second voter set of the same revision: %+v", ready)
	}
}

// TestTargetSize: the target size stays the same when a voter is replaced, and follows the
// changes that an operator requests.
func TestTargetSize(t *testing.T) {
	heard := func(string) int64 { return 0 }
	set := newVoterSetWithAddrs(3)
	set.TargetSize = 3
	joiner := Voter{Name: "z", Addr: "at-z", Incarnation: 99}
	if next, ok := set.Admit(joiner, AddAfterUS, heard, MaxVoters); !ok || next.TargetSize != 3 {
		t.Errorf("replacement added before a removal: %v %d", ok, next.TargetSize)
	}
	if next, ok := set.Admit(Voter{Name: "b", Addr: "at-b", Incarnation: 99}, 0, heard, MaxVoters); !ok || len(next.Voters) != 2 || next.TargetSize != 3 {
		t.Errorf("voter with a lost disk removed: %v %+v", ok, next)
	}
	if next, err := set.Next("", &joiner); err != nil || next.TargetSize != 4 {
		t.Errorf("voter added by an operator: %v %d", err, next.TargetSize)
	}
	if next, err := set.Next("a", nil); err != nil || next.TargetSize != 2 {
		t.Errorf("voter removed by an operator: %v %d", err, next.TargetSize)
	}
	if back, err := ParseVoterSet(set.Bytes()); err != nil || back.TargetSize != 3 {
		t.Errorf("parsed: %v %d", err, back.TargetSize)
	}
}

// TestVoterSetErrors: each refusal of a change has its own error for callers to match.
func TestVoterSetErrors(t *testing.T) {
	set := newVoterSet(4)
	replaceBy := func(name string, incarnation uint64, number uint16) VoterSet {
		voters := append([]Voter{{Name: name, Incarnation: incarnation, Number: number}}, set.Voters[1:]...)
		return VoterSet{Revision: set.Revision + 1, Voters: voters}
	}
	next := func(removed string, added *Voter) error {
		_, err := set.Next(removed, added)
		return err
	}
	skipped := replaceBy("z", 99, 50)
	skipped.Revision++
	for _, test := range []struct {
		name string
		err  error
		want error
	}{
		{"removed voter does not exist", next("nobody", nil), ErrNoSuchVoter},
		{"added name already exists", next("", &Voter{Name: "a", Incarnation: 99}), ErrVoterExists},
		{"revision skipped", checkStep(set, skipped), ErrNotNextRevision},
		{"two voters at once", checkStep(set, VoterSet{Revision: set.Revision + 1, Voters: set.Voters[2:]}), ErrNotOneStep},
		{"no change", checkStep(set, VoterSet{Revision: set.Revision + 1, Voters: set.Voters}), ErrNotOneStep},
		{"no voter left", checkStep(newVoterSet(1), VoterSet{Revision: set.Revision + 1}), ErrNotOneStep},
		{"duplicate name", checkStep(set, replaceBy("b", 99, 50)), ErrVotersNotDistinct},
		{"duplicate incarnation", checkStep(set, replaceBy("z", 2, 50)), ErrVotersNotDistinct},
		{"duplicate number", checkStep(set, replaceBy("z", 99, 2)), ErrVotersNotDistinct},
		{"single step", checkStep(set, replaceBy("z", 99, 50)), nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			if !errors.Is(test.err, test.want) {
				t.Errorf("got %v, want %v", test.err, test.want)
			}
		})
	}
}
