package quorum

import (
	"encoding/json"
	"fmt"
	"slices"
)

// Voter is one member of a voter set. Incarnation is drawn when a disk is first used, so that
// an emptied node is never mistaken for its former self (design §4.6). Number is never given
// twice in a fleet.
type Voter struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Incarnation uint64 `json:"inc,string"`
	Number      uint16 `json:"num"`
}

// VoterSet is the set of voters whose majority decides. The upper bits of Revision name the
// fleet, the lower ones count the steps.
type VoterSet struct {
	Revision uint64  `json:"rev,string"`
	Voters   []Voter `json:"voters"`
	// TargetSize is how many voters the fleet keeps. With more, one was let in before the one
	// that it replaces had gone (RemoveSurplus). 0, in a set of a version that knows no such
	// count, never removes any.
	TargetSize uint16 `json:"seats,omitempty"`
}

const (
	// stepBits is how many of the lower bits of a revision count the steps.
	stepBits = 20
	// firstAddedNumber is above the numbers of all initial voters.
	firstAddedNumber = 16
)

// FirstRevision makes the revision of a fleet's first voter set.
func FirstRevision(fleet uint64) uint64 { return fleet<<stepBits | 1 }

// Fleet names the fleet that a set belongs to.
func (set VoterSet) Fleet() uint64 { return set.Revision >> stepBits }

// Step counts the changes of the set.
func (set VoterSet) Step() uint64 { return set.Revision & (1<<stepBits - 1) }

// Majority is the least number of voters that decides.
func (set VoterSet) Majority() int { return len(set.Voters)/2 + 1 }

// Find returns the voter of that name.
func (set VoterSet) Find(name string) (Voter, bool) {
	for _, voter := range set.Voters {
		if voter.Name == name {
			return voter, true
		}
	}
	return Voter{}, false
}

// Next is the set after one step: the voter named leaves goes (unless empty) and joins comes
// (unless nil), and the fleet keeps as many seats fewer or more. It fails unless every
// majority of one shares a voter with every majority of the other.
func (set VoterSet) Next(leaves string, joins *Voter) (VoterSet, error) {
	next := VoterSet{Revision: set.Revision + 1, Voters: slices.Clone(set.Voters), TargetSize: set.TargetSize}
	if leaves != "" {
		at := slices.IndexFunc(next.Voters, func(voter Voter) bool { return voter.Name == leaves })
		if at < 0 {
			return next, fmt.Errorf("%w: %s; read the voter set again", ErrNoSuchVoter, leaves)
		}
		next.Voters = slices.Delete(next.Voters, at, at+1)
	}
	if joins != nil {
		if _, ok := next.Find(joins.Name); ok {
			return next, fmt.Errorf("%w: %s; name it as the one to replace", ErrVoterExists, joins.Name)
		}
		added := *joins
		added.Number = uint16(firstAddedNumber + next.Step())
		next.Voters = append(next.Voters, added)
	}
	if set.TargetSize > 0 {
		next.TargetSize = uint16(max(1, int(set.TargetSize)+len(next.Voters)-len(set.Voters)))
	}
	return next, checkStep(set, next)
}

// checkStep checks that next may follow set.
func checkStep(set, next VoterSet) error {
	if next.Revision != set.Revision+1 {
		return fmt.Errorf("%w: %d does not follow %d; read the voter set again", ErrNotNextRevision, next.Step(), set.Step())
	}
	if !sharesMajorities(set, next) {
		return fmt.Errorf("%w: one may add a voter, remove one, or replace one of an even number; change one at a time", ErrNotOneStep)
	}
	return next.checkDistinct()
}

// sharesMajorities reports whether next differs by one voter that leaves, one that joins or
// both, and every majority of it has a voter in common with every majority of set.
func sharesMajorities(set, next VoterSet) bool {
	common := 0
	for _, voter := range set.Voters {
		if slices.Contains(next.Voters, voter) {
			common++
		}
	}
	left, joined := len(set.Voters)-common, len(next.Voters)-common
	if len(next.Voters) == 0 || left+joined == 0 || left > 1 || joined > 1 {
		return false
	}
	// Of the common voters, a majority of each must take more than all together.
	return set.Majority()-left+next.Majority()-joined > common
}

// checkDistinct checks that no two voters share a name, an incarnation or a number.
func (set VoterSet) checkDistinct() error {
	for i, voter := range set.Voters {
		for _, other := range set.Voters[:i] {
			if voter.Name == other.Name || voter.Incarnation == other.Incarnation || voter.Number == other.Number {
				return fmt.Errorf("%w: %s and %s; give each a name and a disk of its own", ErrVotersNotDistinct, voter.Name, other.Name)
			}
		}
	}
	return nil
}

// VoterSetKey is the register in which the next voter set is committed. It is stored.
const VoterSetKey = "roster"

// Bytes is a voter set as its register holds it, in JSON.
func (set VoterSet) Bytes() []byte {
	encoded, err := json.Marshal(set)
	if err != nil {
		panic(err) // plain strings and numbers
	}
	return encoded
}

// ParseVoterSet reads a register's voter set.
func ParseVoterSet(encoded []byte) (VoterSet, error) {
	var set VoterSet
	err := json.Unmarshal(encoded, &set)
	return set, err
}
