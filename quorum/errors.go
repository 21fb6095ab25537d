package quorum

import "errors"

// Reasons why a change of the voter set is refused. The errors that wrap them name the
// remedy.
var (
	// ErrNoSuchVoter: a voter that is to go is not in the set.
	ErrNoSuchVoter = errors.New("no such voter")
	// ErrVoterExists: a voter that is to come has the name of one in the set.
	ErrVoterExists = errors.New("a voter has that name already")
	// ErrNotNextRevision: a set does not follow the one in force by one revision.
	ErrNotNextRevision = errors.New("not the next voter set")
	// ErrNotOneStep: a change could leave two majorities without a common voter.
	ErrNotOneStep = errors.New("not a single step")
	// ErrVotersNotDistinct: two voters share a name, an incarnation or a number.
	ErrVotersNotDistinct = errors.New("voters are not distinct")
	// ErrStepPending: the step before is committed but not in force at the leader yet.
	ErrStepPending = errors.New("a step is pending")
	// ErrNotRecovered: some slot was not recovered under the present voter set yet.
	ErrNotRecovered = errors.New("not every slot is recovered")
)
