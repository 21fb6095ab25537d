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

// maxResponseAge is the maximum age of a seed's join response that counts for a bootstrap, in
// microseconds.
const maxResponseAge = 700_000

// mayBootstrap reports whether this node may take part in the bootstrap of a fleet that starts
// for the first time. A node that was removed from the voter set may not: another node has
// taken its place.
func (n *Node) mayBootstrap() bool { return n.settings.Bootstrap && !n.removed.Load() }

// tryBootstrap builds a fleet's first voter set from the recent join responses of the seeds, or
// returns a joinError that says what is missing. Only seeds bootstrap, once each has responded
// with its incarnation and none knows a voter set; a node that finds an existing voter set joins
// that instead (design §4.6). All seeds derive the same voter set.
func (n *Node) tryBootstrap(now int64, responses map[string]peerResponse) (*fb.VoterSetT, error) {
	for _, peer := range responses {
		if peer.response != nil && peer.response.VoterSet != nil {
			return nil, &joinError{"waiting to be admitted to the fleet's voter set", "a majority of its control nodes must be up"}
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
		if peer.response == nil || now-peer.sentAt > maxResponseAge {
			return nil, &joinError{"bootstrap is waiting for a response from every seed", addr + " does not respond"}
		}
		voters = append(voters, &fb.VoterT{Name: peer.response.Name, Addr: addr, Incarnation: peer.response.Incarnation})
	}
	return initialVoterSet(voters)
}

// initialVoterSet returns the voter set of a new fleet. The fleet's number is a hash of its
// voters, so that every seed computes the same one.
func initialVoterSet(voters []*fb.VoterT) (*fb.VoterSetT, error) {
	sort.Slice(voters, func(i, j int) bool { return voters[i].Name < voters[j].Name })
	hash := fnv.New64a()
	for i, voter := range voters {
		voter.Number = uint16(i + 1)
		_, _ = fmt.Fprintf(hash, "%s|%s|%d;", voter.Name, voter.Addr, voter.Incarnation)
		if i > 0 && voters[i-1].Name == voter.Name {
			return nil, &joinError{"two control nodes are named " + voter.Name, "give each control node a unique name"}
		}
	}
	fleet := hash.Sum64() >> 24
	return &fb.VoterSetT{Fleet: fleet, Revision: quorum.FirstRevision(fleet), Voters: voters, Seats: uint16(len(voters))}, nil
}
