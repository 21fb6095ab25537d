package plan

import "github.com/gravitational/trace"

// Change is what an operator sends: a whole plan, or a merge patch of the one in force, on
// a condition or on none (docs/design.md §2).
type Change struct {
	Body  []byte
	Patch bool // Body is a merge patch
	// Conditional: the change applies to the plan of ExpectedRevision alone, 0 for none
	// yet. Otherwise it applies to whatever plan is in force.
	Conditional      bool
	ExpectedRevision uint64
}

// RevisionConflictError says that the plan in force is not the one that a conditional
// change is meant for.
type RevisionConflictError struct {
	Revision uint64 // of the plan in force
}

func (RevisionConflictError) Error() string {
	return "read the plan again and decide anew; nothing was changed"
}

// NoPlanError says that there is no plan yet that a patch could change.
type NoPlanError struct{}

func (NoPlanError) Error() string { return "send a whole plan first, with violetthread-ctl plan put" }

// PatchError says that a patch can't be read or applied. Its message is that of Err.
type PatchError struct{ Err error }

func (e PatchError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e PatchError) Unwrap() error { return e.Err }

// InvalidPlanError lists everything that is wrong with the plan that would be in force.
type InvalidPlanError struct{ Findings []Finding }

func (InvalidPlanError) Error() string {
	return "mend every finding and send again; nothing was changed"
}

// Apply applies the change to the register's value of a revision (0 and nil while there is
// no plan). It returns the register's next value, which must be written on the condition
// that the register still has that revision, and the text that operators will read back.
//
// Errors are RevisionConflictError, NoPlanError, PatchError, InvalidPlanError, and others
// for a register that can't be read.
func (c Change) Apply(revision uint64, value []byte) (next, raw []byte, err error) {
	if c.Conditional && c.ExpectedRevision != revision {
		return nil, nil, RevisionConflictError{Revision: revision}
	}
	raw = c.Body
	if c.Patch {
		if raw, err = c.patched(revision, value); err != nil {
			return nil, nil, err
		}
	}
	if _, findings := Parse(raw); len(findings) > 0 {
		return nil, nil, InvalidPlanError{Findings: findings}
	}
	next, err = Encode(value, raw, revision+1)
	return next, raw, trace.Wrap(err)
}

// patched applies the merge patch to the text of the plan in force.
func (c Change) patched(revision uint64, value []byte) ([]byte, error) {
	if revision == 0 {
		return nil, NoPlanError{}
	}
	_, current, err := Decode(value)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	raw, err := MergePatch(current, c.Body)
	if err != nil {
		return nil, PatchError{Err: err}
	}
	return raw, nil
}
