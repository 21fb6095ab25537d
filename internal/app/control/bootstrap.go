package control

import (
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"strings"

	"github.com/samber/lo"

	"violetthread/quorum"
	"violetthread/schema/fb"
)

// responseLifetime is how old a seed's response may be for a bootstrap, in microseconds.
const responseLifetime = 700_000

// mayBootstrap reports whether this node belongs to a fleet that starts for the first time,
// and never had a seat in it. One that lost its seat was replaced: its seat is taken.
func (n *Node) mayBootstrap() bool { return n.settings.Bootstrap && !n.removed.Load() }

// tryBootstrap makes a fleet's first voter set out of what the seeds just replied, or says
// what is waited for. Only seeds bootstrap, once each has replied with its incarnation and none
// knows a voter set; whoever meets a fleet that has one joins that (design §4.6). All seeds
// work out the same voter set.
func (n *Node) tryBootstrap(now int64, responses map[string]peerResponse) (*fb.VoterSetT, error) {
	for _, peer := range responses {
		if peer.response != nil && peer.response.VoterSet != nil {
			return nil, &joinError{"waiting to be let into the fleet's voter set", "a majority of its control nodes must be up"}
		}
	}
	if !n.mayBootstrap() {
		return nil, &joinError{"no bootstrapped fleet is reachable", "if this is the fleet's first start, set initial-launch (--found of violetthread-control) to true at every control node"}
	}
	if !slices.Contains(n.settings.Seeds, n.settings.TransportAddr) {
		return nil, &joinError{"waiting for the seeds to bootstrap the fleet", "start the control nodes at " + strings.Join(n.settings.Seeds, ", ")}
	}
	voters := []*fb.VoterT{{Name: n.settings.Name, Addr: n.settings.TransportAddr, Incarnation: n.Incarnation()}}
	for _, addr := range lo.Without(lo.Uniq(n.settings.Seeds), n.settings.TransportAddr) {
		peer := responses[addr]
		if peer.response == nil || now-peer.askedAt > responseLifetime {
			return nil, &joinError{"bootstrap waits until every seed answers", addr + " does not"}
		}
		voters = append(voters, &fb.VoterT{Name: peer.response.Name, Addr: addr, Incarnation: peer.response.Incarnation})
	}
	return firstVoterSet(voters)
}

// firstVoterSet is the voter set of a new fleet, whose number follows from its voters.
func firstVoterSet(voters []*fb.VoterT) (*fb.VoterSetT, error) {
	sort.Slice(voters, func(i, j int) bool { return voters[i].Name < voters[j].Name })
	hash := fnv.New64a()
	for i, voter := range voters {
		voter.Number = uint16(i + 1)
		_, _ = fmt.Fprintf(hash, "%s|%s|%d;", voter.Name, voter.Addr, voter.Incarnation)
		if i > 0 && voters[i-1].Name == voter.Name {
			return nil, &joinError{"two control nodes are named " + voter.Name, "give each its own name"}
		}
	}
	fleet := hash.Sum64() >> 24
	return &fb.VoterSetT{Fleet: fleet, Revision: quorum.FirstRevision(fleet), Voters: voters, Seats: uint16(len(voters))}, nil
}
