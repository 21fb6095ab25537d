package quorum

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
)

// Voter is one member of the roster. Inc is drawn when a disk is first used, so
// that an emptied node is never mistaken for its former self (design §4.6). Num
// is never given twice in a fleet.
type Voter struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Incarnation uint64 `json:"inc,string"`
	Number      uint16 `json:"num"`
}

// Roster is the list whose majority decides. The upper bits of Rev name the
// fleet, the lower ones count the steps.
type VoterSet struct {
	Revision uint64  `json:"rev,string"`
	Voters   []Voter `json:"voters"`
	// Seats is how many voters the fleet keeps. With more, one was let in before the
	// one that it replaces had gone (Shed). 0, in a roster that knows no such count,
	// never sheds.
	Seats uint16 `json:"seats,omitempty"`
}

const stepBits = 20

// Found makes a fleet's first roster revision.
func FirstRevision(fleet uint64) uint64 { return fleet<<stepBits | 1 }

// Fleet names the fleet that a roster belongs to.
func (set VoterSet) Fleet() uint64 { return set.Revision >> stepBits }

// Step counts the changes of the roster.
func (set VoterSet) Step() uint64 { return set.Revision & (1<<stepBits - 1) }

// Majority is the least count of voters that decides.
func (set VoterSet) Majority() int { return len(set.Voters)/2 + 1 }

// Find returns the voter of that name.
func (set VoterSet) Find(name string) (Voter, bool) {
	for _, v := range set.Voters {
		if v.Name == name {
			return v, true
		}
	}
	return Voter{}, false
}

// Next is the roster after one step: old goes (unless empty) and v comes (unless
// nil), and the fleet keeps as many seats fewer or more. It fails unless every
// majority of one shares a voter with every majority of the other.
func (set VoterSet) Next(old string, v *Voter) (VoterSet, error) {
	n := VoterSet{Revision: set.Revision + 1, Voters: slices.Clone(set.Voters), Seats: set.Seats}
	if old != "" {
		i := slices.IndexFunc(n.Voters, func(x Voter) bool { return x.Name == old })
		if i < 0 {
			return n, fmt.Errorf("no voter is named %s; read the roster again", old)
		}
		n.Voters = slices.Delete(n.Voters, i, i+1)
	}
	if v != nil {
		if _, ok := n.Find(v.Name); ok {
			return n, fmt.Errorf("a voter is already named %s; name it as the one to replace", v.Name)
		}
		x := *v
		x.Number = uint16(16 + n.Step())
		n.Voters = append(n.Voters, x)
	}
	if set.Seats > 0 {
		n.Seats = uint16(max(1, int(set.Seats)+len(n.Voters)-len(set.Voters)))
	}
	if err := checkStep(set, n); err != nil {
		return n, err
	}
	return n, nil
}

// step checks that n may follow r.
func checkStep(r, n VoterSet) error {
	common := 0
	for _, a := range r.Voters {
		for _, b := range n.Voters {
			if a == b {
				common++
			}
		}
	}
	gone, come := len(r.Voters)-common, len(n.Voters)-common
	// Of the common voters, a majority of each must take more than all together.
	a, b := r.Majority()-gone, n.Majority()-come
	switch {
	case n.Revision != r.Revision+1:
		return fmt.Errorf("roster %d does not follow %d", n.Step(), r.Step())
	case len(n.Voters) == 0 || gone+come == 0 || gone > 1 || come > 1 || a+b <= common:
		return fmt.Errorf("a step may add one voter, remove one, or replace one of an even number; change one at a time")
	}
	for i, v := range n.Voters {
		for _, w := range n.Voters[:i] {
			if v.Name == w.Name || v.Incarnation == w.Incarnation || v.Number == w.Number {
				return fmt.Errorf("%s and %s are not told apart", v.Name, w.Name)
			}
		}
	}
	return nil
}

// MaxVoters bounds a roster that grows by itself.
const MaxVoters = 9

// Silences after which a voter's place is taken, and from which on nobody is added
// beside it: it may be about to be replaced. A newcomer waits as long before it is
// added, since it may have come in the place of one that has just gone (design §4.6).
const (
	FailedAfter  = 1_500_000
	SuspectAfter = 500_000
	AddAfter     = 600_000
)

// Admit is the step that lets v in, which has asked for it for so long, if there is one
// to take now; silence tells for how long a voter was not heard. Voters go only to make
// place:
//   - one whose name or address v has, with another incarnation: that disk is lost;
//   - else the one that is silent longest, once it counts as gone;
//
// else v is added, up to bound voters. An odd roster loses the voter first and gains v
// by the step after. Nothing is done when no majority is heard.
func (set VoterSet) Admit(v Voter, asked int64, silence func(name string) int64, bound int) (VoterSet, bool) {
	gone, doubt, heard := "", false, 0
	var worst int64
	for _, w := range set.Voters {
		s := silence(w.Name)
		if s < SuspectAfter {
			heard++
		} else {
			doubt = true
		}
		if s >= FailedAfter && s > worst {
			gone, worst = w.Name, s
		}
	}
	if heard < set.Majority() {
		return set, false
	}
	for _, w := range set.Voters {
		if w.Incarnation == v.Incarnation {
			return set, false // in already, or it makes itself out to be another
		}
	}
	if i := slices.IndexFunc(set.Voters, func(w Voter) bool { return w.Name == v.Name || w.Addr == v.Addr && w.Addr != "" }); i >= 0 {
		gone = set.Voters[i].Name
	}
	if gone == "" && (doubt || asked < AddAfter || len(set.Voters) >= bound) {
		return set, false
	}
	for _, come := range []*Voter{&v, nil} {
		if n, err := set.Next(gone, come); err == nil {
			n.Seats = set.Seats // a replacement, whoever goes for it
			return n, true
		}
	}
	return set, false
}

// overfull reports whether a voter was let in before the one that it replaces had gone,
// and that one's seat costs a loss: an even roster needs as many voters as the odd one
// above it. An odd roster keeps the majority that it has when a voter goes, so that a
// dead one there costs nothing.
func (set VoterSet) hasSurplus() bool {
	return set.Seats > 0 && len(set.Voters) > int(set.Seats) && len(set.Voters)%2 == 0
}

// Shed is the step that takes the seat of a voter whose successor was let in before,
// if there is one to take now: of one that is leaving, else of the one silent longest
// once it counts as gone. Enough must be heard that the rest decides without it.
func (set VoterSet) RemoveSurplus(leaving func(name string) bool, silence func(name string) int64) (VoterSet, bool) {
	if !set.hasSurplus() {
		return set, false
	}
	gone, heard := "", 0
	var worst int64
	for _, voter := range set.Voters {
		silent := silence(voter.Name)
		if leaving(voter.Name) {
			silent = math.MaxInt64
		}
		if silent < SuspectAfter {
			heard++
		}
		if silent >= FailedAfter && silent > worst {
			gone, worst = voter.Name, silent
		}
	}
	if gone == "" {
		return set, false
	}
	next, err := set.Next(gone, nil)
	if err != nil || heard < next.Majority() {
		return set, false
	}
	next.Seats = set.Seats
	return next, true
}

// RosterKey is the register in which a roster's successor is settled.
const VoterSetKey = "roster"

// Bytes is a roster as its register holds it.
func (set VoterSet) Bytes() []byte {
	b, err := json.Marshal(set)
	if err != nil {
		panic(err) // plain strings and numbers
	}
	return b
}

// ReadRoster reads a register's roster.
func ParseVoterSet(b []byte) (VoterSet, error) {
	var r VoterSet
	err := json.Unmarshal(b, &r)
	return r, err
}
