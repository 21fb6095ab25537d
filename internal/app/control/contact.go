package control

import (
	"context"

	"github.com/samber/lo"

	"violetthread/internal/taskgroup"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	// contactTimeout is how long a voter may be silent before nothing is forwarded to it
	// and it no longer counts towards a majority in contact. It lies between silentAfter,
	// from which on it is probed, and quorum.SuspectAfterUS, from which on it does not count
	// in elections.
	contactTimeout = 400_000
	// contactInterval is how often contact with a majority is looked at during a call.
	contactInterval = 50_000
)

// HearsMajority reports whether this node heard a majority of the voters within
// contactTimeout, itself among them. A node that does not vote can't tell, and says yes.
func (n *Node) HearsMajority() bool {
	set := n.voterSet.Load()
	if set == nil || !n.voting.Load() {
		return true
	}
	return hearsMajority(set.Voters, n.status.Load().silent)
}

// hearsMajority tells whether most of the voters are not silent.
func hearsMajority(voters []*fb.VoterT, silent map[string]bool) bool {
	heard := lo.CountBy(voters, func(voter *fb.VoterT) bool { return !silent[voter.Name] })
	return heard > len(voters)/2
}

// WithMajorityContact is a context that ends with ctx, or once this node hears no
// majority: nothing can be read or changed from here then, and whoever asks does better
// elsewhere.
func (n *Node) WithMajorityContact(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	n.daemon.Group.Go("contact", func(context.Context) {
		for n.HearsMajority() {
			if !taskgroup.Sleep(ctx, contactInterval) {
				break
			}
		}
		cancel()
	})
	return ctx, cancel
}
