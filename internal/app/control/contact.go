package control

import (
	"context"

	"github.com/samber/lo"

	"violetthread/internal/taskgroup"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	// contactTimeout is how long a voter may be silent before operations are no longer
	// forwarded to it and it no longer counts towards a majority in contact. It lies between
	// silentAfter, after which a voter is probed, and quorum.SuspectAfterUS, after which it
	// does not count in elections.
	contactTimeout = 400_000
	// contactInterval is the time between two checks for contact with a majority during a
	// call.
	contactInterval = 50_000
)

// HasMajorityContact reports whether this node received messages from a majority of the voters
// within contactTimeout, counting itself. A node that does not vote can't tell, and returns true.
func (n *Node) HasMajorityContact() bool {
	set := n.voterSet.Load()
	if set == nil || !n.voting.Load() {
		return true
	}
	return isMajorityHeard(set.Voters, n.status.Load().silent)
}

// isMajorityHeard reports whether a majority of the voters is not silent.
func isMajorityHeard(voters []*fb.VoterT, silent map[string]bool) bool {
	heard := lo.CountBy(voters, func(voter *fb.VoterT) bool { return !silent[voter.Name] })
	return heard > len(voters)/2
}

// WithMajorityContact returns a context that ends with ctx, or as soon as this node loses contact
// with a majority of the voters: it can then neither read nor change control state, and the client
// should ask another node.
func (n *Node) WithMajorityContact(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	n.daemon.Group.Go("contact", func(context.Context) {
		for n.HasMajorityContact() {
			if !taskgroup.Sleep(ctx, contactInterval) {
				break
			}
		}
		cancel()
	})
	return ctx, cancel
}
