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
	listStale = 1_000_000
)

// Reach is what an index node says of its way to engines. With a part of the network
// lost, the owner of an engine may be the one node that can't serve it; the others
// learn it from here and one of them takes the engine over (design §10).
type Reach struct {
	// ListStale: the platform's list is too old here to give any order by.
	ListStale bool `json:"ListStale"`
	// Silent are engines that were asked and have not answered for a while.
	Silent []string `json:"Silent"`
	// Reached are engines of other owners that answered a moment ago.
	Reached []string `json:"Reached"`
}

// contact is how an engine answers this node.
type contact struct {
	since int64 // asked since then
	heard int64 // when the newest answered question was asked, 0 for never
}

func (c *contact) silent(now int64) bool { return now-max(c.since, c.heard) > silentAfter }

func (c *contact) reached(now int64) bool { return c.heard > 0 && now-c.heard <= reachedFor }

// Reach says which engines this node can't serve, and which of the others' it could.
func (k *Keeper) Reach(now int64) Reach {
	r := Reach{ListStale: now-k.listAt > listStale}
	for name, c := range k.contacts {
		if c.silent(now) {
			r.Silent = append(r.Silent, name)
		}
		if _, own := k.Holds(now, EngineDuty(name)); !own && !r.ListStale && c.reached(now) {
			r.Reached = append(r.Reached, name)
		}
	}
	sort.Strings(r.Silent)
	sort.Strings(r.Reached)
	return r
}

// probes lists the engines of others that this node asks as well: those that another
// node can't serve, and those that stayed silent here, until they answer.
func (k *Keeper) probes(now int64) map[string]bool {
	wanted := map[string]bool{}
	for name, c := range k.contacts {
		if c.silent(now) {
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
		for _, d := range p.Duties {
			if name, is := strings.CutPrefix(d, engineDutyPrefix); is {
				wanted[name] = true
			}
		}
	}
	return wanted
}

// asked notes that these engines are asked from now on, and forgets all others.
func (k *Keeper) asked(now int64, polls []Poll) {
	contacts := map[string]*contact{}
	for _, p := range polls {
		c := k.contacts[p.Engine]
		if c == nil {
			c = &contact{since: now}
		}
		contacts[p.Engine] = c
	}
	k.contacts = contacts
}

// answered notes an engine's answer to a question of time asked.
func (k *Keeper) answered(asked int64, engine string) {
	if c := k.contacts[engine]; c != nil {
		c.heard = max(c.heard, asked)
	}
}

// able reports whether an index node does not say that it can't serve a duty.
func (c *Custodian) able(duty string) bool {
	name, is := strings.CutPrefix(duty, engineDutyPrefix)
	return !is || !c.ListStale && !slices.Contains(c.Silent, name)
}

// proven reports whether an index node reached the engine of a duty a moment ago.
func (c *Custodian) proven(duty string) bool {
	name, is := strings.CutPrefix(duty, engineDutyPrefix)
	return is && slices.Contains(c.Reached, name)
}
