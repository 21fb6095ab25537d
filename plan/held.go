package plan

import "slices"

// Held is a plan as a node holds it: At is the latest time, by this node's own
// clock since boot, at which the plan is known to have been in force. The age
// grows with every hop and no wall clock takes part in it (design §3).
type Cached struct {
	Revision    uint64
	Raw         []byte
	Plan        *Compiled
	ConfirmedAt int64
	Known       bool // a revision was vouched for at all; revision 0 is no plan yet
}

// Word is what one hop tells the next: revision Rev was in force Age ago. Raw is
// left out when the asker already had that revision.
type Update struct {
	Revision  uint64
	Age       int64
	Raw       []byte
	Confirmed bool
}

// Age is how long ago the plan was known to be in force.
func (c *Cached) Age(now int64) int64 {
	if !c.Known {
		return 1 << 50
	}
	return now - c.ConfirmedAt
}

// Take takes a word in that was asked for at time asked, from which its age
// counts, so that whatever the answer went through is in it. It never goes back
// to an older revision.
func (c *Cached) Apply(w Update, asked int64) (n Cached, changed bool, err error) {
	n = *c
	at := asked - w.Age
	switch {
	case !w.Confirmed || c.Known && w.Revision < c.Revision:
	case c.Known && w.Revision == c.Revision:
		n.ConfirmedAt = max(n.ConfirmedAt, at)
	case w.Revision == 0:
		n.Known, n.ConfirmedAt = true, at
	case len(w.Raw) > 0:
		p, err := Load(w.Raw, w.Revision)
		if err != nil {
			return n, false, err
		}
		return Cached{w.Revision, slices.Clone(w.Raw), p, at, true}, true, nil
	}
	return n, false, nil
}
