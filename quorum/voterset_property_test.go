package quorum

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// drawVoterSetStep draws a step of a voter set: somebody goes, somebody comes, or both.
func drawVoterSetStep(t *rapid.T, set VoterSet, inc uint64) (VoterSet, error) {
	old := ""
	if len(set.Voters) > 0 && rapid.Bool().Draw(t, "goes") {
		old = rapid.SampledFrom(set.Voters).Draw(t, "old").Name
	}
	if old != "" && rapid.Bool().Draw(t, "nobody comes") {
		return set.Next(old, nil)
	}
	return set.Next(old, &Voter{Name: fmt.Sprint("n", inc), Incarnation: inc})
}

// TestAnySteps: however a voter set changes, every majority of one shares a voter with every
// majority of the next, numbers rise by one, and no voter's number is given twice.
func TestAnySteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := newVoterSet(rapid.IntRange(1, 7).Draw(t, "voters"))
		given := map[uint16]uint64{}
		for _, voter := range set.Voters {
			given[voter.Number] = voter.Incarnation
		}
		for inc := uint64(100); inc < 130; inc++ {
			next, err := drawVoterSetStep(t, set, inc)
			if err != nil || len(next.Voters) > MaxVoters {
				continue
			}
			if next.Revision != set.Revision+1 || haveDisjointMajorities(set, next) {
				t.Fatalf("%v follows %v", next, set)
			}
			for _, voter := range next.Voters {
				if was, ok := given[voter.Number]; ok && was != voter.Incarnation {
					t.Fatalf("number %d was given to %d and %d", voter.Number, was, voter.Incarnation)
				}
				given[voter.Number] = voter.Incarnation
			}
			set = next
		}
	})
}

// TestAdmitAnySilence: whoever is silent for however long, letting a newcomer in takes one
// step at a time, takes none without a majority that is heard, and takes a place only from
// a disk that is lost or a voter that is gone.
func TestAdmitAnySilence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := newAddressedSet(rapid.IntRange(1, MaxVoters).Draw(t, "voters"))
		silent, heard := map[string]int64{}, 0
		for _, voter := range set.Voters {
			silent[voter.Name] = rapid.SampledFrom([]int64{0, SuspectAfterUS - 1, SuspectAfterUS, FailedAfterUS - 1, FailedAfterUS, 9 * FailedAfterUS}).Draw(t, voter.Name)
			if silent[voter.Name] < SuspectAfterUS {
				heard++
			}
		}
		come := Voter{Name: "z", Addr: "at-z", Incarnation: 99}
		if rapid.Bool().Draw(t, "a disk lost") {
			come.Name = rapid.SampledFrom(set.Voters).Draw(t, "whose").Name
		}
		asked := rapid.SampledFrom([]int64{0, AddAfterUS - 1, AddAfterUS}).Draw(t, "asked")
		next, ok := set.Admit(come, asked, func(name string) int64 { return silent[name] }, MaxVoters)
		if !ok {
			return
		}
		if heard < set.Majority() || checkStep(set, next) != nil || haveDisjointMajorities(set, next) || len(next.Voters) > MaxVoters {
			t.Fatalf("%v follows %v with %d heard", next, set, heard)
		}
		for _, voter := range set.Voters {
			if kept, in := next.Find(voter.Name); (!in || kept != voter) && voter.Name != come.Name && silent[voter.Name] < FailedAfterUS {
				t.Fatalf("%s goes after a silence of %d", voter.Name, silent[voter.Name])
			}
		}
	})
}
