package quorum

import (
	"math"
	"slices"
)

// MaxVoters bounds a voter set that grows by itself.
const MaxVoters = 9

// Silences, in microseconds, after which a voter's place may be taken, and from which on
// nobody is added beside it: it may be about to be replaced. A newcomer waits AddAfterUS before
// it is added, since it may have come in the place of one that has just gone (design §4.6).
const (
	FailedAfterUS  = 1_500_000
	SuspectAfterUS = 500_000
	AddAfterUS     = 600_000
)

// contacts is which voters of a set are heard.
type contacts struct {
	heard   int    // voters that are not suspect
	suspect bool   // whether any is
	failed  string // the one silent longest of those that count as failed, "" for none
}

func (set VoterSet) contacts(silence func(name string) int64) contacts {
	var seen contacts
	var longest int64
	for _, voter := range set.Voters {
		silent := silence(voter.Name)
		if silent < SuspectAfterUS {
			seen.heard++
		} else {
			seen.suspect = true
		}
		if silent >= FailedAfterUS && silent > longest {
			seen.failed, longest = voter.Name, silent
		}
	}
	return seen
}

// Admit is the step that lets newcomer in, if one may be taken now. askedFor is how long it
// has been asking, silence how long a voter was not heard, both in microseconds. Voters go
// only to make place:
//   - one whose name or address the newcomer has, with another incarnation: that disk is lost;
//   - else the one that is silent longest, once it counts as failed;
//
// else the newcomer is added, up to limit voters. An odd set loses the voter first and gains
// the newcomer by the step after. Nothing is done when no majority is heard.
func (set VoterSet) Admit(newcomer Voter, askedFor int64, silence func(name string) int64, limit int) (VoterSet, bool) {
	seen := set.contacts(silence)
	if seen.heard < set.Majority() {
		return set, false
	}
	if set.hasIncarnation(newcomer.Incarnation) {
		return set, false // in already, or it makes itself out to be another
	}
	leaves := seen.failed
	if former := set.formerSelf(newcomer); former != "" {
		leaves = former
	}
	if leaves == "" && (seen.suspect || askedFor < AddAfterUS || len(set.Voters) >= limit) {
		return set, false
	}
	for _, joins := range []*Voter{&newcomer, nil} {
		if next, err := set.Next(leaves, joins); err == nil {
			next.TargetSize = set.TargetSize // a replacement, whoever goes for it
			return next, true
		}
	}
	return set, false
}

func (set VoterSet) hasIncarnation(incarnation uint64) bool {
	return slices.ContainsFunc(set.Voters, func(voter Voter) bool { return voter.Incarnation == incarnation })
}

// formerSelf names the voter that has the newcomer's name or address, or "".
func (set VoterSet) formerSelf(newcomer Voter) string {
	for _, voter := range set.Voters {
		if voter.Name == newcomer.Name || voter.Addr == newcomer.Addr && voter.Addr != "" {
			return voter.Name
		}
	}
	return ""
}

// hasSurplus reports whether the set has more voters than seats, and an even number of them.
// An even set tolerates no more failures than the odd set below it, so its surplus voter is
// removed; in an odd set a failed surplus voter costs nothing.
func (set VoterSet) hasSurplus() bool {
	return set.TargetSize > 0 && len(set.Voters) > int(set.TargetSize) && len(set.Voters)%2 == 0
}

// RemoveSurplus is the step that takes the seat of a voter whose successor was let in before,
// if there is one to take now: of one that is leaving, else of the one silent longest once it
// counts as failed. Enough must be heard that the rest decides without it.
func (set VoterSet) RemoveSurplus(leaving func(name string) bool, silence func(name string) int64) (VoterSet, bool) {
	if !set.hasSurplus() {
		return set, false
	}
	seen := set.contacts(func(name string) int64 {
		if leaving(name) {
			return math.MaxInt64
		}
		return silence(name)
	})
	if seen.failed == "" {
		return set, false
	}
	next, err := set.Next(seen.failed, nil)
	if err != nil || seen.heard < next.Majority() {
		return set, false
	}
	next.TargetSize = set.TargetSize
	return next, true
}
