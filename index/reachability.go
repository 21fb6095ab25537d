package index

import (
	"slices"
	"strings"
)

// Time limits of what this node reports on the reachability of engines, in microseconds.
const (
	// silentAfter is how long a polled engine may go without an answer before this node
	// reports that it can't serve the engine.
	silentAfter = 1_000_000
	// reachedFor is how long an answer counts as proof that an engine is reachable.
	reachedFor = 500_000
	// maxListingAge is the age of the platform's list beyond which this node reports that it
	// can serve no engine: its grants are at least as old as the list.
	maxListingAge = 1_000_000
)

// Reachability is an index node's report on which engines it reaches. In a partial network
// partition, the owner of an engine may be the only node that can't serve it. The other nodes
// see that in this report, and one of them takes the engine over (docs/design.md §10).
// Recordings store it under the names in the tags.
type Reachability struct {
	// ListStale reports that this node's copy of the platform's list is too old to issue grants.
	ListStale bool `json:"ListStale"`
	// Silent lists polled engines that have not answered within silentAfter.
	Silent []string `json:"Silent"`
	// Reached lists engines of other owners that answered within reachedFor.
	Reached []string `json:"Reached"`
}

// contact tracks the answers of an engine to this node's polls.
type contact struct {
	trackedSince int64 // polled since then
	answeredAt   int64 // when the latest answered poll was sent, 0 for never
}

func (c *contact) isSilent(now int64) bool {
	return now-max(c.trackedSince, c.answeredAt) > silentAfter
}

func (c *contact) isReached(now int64) bool {
	return c.answeredAt > 0 && now-c.answeredAt <= reachedFor
}

// Reachability returns which engines this node can't serve, and which engines of other owners
// it could serve.
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

// probeTargets returns the engines that this node polls even if other nodes own them: those
// that another node reports it can't serve, and those that are silent to this node, until they
// answer.
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
			if name, ok := strings.CutPrefix(role, engineRolePrefix); ok {
				targets[name] = true
			}
		}
	}
	return targets
}

// trackContacts keeps contacts for exactly the polled engines, and creates those that are
// missing.
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

// recordAnswer records an engine's answer to a poll that was sent at time askedAt.
func (n *Node) recordAnswer(askedAt int64, engine string) {
	if contact := n.contacts[engine]; contact != nil {
		contact.answeredAt = max(contact.answeredAt, askedAt)
	}
}

// canServe reports whether the node may hold a role: it has not reported that it can't serve
// the role's engine.
func (p *Peer) canServe(role string) bool {
	engine, ok := strings.CutPrefix(role, engineRolePrefix)
	return !ok || !p.ListStale && !slices.Contains(p.Silent, engine)
}

// reachedEngine reports whether the node has reported a recent answer of the role's engine,
// which another node owns.
func (p *Peer) reachedEngine(role string) bool {
	engine, ok := strings.CutPrefix(role, engineRolePrefix)
	return ok && slices.Contains(p.Reached, engine)
}
