package index

import (
	"slices"
	"sort"
	"strings"
)

// Bounds in microseconds on what this node says of its way to engines.
const (
	// silentAfter is how long an engine that is asked may stay without an answer
	// before this node says that it can't serve it.
	silentAfter = 1_000_000
	// reachedFor is how long an answer counts as proof that an engine is in reach.
	reachedFor = 500_000
	// listStale is the age of the platform's list beyond which this node says that
	// it can serve no engine: its orders are as old as the list.
	maxListingAge = 1_000_000
)

// Reach is what an index node says of its way to engines. With a part of the network
// lost, the owner of an engine may be the one node that can't serve it; the others
// learn it from here and one of them takes the engine over (design §10).
type Reachability struct {
	// ListStale: the platform's list is too old here to give any order by.
	ListStale bool `json:"ListStale"`
	// Silent are engines that were asked and have not answered for a while.
	Silent []string `json:"Silent"`
	// Reached are engines of other owners that answered a moment ago.
	Reached []string `json:"Reached"`
}

// contact is how an engine answers this node.
type contact struct {
	trackedSince int64 // asked since then
	answeredAt   int64 // when the newest answered question was asked, 0 for never
}

func (c *contact) isSilent(now int64) bool {
	return now-max(c.trackedSince, c.answeredAt) > silentAfter
}

func (c *contact) isReached(now int64) bool {
	return c.answeredAt > 0 && now-c.answeredAt <= reachedFor
}

// Reach says which engines this node can't serve, and which of the others' it could.
func (k *Node) Reachability(now int64) Reachability {
	r := Reachability{ListStale: now-k.listedAt > maxListingAge}
	for name, c := range k.contacts {
		if c.isSilent(now) {
			r.Silent = append(r.Silent, name)
		}
		if _, own := k.HoldsLease(now, EngineRole(name)); !own && !r.ListStale && c.isReached(now) {
			r.Reached = append(r.Reached, name)
		}
	}
	sort.Strings(r.Silent)
	sort.Strings(r.Reached)
	return r
}

// probes lists the engines of others that this node asks as well: those that another
// node can't serve, and those that stayed silent here, until they answer.
func (k *Node) probeTargets(now int64) map[string]bool {
	wanted := map[string]bool{}
	for name, c := range k.contacts {
		if c.isSilent(now) {
			wanted[name] = true
		}
	}
	for _, p := range k.peers {
		if p.Name == k.name {
			continue
		}
		for _, name := range p.Silent {
			wanted[name] = true
		}
		if !p.ListStale {
			continue
		}
		for _, d := range p.Roles {
			if name, is := strings.CutPrefix(d, engineRolePrefix); is {
				wanted[name] = true
			}
		}
	}
	return wanted
}

// asked notes that these engines are asked from now on, and forgets all others.
func (k *Node) trackContacts(now int64, polls []Poll) {
	contacts := map[string]*contact{}
	for _, p := range polls {
		c := k.contacts[p.Engine]
		if c == nil {
			c = &contact{trackedSince: now}
		}
		contacts[p.Engine] = c
	}
	k.contacts = contacts
}

// answered notes an engine's answer to a question of time asked.
func (k *Node) recordAnswer(asked int64, engine string) {
	if c := k.contacts[engine]; c != nil {
		c.answeredAt = max(c.answeredAt, asked)
	}
}

// able reports whether an index node does not say that it can't serve a duty.
func (c *Peer) canServe(duty string) bool {
	name, is := strings.CutPrefix(duty, engineRolePrefix)
	return !is || !c.ListStale && !slices.Contains(c.Silent, name)
}

// proven reports whether an index node reached the engine of a duty a moment ago.
func (c *Peer) reachedEngine(duty string) bool {
	name, is := strings.CutPrefix(duty, engineRolePrefix)
	return is && slices.Contains(c.Reached, name)
}
