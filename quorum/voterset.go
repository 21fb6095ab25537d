package quorum

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Voter is one member of a voter set. Incarnation is drawn when a disk is first used, so that a
// node with an emptied disk is not mistaken for the voter that it was before (design §4.6).
// Number is never reused in a fleet.
type Voter struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Incarnation uint64 `json:"inc,string"`
	Number      uint16 `json:"num"`
}

// VoterSet is the set of voters whose majority decides. The upper bits of Revision identify the
// fleet, the lower ones count the changes of the set, called steps.
type VoterSet struct {
	Revision uint64  `json:"rev,string"`
	Voters   []Voter `json:"voters"`
	// TargetSize is the number of voters that the fleet maintains. If there are more, a
	// replacement was added before the voter that it replaces has stopped (RemoveSurplus). 0,
	// in a set written by a version without this field, disables such removals.
	TargetSize uint16 `json:"seats,omitempty"`
}

const (
	// stepBits is the number of low bits of a revision that count the steps.
	stepBits = 20
	// firstAddedNumber is above the numbers of all initial voters.
	firstAddedNumber = 16
)

// FirstRevision returns the revision of a fleet's first voter set.
func FirstRevision(fleet uint64) uint64 { return fleet<<stepBits | 1 }

// Fleet returns the fleet that the set belongs to.
func (set VoterSet) Fleet() uint64 { return set.Revision >> stepBits }

// Step returns the number of the set within its fleet, which rises by one with each change.
func (set VoterSet) Step() uint64 { return set.Revision & (1<<stepBits - 1) }

// Majority is the smallest number of voters that decides.
func (set VoterSet) Majority() int { return len(set.Voters)/2 + 1 }

// Find returns the voter with that name.
func (set VoterSet) Find(name string) (Voter, bool) {
	for _, voter := range set.Voters {
		if voter.Name == name {
			return voter, true
		}
	}
	return Voter{}, false
}

// Next returns the set after one step, which removes the voter named removed (unless empty) and
// adds added (unless nil); the target size changes by the same number. It fails unless every
// majority of one set shares a voter with every majority of the other.
func (set VoterSet) Next(removed string, added *Voter) (VoterSet, error) {
	next := VoterSet{Revision: set.Revision + 1, Voters: slices.Clone(set.Voters), TargetSize: set.TargetSize}
	if removed != "" {
		at := slices.IndexFunc(next.Voters, func(voter Voter) bool { return voter.Name == removed })
		if at < 0 {
			return next, fmt.Errorf("%w: %s; read the voter set again", ErrNoSuchVoter, removed)
		}
		next.Voters = slices.Delete(next.Voters, at, at+1)
	}
	if added != nil {
		if _, ok := next.Find(added.Name); ok {
			return next, fmt.Errorf("%w: %s; name it as the voter to replace", ErrVoterExists, added.Name)
		}
		numbered := *added
		numbered.Number = uint16(firstAddedNumber + next.Step())
		next.Voters = append(next.Voters, numbered)
	}
	if set.TargetSize > 0 {
		next.TargetSize = uint16(max(1, int(set.TargetSize)+len(next.Voters)-len(set.Voters)))
	}
	return next, checkStep(set, next)
}

// checkStep returns an error unless next may follow set.
func checkStep(set, next VoterSet) error {
	if next.Revision != set.Revision+1 {
		return fmt.Errorf("%w: %d does not follow %d; read the voter set again", ErrNotNextRevision, next.Step(), set.Step())
	}
	if !sharesMajorities(set, next) {
		return fmt.Errorf("%w: add one voter, remove one, or replace one of an even number; change one at a time", ErrNotOneStep)
	}
	return next.checkDistinct()
}

// sharesMajorities reports whether next differs by one removed voter, one added voter or both,
// and every majority of it has a voter in common with every majority of set.
func sharesMajorities(set, next VoterSet) bool {
	common := 0
	for _, voter := range set.Voters {
		if slices.Contains(next.Voters, voter) {
			common++
		}
	}
	removedCount, addedCount := len(set.Voters)-common, len(next.Voters)-common
	if len(next.Voters) == 0 || removedCount+addedCount == 0 || removedCount > 1 || addedCount > 1 {
		return false
	}
	// A majority of a set includes at least as many common voters as its size less the voters
	// that the other set does not have. If the two counts together exceed the number of common
	// voters, the two majorities share one.
	return set.Majority()-removedCount+next.Majority()-addedCount > common
}

// checkDistinct returns an error if two voters share a name, an incarnation or a number.
func (set VoterSet) checkDistinct() error {
	for i, voter := range set.Voters {
		for _, other := range set.Voters[:i] {
			if voter.Name == other.Name || voter.Incarnation == other.Incarnation || voter.Number == other.Number {
				return fmt.Errorf("%w: %s and %s; each needs its own name and disk", ErrVotersNotDistinct, voter.Name, other.Name)
			}
		}
	}
	return nil
}

// VoterSetKey is the register in which the next voter set is committed. The key is stored.
const VoterSetKey = "roster"

// Bytes encodes the set as its register holds it, in JSON.
func (set VoterSet) Bytes() []byte {
	encoded, err := json.Marshal(set)
	if err != nil {
		panic(err) // can't fail: plain strings and numbers
	}
	return encoded
}

// ParseVoterSet decodes the value of the voter set's register.
func ParseVoterSet(encoded []byte) (VoterSet, error) {
	var set VoterSet
	err := json.Unmarshal(encoded, &set)
	return set, err
}
