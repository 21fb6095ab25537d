package plan

import "slices"

// neverConfirmedAge is the age of a plan that was never confirmed, in microseconds.
const neverConfirmedAge = 1 << 50

// Cached is a plan as a node has it that is not a voter. ConfirmedAt is the latest time,
// by this node's monotonic clock in microseconds, at which the plan is known to have been
// in force. Its age grows with every hop, and no wall clock takes part in it
// (docs/design.md §3).
type Cached struct {
	Revision    uint64
	Raw         []byte // the register's value, seal and all
	Plan        *Compiled
	ConfirmedAt int64
	Known       bool // some revision was confirmed; revision 0 means that there is no plan yet
}

// Update is what one hop tells the next: Revision was in force Age microseconds ago. Raw
// is left out when the asker has that revision already.
type Update struct {
	Revision  uint64
	Age       int64
	Raw       []byte
	Confirmed bool // by a leader under its lease; without that an update has no effect
}

// Age is how many microseconds ago the plan was last known to be in force.
func (c *Cached) Age(now int64) int64 {
	if !c.Known {
		return neverConfirmedAge
	}
	return now - c.ConfirmedAt
}

// Apply returns what is known after an update that was asked for at time asked. Its age
// counts from there, so that it includes whatever delayed the answer. A cached plan never
// goes back to an older revision, and a newer revision without its text changes nothing.
// changed reports whether the revision is another; an error means that the text can't be
// read, and nothing changes.
func (c *Cached) Apply(update Update, asked int64) (next Cached, changed bool, err error) {
	next = *c
	confirmedAt := asked - update.Age
	switch {
	case !update.Confirmed || c.Known && update.Revision < c.Revision:
	case c.Known && update.Revision == c.Revision:
		next.ConfirmedAt = max(next.ConfirmedAt, confirmedAt)
	case update.Revision == 0:
		next.Known, next.ConfirmedAt = true, confirmedAt
	case len(update.Raw) > 0:
		p, err := Load(update.Raw, update.Revision)
		if err != nil {
			return next, false, err
		}
		return Cached{Revision: update.Revision, Raw: slices.Clone(update.Raw), Plan: p, ConfirmedAt: confirmedAt, Known: true}, true, nil
	}
	return next, false, nil
}
