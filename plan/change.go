package plan

import "github.com/gravitational/trace"

// Change is an operator's request to replace the plan, or to patch the one in force, with or
// without a condition (docs/design.md §2).
type Change struct {
	Body  []byte
	Patch bool // Body is a merge patch
	// Conditional limits the change to the plan of ExpectedRevision, 0 if there is no plan
	// yet. Otherwise it applies to any plan that is in force.
	Conditional      bool
	ExpectedRevision uint64
}

// RevisionConflictError means that the plan in force does not have the revision that a
// conditional change expects.
type RevisionConflictError struct {
	Revision uint64 // of the plan in force
}

func (RevisionConflictError) Error() string {
	return "read the plan again and decide anew; nothing was changed"
}

// NoPlanError means that a patch was sent before the first plan.
type NoPlanError struct{}

func (NoPlanError) Error() string { return "send a whole plan first, with violetthread-ctl plan put" }

// PatchError means that a patch can't be decoded or applied. Its message is that of Err.
type PatchError struct{ Err error }

func (e PatchError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e PatchError) Unwrap() error { return e.Err }

// InvalidPlanError contains all findings on the plan that the change would put in force.
type InvalidPlanError struct{ Findings []Finding }

func (InvalidPlanError) Error() string {
	return "mend every finding and send again; nothing was changed"
}

// Apply applies the change to the register's value at a revision (0 and nil if there is no
// plan yet). It returns the register's next value, which must be written only if the register
// still has that revision, and the plan's text as operators will read it.
//
// Errors are RevisionConflictError, NoPlanError, PatchError, InvalidPlanError, and others
// for a register that can't be decoded.
func (c Change) Apply(revision uint64, value []byte) (next, raw []byte, err error) {
	if c.Conditional && c.ExpectedRevision != revision {
		return nil, nil, RevisionConflictError{Revision: revision}
	}
	raw = c.Body
	if c.Patch {
		if raw, err = c.applyPatch(revision, value); err != nil {
			return nil, nil, err
		}
	}
	if _, findings := Parse(raw); len(findings) > 0 {
		return nil, nil, InvalidPlanError{Findings: findings}
	}
	next, err = Encode(value, raw, revision+1)
	return next, raw, trace.Wrap(err)
}

// applyPatch applies the merge patch to the text of the plan in force.
func (c Change) applyPatch(revision uint64, value []byte) ([]byte, error) {
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
