package index

import (
	"slices"
	"strings"
)

// Bounds on what this node says of its way to engines, in microseconds.
const (
	// silentAfter is how long an engine that is polled may stay without an answer before
	// this node says that it can't serve it.
	silentAfter = 1_000_000
	// reachedFor is how long an answer counts as proof that an engine is in reach.
	reachedFor = 500_000
	// maxListingAge is the age of the platform's list beyond which this node says that it
	// can serve no engine: its grants are as old as the list.
	maxListingAge = 1_000_000
)

// Reachability is what an index node says of its way to engines. With a part of the network
// lost, the owner of an engine may be the one node that can't serve it; the others learn it
// from here, and one of them takes the engine over (docs/design.md §10). Recordings contain
// it under the names in the tags.
type Reachability struct {
	// ListStale: the platform's list is too old here to grant anything by.
	ListStale bool `json:"ListStale"`
	// Silent are engines that were polled and have not answered for a while.
	Silent []string `json:"Silent"`
	// Reached are engines of other owners that answered a moment ago.
	Reached []string `json:"Reached"`
}

// contact is how an engine answers this node.
type contact struct {
	trackedSince int64 // polled since then
	answeredAt   int64 // when the newest answered poll was sent, 0 for never
}

func (c *contact) isSilent(now int64) bool {
	return now-max(c.trackedSince, c.answeredAt) > silentAfter
}

func (c *contact) isReached(now int64) bool {
	return c.answeredAt > 0 && now-c.answeredAt <= reachedFor
}

// Reachability says which engines this node can't serve, and which of the others' it could.
func (n *Node) Reachability(now int64) Reachability {
	r := Reachability{ListStale: now-n.listedAt > maxListingAge}
	for name, contact := range n.contacts {
		if contact.isSilent(now) {
			r.Silent = append(r.Silent, name)
		}
		if _, owned := n.HoldsLease(now, EngineRole(name)); !owned && !r.ListStale && contact.isReached(now) {
			r.Reached = append(r.Reached, name)
		}
	}
	slices.Sort(r.Silent)
	slices.Sort(r.Reached)
	return r
}

// probeTargets are the engines of others that this node polls as well: those that another
// node can't serve, and those that stayed silent here, until they answer.
func (n *Node) probeTargets(now int64) map[string]bool {
	targets := map[string]bool{}
	for name, contact := range n.contacts {
		if contact.isSilent(now) {
			targets[name] = true
		}
	}
	for _, peer := range n.peers {
		if peer.Name == n.name {
			continue
		}
		for _, name := range peer.Silent {
			targets[name] = true
		}
		if !peer.ListStale {
			continue
		}
		for _, role := range peer.Roles {
			if name, is := strings.CutPrefix(role, engineRolePrefix); is {
				targets[name] = true
			}
		}
	}
	return targets
}

// trackContacts notes that these engines are polled from now on, and forgets all others.
func (n *Node) trackContacts(now int64, polls []Poll) {
	contacts := map[string]*contact{}
	for _, poll := range polls {
		tracked := n.contacts[poll.Engine]
		if tracked == nil {
			tracked = &contact{trackedSince: now}
		}
		contacts[poll.Engine] = tracked
	}
	n.contacts = contacts
}

// recordAnswer notes an engine's answer to a poll that was sent at time asked.
func (n *Node) recordAnswer(asked int64, engine string) {
	if contact := n.contacts[engine]; contact != nil {
		contact.answeredAt = max(contact.answeredAt, asked)
	}
}

// canServe reports whether the node does not say that it can't serve a role.
func (p *Peer) canServe(role string) bool {
	engine, is := strings.CutPrefix(role, engineRolePrefix)
	return !is || !p.ListStale && !slices.Contains(p.Silent, engine)
}

// reachedEngine reports whether the node reached the engine of a role a moment ago.
func (p *Peer) reachedEngine(role string) bool {
	engine, is := strings.CutPrefix(role, engineRolePrefix)
	return is && slices.Contains(p.Reached, engine)
}
