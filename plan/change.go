package plan

import "github.com/gravitational/trace"

// Change is what an operator sends: a whole plan, or a merge patch of the one in
// force, on a condition or on none (design §2).
type Change struct {
	Body  []byte
	Patch bool
	// If the plan must have revision Rev; without that, whatever is in force.
	Conditional      bool
	ExpectedRevision uint64
}

// Reasons why a change does not apply; the messages name the remedy.
type (
	// OtherRevision tells that the plan in force, of revision Rev, is not the one the
	// change is meant for.
	RevisionConflictError struct{ Revision uint64 }
	// NoPlan tells that there is no plan yet that a patch could change.
	NoPlanError struct{}
	// BadPatch tells that the patch can't be read.
	PatchError struct{ Err error }
	// BadPlan lists what is not in order in the plan that would be in force.
	InvalidPlanError struct{ Findings []Finding }
)

func (RevisionConflictError) Error() string {
	return "read the plan again and decide anew; nothing was changed"
}
func (NoPlanError) Error() string  { return "send a whole plan first, with dealer plan put" }
func (e PatchError) Error() string { return e.Err.Error() }
func (InvalidPlanError) Error() string {
	return "mend every finding and send again; nothing was changed"
}

// On applies the change to the register's value val of revision rev. What it returns
// must be put on the condition that the register still has that revision; raw is the
// text an operator will read back.
func (c Change) Apply(rev uint64, val []byte) (sealed, raw []byte, err error) {
	if c.Conditional && c.ExpectedRevision != rev {
		return nil, nil, RevisionConflictError{rev}
	}
	raw = c.Body
	if c.Patch {
		if rev == 0 {
			return nil, nil, NoPlanError{}
		}
		_, was, err := Decode(val)
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		if raw, err = MergePatch(was, c.Body); err != nil {
			return nil, nil, PatchError{err}
		}
	}
	if _, fs := Parse(raw); len(fs) > 0 {
		return nil, nil, InvalidPlanError{fs}
	}
	sealed, err = Encode(val, raw, rev+1)
	return sealed, raw, trace.Wrap(err)
}
