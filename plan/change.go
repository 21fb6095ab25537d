package plan

import "github.com/gravitational/trace"

// Change is what an operator sends: a whole plan, or a merge patch of the one in
// force, on a condition or on none (design §2).
type Change struct {
	Body  []byte
	Patch bool
	// If the plan must have revision Rev; without that, whatever is in force.
	If  bool
	Rev uint64
}

// Reasons why a change does not apply; the messages name the remedy.
type (
	// OtherRevision tells that the plan in force, of revision Rev, is not the one the
	// change is meant for.
	OtherRevision struct{ Rev uint64 }
	// NoPlan tells that there is no plan yet that a patch could change.
	NoPlan struct{}
	// BadPatch tells that the patch can't be read.
	BadPatch struct{ Cause error }
	// BadPlan lists what is not in order in the plan that would be in force.
	BadPlan struct{ Findings []Finding }
)

func (OtherRevision) Error() string {
	return "read the plan again and decide anew; nothing was changed"
}
func (NoPlan) Error() string     { return "send a whole plan first, with dealer plan put" }
func (e BadPatch) Error() string { return e.Cause.Error() }
func (BadPlan) Error() string {
	return "mend every finding and send again; nothing was changed"
}

// On applies the change to the register's value val of revision rev. What it returns
// must be put on the condition that the register still has that revision; raw is the
// text an operator will read back.
func (c Change) On(rev uint64, val []byte) (sealed, raw []byte, err error) {
	if c.If && c.Rev != rev {
		return nil, nil, OtherRevision{rev}
	}
	raw = c.Body
	if c.Patch {
		if rev == 0 {
			return nil, nil, NoPlan{}
		}
		_, was, err := Open(val)
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		if raw, err = Merge(was, c.Body); err != nil {
			return nil, nil, BadPatch{err}
		}
	}
	if _, fs := Parse(raw); len(fs) > 0 {
		return nil, nil, BadPlan{fs}
	}
	sealed, err = Sealed(val, raw, rev+1)
	return sealed, raw, trace.Wrap(err)
}
