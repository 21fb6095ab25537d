package plan

import "slices"

// neverConfirmedAge is the age of a plan that was never confirmed, in microseconds: about 35
// years, more than any limit on the age.
const neverConfirmedAge = 1 << 50

// Cached is the copy of the plan on a node that is not a voter. ConfirmedAt is the latest
// time, on this node's monotonic clock in microseconds, at which the plan is known to have
// been in force. Every hop adds its delay to the age, and no wall clock is used
// (docs/design.md §3).
type Cached struct {
	Revision    uint64
	Raw         []byte // the register's value, including the domain history
	Plan        *Compiled
	ConfirmedAt int64
	Known       bool // a revision was confirmed; a known revision 0 means that there is no plan yet
}

// Update is what one hop sends to the next: Revision was in force Age microseconds ago. Raw
// is omitted if the requester has that revision already.
type Update struct {
	Revision  uint64
	Age       int64
	Raw       []byte
	Confirmed bool // by a leader that holds its lease; an unconfirmed update has no effect
}

// Age is the time since the plan was last known to be in force, in microseconds.
func (c *Cached) Age(now int64) int64 {
	if !c.Known {
		return neverConfirmedAge
	}
	return now - c.ConfirmedAt
}

// Apply returns the cached plan after an update that was requested at time requestedAt. The
// age of the update counts from then, so that it includes the delay of the response. The
// revision never decreases, and an update to a newer revision without its text is ignored.
// changed reports whether the text was replaced; an error means that the text can't be
// decoded, and then nothing changes.
func (c *Cached) Apply(update Update, requestedAt int64) (next Cached, changed bool, err error) {
	next = *c
	confirmedAt := requestedAt - update.Age
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
