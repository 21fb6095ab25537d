package index

import (
	"cmp"
	"slices"
	"strings"

	"github.com/samber/lo"

	"violetthread/internal/rendezvous"
)

// rendezvousScore ranks candidates for a role, a zone or a wave.
func rendezvousScore(name, candidate string) uint64 { return rendezvous.Weight(name, "|", candidate) }

// Placement says which node is to hold each role. Whoever holds a role keeps it while no
// node has more than its part and it can serve the role; the rest goes by rendezvous among
// the nodes that can. Nodes that know the same peers and list find the same.
func (n *Node) Placement() map[string]string {
	placement := map[string]string{}
	if len(n.peers) == 0 {
		return placement
	}
	holders := n.currentHolders()
	roles := n.allRoles()
	for _, prefix := range []string{engineRolePrefix, shardRolePrefix} {
		ofKind := lo.Filter(roles, func(role string, _ int) bool { return strings.HasPrefix(role, prefix) })
		n.assignRoles(ofKind, holders, placement)
	}
	return placement
}

// currentHolders is who says that it holds each role, the first by name of several.
func (n *Node) currentHolders() map[string]string {
	holders := map[string]string{}
	for _, peer := range n.peers {
		for _, role := range peer.Roles {
			if _, taken := holders[role]; !taken {
				holders[role] = peer.Name
			}
		}
	}
	return holders
}

// assignRoles places the roles of one kind, sorted by key.
func (n *Node) assignRoles(roles []string, holders, placement map[string]string) {
	maxLoad := (len(roles) + len(n.peers) - 1) / len(n.peers)
	load := map[string]int{}
	for _, role := range roles {
		holder := holders[role]
		if holder == "" || load[holder] >= maxLoad {
			continue
		}
		if containsPeer(n.candidates(role, holder), holder) {
			placement[role] = holder
			load[holder]++
		}
	}
	for _, role := range roles {
		if placement[role] != "" {
			continue
		}
		chosen := choosePeer(role, holders[role], n.candidates(role, holders[role]), load, maxLoad)
		placement[role] = chosen
		load[chosen]++
	}
}

// candidates are the nodes that may hold a role. An engine that its holder can't serve goes
// to a node that shows it can. While there is none, the engine is down rather than out of
// its holder's reach, and nothing is gained by a move.
func (n *Node) candidates(role, holder string) []Peer {
	able := filterPeers(n.peers, func(peer Peer) bool { return peer.canServe(role) })
	if holder == "" && len(able) > 0 || containsPeer(able, holder) {
		return able
	}
	reaching := filterPeers(able, func(peer Peer) bool { return peer.reachedEngine(role) })
	switch {
	case len(reaching) > 0:
		return reaching
	case holder == "":
		return n.peers
	}
	return filterPeers(n.peers, func(peer Peer) bool { return peer.Name == holder })
}

// choosePeer picks the candidate below maxLoad that ranks first for a role. When all are at
// their bound its holder keeps it, or else it goes to the one with the least to do.
func choosePeer(role, holder string, candidates []Peer, load map[string]int, maxLoad int) string {
	open := filterPeers(candidates, func(peer Peer) bool { return load[peer.Name] < maxLoad })
	if len(open) > 0 {
		return slices.MaxFunc(open, func(a, b Peer) int {
			return cmp.Compare(rendezvousScore(role, a.Name), rendezvousScore(role, b.Name))
		}).Name
	}
	if containsPeer(candidates, holder) {
		return holder
	}
	return slices.MinFunc(candidates, func(a, b Peer) int {
		return cmp.Compare(load[a.Name], load[b.Name])
	}).Name
}

func filterPeers(peers []Peer, keep func(Peer) bool) []Peer {
	return lo.Filter(peers, func(peer Peer, _ int) bool { return keep(peer) })
}

func containsPeer(peers []Peer, name string) bool {
	return slices.ContainsFunc(peers, func(peer Peer) bool { return peer.Name == name })
}
