package quorum

import "errors"

// Reasons why a change of the voter set is refused. The errors that wrap them say what to do.
var (
	// ErrNoSuchVoter: the voter to remove is not in the set.
	ErrNoSuchVoter = errors.New("no such voter")
	// ErrVoterExists: a voter in the set already has the name of the one to add.
	ErrVoterExists = errors.New("a voter already has that name")
	// ErrNotNextRevision: the revision is not the successor of the one in force.
	ErrNotNextRevision = errors.New("not the next voter set revision")
	// ErrNotOneStep: the change could leave two majorities without a common voter.
	ErrNotOneStep = errors.New("not a single voter set change")
	// ErrVotersNotDistinct: two voters share a name, an incarnation or a number.
	ErrVotersNotDistinct = errors.New("voters are not distinct")
	// ErrStepPending: the previous change is committed but not yet in force at the leader.
	ErrStepPending = errors.New("a voter set change is pending")
	// ErrNotRecovered: some slot has not been recovered under the current voter set yet.
	ErrNotRecovered = errors.New("not every slot is recovered")
)
