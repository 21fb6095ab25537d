package index

import (
	"cmp"
	"slices"
	"strings"

	"github.com/samber/lo"

	"violetthread/internal/rendezvous"
)

// rendezvousScore ranks candidates by rendezvous hashing, for example for a role or a zone.
func rendezvousScore(name, candidate string) uint64 { return rendezvous.Weight(name, "|", candidate) }

// Placement returns which node is to hold each role, by lease key. The holder of a role keeps
// it while it can serve the role and its load is within the bound. The other roles are
// assigned by rendezvous hashing among the nodes that can serve them. Nodes that know the same
// peers and the same list compute the same placement.
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

// currentHolders returns which peer reports that it holds each role; of several, the first by
// name.
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

// assignRoles places the roles of one kind, which are sorted by key. Each node gets at most
// its share of them, rounded up, unless choosePeer finds every candidate at that bound.
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

// candidates returns the nodes that may hold a role. An engine that its holder can't serve
// moves only to a node that has proved that it reaches the engine. If there is none, the
// engine itself is probably down, and moving it would gain nothing.
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

// choosePeer returns the candidate with the highest rendezvous score among those below
// maxLoad. If all are at maxLoad, the role stays with its holder, or goes to the least loaded
// candidate if the holder is not one.
func choosePeer(role, holder string, candidates []Peer, load map[string]int, maxLoad int) string {
	available := filterPeers(candidates, func(peer Peer) bool { return load[peer.Name] < maxLoad })
	if len(available) > 0 {
		return slices.MaxFunc(available, func(a, b Peer) int {
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
