package quorum

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// drawVoterSetStep draws a change of a voter set: a removal, an addition, or both.
func drawVoterSetStep(t *rapid.T, set VoterSet, incarnation uint64) (VoterSet, error) {
	removed := ""
	if len(set.Voters) > 0 && rapid.Bool().Draw(t, "goes") {
		removed = rapid.SampledFrom(set.Voters).Draw(t, "old").Name
	}
	if removed != "" && rapid.Bool().Draw(t, "no addition") {
		return set.Next(removed, nil)
	}
	return set.Next(removed, &Voter{Name: fmt.Sprint("n", incarnation), Incarnation: incarnation})
}

// TestRandomMembershipChanges: over any series of changes, every majority of one set shares a
// voter with every majority of the next, revisions rise by one, and no voter number is reused.
func TestRandomMembershipChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := newVoterSet(rapid.IntRange(1, 7).Draw(t, "voters"))
		assigned := map[uint16]uint64{}
		for _, voter := range set.Voters {
			assigned[voter.Number] = voter.Incarnation
		}
		for incarnation := uint64(100); incarnation < 130; incarnation++ {
			next, err := drawVoterSetStep(t, set, incarnation)
			if err != nil || len(next.Voters) > MaxVoters {
				continue
			}
			if next.Revision != set.Revision+1 || haveDisjointMajorities(set, next) {
				t.Fatalf("%v follows %v", next, set)
			}
			for _, voter := range next.Voters {
				if was, ok := assigned[voter.Number]; ok && was != voter.Incarnation {
					t.Fatalf("number %d assigned to %d and %d", voter.Number, was, voter.Incarnation)
				}
				assigned[voter.Number] = voter.Incarnation
			}
			set = next
		}
	})
}

// TestAdmitWithRandomFailures: whichever voters are silent and for however long, admission
// makes one step at a time and none unless a majority was heard, and it removes only a voter
// that failed or lost its disk.
func TestAdmitWithRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := newVoterSetWithAddrs(rapid.IntRange(1, MaxVoters).Draw(t, "voters"))
		silent, heard := map[string]int64{}, 0
		for _, voter := range set.Voters {
			silent[voter.Name] = rapid.SampledFrom([]int64{0, SuspectAfterUS - 1, SuspectAfterUS, FailedAfterUS - 1, FailedAfterUS, 9 * FailedAfterUS}).Draw(t, voter.Name)
			if silent[voter.Name] < SuspectAfterUS {
				heard++
			}
		}
		joiner := Voter{Name: "z", Addr: "at-z", Incarnation: 99}
		if rapid.Bool().Draw(t, "lost disk") {
			joiner.Name = rapid.SampledFrom(set.Voters).Draw(t, "whose").Name
		}
		asked := rapid.SampledFrom([]int64{0, AddAfterUS - 1, AddAfterUS}).Draw(t, "asked")
		next, ok := set.Admit(joiner, asked, func(name string) int64 { return silent[name] }, MaxVoters)
		if !ok {
			return
		}
		if heard < set.Majority() || checkStep(set, next) != nil || haveDisjointMajorities(set, next) || len(next.Voters) > MaxVoters {
			t.Fatalf("%v follows %v with %d heard", next, set, heard)
		}
		for _, voter := range set.Voters {
			if kept, in := next.Find(voter.Name); (!in || kept != voter) && voter.Name != joiner.Name && silent[voter.Name] < FailedAfterUS {
				t.Fatalf("%s removed after a silence of %d", voter.Name, silent[voter.Name])
			}
		}
	})
}
