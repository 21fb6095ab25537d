package quorum

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// drawStep draws a step of a roster: somebody goes, somebody comes, or both.
func drawVoterSetStep(t *rapid.T, r VoterSet, inc uint64) (VoterSet, error) {
	old := ""
	if len(r.Voters) > 0 && rapid.Bool().Draw(t, "goes") {
		old = rapid.SampledFrom(r.Voters).Draw(t, "old").Name
	}
	if old != "" && rapid.Bool().Draw(t, "nobody comes") {
		return r.Next(old, nil)
	}
	return r.Next(old, &Voter{Name: fmt.Sprint("n", inc), Incarnation: inc})
}

// TestAnySteps: however a roster changes, every majority of one shares a voter with every
// majority of the next, numbers rise by one, and no voter's number is given twice.
func TestAnySteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newVoterSet(rapid.IntRange(1, 7).Draw(t, "voters"))
		given := map[uint16]uint64{}
		for _, v := range r.Voters {
			given[v.Number] = v.Incarnation
		}
		for inc := uint64(100); inc < 130; inc++ {
			next, err := drawVoterSetStep(t, r, inc)
			if err != nil || len(next.Voters) > MaxVoters {
				continue
			}
			if next.Revision != r.Revision+1 || haveDisjointMajorities(r, next) {
				t.Fatalf("%v follows %v", next, r)
			}
			for _, v := range next.Voters {
				if was, ok := given[v.Number]; ok && was != v.Incarnation {
					t.Fatalf("number %d was given to %d and %d", v.Number, was, v.Incarnation)
				}
				given[v.Number] = v.Incarnation
			}
			r = next
		}
	})
}

// TestAdmitAnySilence: whoever is silent for however long, letting a newcomer in takes one
// step at a time, takes none without a majority that is heard, and takes a place only from
// a disk that is lost or a voter that is gone.
func TestAdmitAnySilence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newAddressedSet(rapid.IntRange(1, MaxVoters).Draw(t, "voters"))
		silent, heard := map[string]int64{}, 0
		for _, v := range r.Voters {
			silent[v.Name] = rapid.SampledFrom([]int64{0, SuspectAfter - 1, SuspectAfter, FailedAfter - 1, FailedAfter, 9 * FailedAfter}).Draw(t, v.Name)
			if silent[v.Name] < SuspectAfter {
				heard++
			}
		}
		come := Voter{Name: "z", Addr: "at-z", Incarnation: 99}
		if rapid.Bool().Draw(t, "a disk lost") {
			come.Name = rapid.SampledFrom(r.Voters).Draw(t, "whose").Name
		}
		asked := rapid.SampledFrom([]int64{0, AddAfter - 1, AddAfter}).Draw(t, "asked")
		next, ok := r.Admit(come, asked, func(name string) int64 { return silent[name] }, MaxVoters)
		if !ok {
			return
		}
		if heard < r.Majority() || checkStep(r, next) != nil || haveDisjointMajorities(r, next) || len(next.Voters) > MaxVoters {
			t.Fatalf("%v follows %v with %d heard", next, r, heard)
		}
		for _, v := range r.Voters {
			if w, in := next.Find(v.Name); (!in || w != v) && v.Name != come.Name && silent[v.Name] < FailedAfter {
				t.Fatalf("%s goes after a silence of %d", v.Name, silent[v.Name])
			}
		}
	})
}
