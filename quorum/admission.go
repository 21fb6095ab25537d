package quorum

import (
	"math"
	"slices"
)

// MaxVoters is the size up to which voters are added automatically.
const MaxVoters = 9

// A voter that has not been heard for FailedAfterUS may be replaced. From SuspectAfterUS on it
// is suspect, and no other voter is added, because the suspect may be about to be replaced. A
// joining node is added only after it has asked for AddAfterUS, since it may be the replacement
// of a voter that has just stopped (design §4.6). All are in microseconds.
const (
	FailedAfterUS  = 1_500_000
	SuspectAfterUS = 500_000
	AddAfterUS     = 600_000
)

// voterActivity summarizes which voters of a set were heard recently.
type voterActivity struct {
	active     int    // voters that are not suspect
	anySuspect bool   // whether some voter is suspect
	failed     string // the failed voter that was heard least recently, "" for none
}

func (set VoterSet) voterActivity(timeSinceHeard func(name string) int64) voterActivity {
	var activity voterActivity
	var longest int64
	for _, voter := range set.Voters {
		idle := timeSinceHeard(voter.Name)
		if idle < SuspectAfterUS {
			activity.active++
		} else {
			activity.anySuspect = true
		}
		if idle >= FailedAfterUS && idle > longest {
			activity.failed, longest = voter.Name, idle
		}
	}
	return activity
}

// Admit returns the next voter set that lets joiner in, and whether a change can be made now.
// requestAge is how long the joiner has been asking, timeSinceHeard how long ago a voter was
// last heard, both in microseconds. A voter is removed only to make room for the joiner:
//   - the voter with the joiner's name or address but another incarnation, whose disk is lost;
//   - otherwise the failed voter that was heard least recently.
//
// If neither exists, the joiner is added, up to limit voters. In an odd set, a replacement
// takes two steps: this one removes the old voter, and the next one adds the joiner. Nothing
// changes unless a majority was heard recently.
func (set VoterSet) Admit(joiner Voter, requestAge int64, timeSinceHeard func(name string) int64, limit int) (VoterSet, bool) {
	activity := set.voterActivity(timeSinceHeard)
	if activity.active < set.Majority() {
		return set, false
	}
	if set.hasIncarnation(joiner.Incarnation) {
		return set, false // already a voter, or it claims the incarnation of another one
	}
	removed := activity.failed
	if former := set.previousIncarnation(joiner); former != "" {
		removed = former
	}
	if removed == "" && (activity.anySuspect || requestAge < AddAfterUS || len(set.Voters) >= limit) {
		return set, false
	}
	for _, added := range []*Voter{&joiner, nil} {
		if next, err := set.Next(removed, added); err == nil {
			next.TargetSize = set.TargetSize // the joiner is a replacement, even if no voter is removed now
			return next, true
		}
	}
	return set, false
}

func (set VoterSet) hasIncarnation(incarnation uint64) bool {
	return slices.ContainsFunc(set.Voters, func(voter Voter) bool { return voter.Incarnation == incarnation })
}

// previousIncarnation returns the name of the voter with the joiner's name or address, or "".
func (set VoterSet) previousIncarnation(joiner Voter) string {
	for _, voter := range set.Voters {
		if voter.Name == joiner.Name || voter.Addr == joiner.Addr && voter.Addr != "" {
			return voter.Name
		}
	}
	return ""
}

// hasSurplusVoter reports whether the set is larger than its target size and even. An even set
// tolerates no more failures than the odd set below it, so the surplus voter is removed; in an
// odd set a failed surplus voter does no harm.
func (set VoterSet) hasSurplusVoter() bool {
	return set.TargetSize > 0 && len(set.Voters) > int(set.TargetSize) && len(set.Voters)%2 == 0
}

// RemoveSurplus returns the next voter set without a voter whose replacement has already been
// added, and whether there is one to remove now: a voter that is leaving, otherwise the failed
// voter that was heard least recently. A majority of the remaining set must have been heard
// recently.
func (set VoterSet) RemoveSurplus(leaving func(name string) bool, timeSinceHeard func(name string) int64) (VoterSet, bool) {
	if !set.hasSurplusVoter() {
		return set, false
	}
	activity := set.voterActivity(func(name string) int64 {
		if leaving(name) {
			return math.MaxInt64
		}
		return timeSinceHeard(name)
	})
	if activity.failed == "" {
		return set, false
	}
	next, err := set.Next(activity.failed, nil)
	if err != nil || activity.active < next.Majority() {
		return set, false
	}
	next.TargetSize = set.TargetSize
	return next, true
}
