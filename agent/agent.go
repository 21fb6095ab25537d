// Package agent is the deciding part of the agent beside a proxy: it gathers
// orders and hint news from every index node and hands them on with their ages
// (design §3). It is pure.
package agent

import (
	"sort"

	"violetthread/plan"
	"violetthread/schema/fb"
)

// Bounds in microseconds.
const (
	// proxyOld is how long a proxy's last word counts as its demand.
	proxyTimeout = 800_000
	// relayFor is how long an index node that did not answer is asked through another
	// one before it is asked directly again.
	relayDuration = 3_000_000
)

// Agent is not safe for concurrent use.
type Agent struct {
	name, zone   string
	poll         fb.FeedRequestT
	polledAt     int64
	polled       bool
	sources      map[string]*source
	cacheUpdates updateBatch
	relayTurn    int // of the index nodes that pass questions on
}

// source is what came from one index node.
type source struct {
	orders     []*fb.GrantT
	askedAt    int64 // the question's time, from which the orders' ages count
	engines    map[string]bool
	imports    []*fb.TransferT
	seen       []*fb.OutcomesT
	busy       bool
	relayUntil int64 // asked through another index node until then
}

// news waits for the proxy to fetch it.
type updateBatch struct {
	incarnation, since, next uint64
	reset, present           bool
	updates                  []*fb.CacheUpdateT
}

// New makes the agent of the proxy of that name.
func New(name, site string) *Agent {
	return &Agent{name: name, zone: site, sources: map[string]*source{}}
}

// Feed answers the proxy with plan, orders and news, and takes its own in.
func (a *Agent) Poll(now int64, h *plan.Cached, era uint64, poll *fb.FeedRequestT) *fb.FeedResponseT {
	a.poll, a.polledAt, a.polled = *poll, now, true
	t := &fb.FeedResponseT{Revision: h.Revision, Age: h.Age(now), Confirmed: h.Known, Generation: era}
	if h.Revision != poll.HaveRevision {
		t.Plan = h.Raw
	}
	for _, n := range a.names() {
		c := a.sources[n]
		for _, o := range c.orders {
			x := *o
			x.Age += now - c.askedAt
			t.Grants = append(t.Grants, &x)
		}
	}
	for _, i := range poll.Transfers {
		if c := a.owner(i.Engine); c != nil {
			c.imports = append(c.imports, i)
		}
	}
	for _, s := range poll.Outcomes {
		if c := a.owner(s.Engine); c != nil {
			c.seen = append(c.seen, s)
		}
	}
	if n := a.cacheUpdates; n.present && (n.reset || n.incarnation == poll.UpdatesIncarnation && n.since == poll.UpdatesSince) {
		t.UpdatesIncarnation, t.UpdatesSince, t.UpdatesNext, t.UpdatesReset, t.Updates = n.incarnation, n.since, n.next, n.reset, n.updates
	}
	return t
}

func (a *Agent) names() []string {
	var ns []string
	for n := range a.sources {
		ns = append(ns, n)
	}
	sort.Strings(ns)
	return ns
}

func (a *Agent) owner(engine string) *source {
	for _, n := range a.names() {
		if a.sources[n].engines[engine] {
			return a.sources[n]
		}
	}
	return nil
}

// Ask is a question for the index node named Custodian, to be sent to the one named Via
// at Addr: the same one, or another that passes it on.
type Query struct {
	IndexNode, Via, Addr string
	Request              *fb.CapacityRequestT
}

// Asks lists the questions to put now: one to each index node that has answered
// the last one, so that a slow one holds up nobody. Each must end in Told.
func (a *Agent) Queries(now int64, nodes []*fb.NodeT) []Query {
	live := map[string]string{}
	for _, n := range nodes {
		if n.Role == "custodian" && n.Addr != "" {
			live[n.Name] = n.Addr
		}
	}
	for n, c := range a.sources {
		if live[n] == "" && !c.busy {
			delete(a.sources, n)
		}
	}
	if !a.polled || now-a.polledAt > proxyTimeout {
		return nil // no proxy, no demand
	}
	for n := range live {
		if a.sources[n] == nil {
			a.sources[n] = &source{}
		}
	}
	var queries []Query
	for _, n := range a.names() {
		c := a.sources[n]
		if c.busy || live[n] == "" {
			continue
		}
		c.busy = true
		room := &fb.CapacityRequestT{Proxy: a.name, Zone: a.zone, Demand: a.poll.Demand, Active: a.poll.Active,
			UpdatesIncarnation: a.poll.UpdatesIncarnation, UpdatesSince: a.poll.UpdatesSince, Transfers: c.imports, Outcomes: c.seen}
		via := a.via(now, n, live)
		if via != n {
			room.To = n
		}
		queries = append(queries, Query{IndexNode: n, Via: via, Addr: live[via], Request: room})
		c.imports, c.seen = nil, nil
	}
	return queries
}

// via is the index node to send a question for another one to. With a part of the
// network lost, the owner of an engine may be out of reach of a proxy that reaches the
// engine itself; an order's age counts from before the question whatever its way.
func (a *Agent) via(now int64, name string, live map[string]string) string {
	if now >= a.sources[name].relayUntil {
		return name
	}
	var others []string
	for _, n := range a.names() {
		if n != name && live[n] != "" && now >= a.sources[n].relayUntil {
			others = append(others, n)
		}
	}
	if len(others) == 0 {
		return name
	}
	a.relayTurn++
	return others[a.relayTurn%len(others)]
}

// Told takes in the answer to a question asked at time asked; nil is none. What
// the question told may be lost then; hints and grades stand that.
func (a *Agent) HandleResponse(query Query, asked int64, t *fb.CapacityResponseT) {
	c := a.sources[query.IndexNode]
	if c == nil {
		return
	}
	c.busy = false
	if t == nil {
		if query.Via == query.IndexNode {
			c.relayUntil = asked + relayDuration
		}
		return
	}
	c.orders, c.askedAt, c.engines = t.Grants, asked, map[string]bool{}
	for _, o := range t.Grants {
		c.engines[o.Engine] = true
	}
	if t.HasUpdates && (t.UpdatesReset || len(t.Updates) > 0 || t.UpdatesIncarnation != query.Request.UpdatesIncarnation) {
		a.cacheUpdates = updateBatch{t.UpdatesIncarnation, t.UpdatesSince, t.UpdatesNext, t.UpdatesReset, true, t.Updates}
	}
}
