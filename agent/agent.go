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
	poll         fb.FeedAskT
	polledAt     int64
	polled       bool
	sources      map[string]*source
	cacheUpdates updateBatch
	relayTurn    int // of the index nodes that pass questions on
}

// source is what came from one index node.
type source struct {
	orders     []*fb.OrderT
	askedAt    int64 // the question's time, from which the orders' ages count
	engines    map[string]bool
	imports    []*fb.ImportT
	seen       []*fb.SeenT
	busy       bool
	relayUntil int64 // asked through another index node until then
}

// news waits for the proxy to fetch it.
type updateBatch struct {
	incarnation, since, next uint64
	reset, present           bool
	updates                  []*fb.NewsT
}

// New makes the agent of the proxy of that name.
func New(name, site string) *Agent {
	return &Agent{name: name, zone: site, sources: map[string]*source{}}
}

// Feed answers the proxy with plan, orders and news, and takes its own in.
func (a *Agent) Poll(now int64, h *plan.Cached, era uint64, poll *fb.FeedAskT) *fb.FeedTellT {
	a.poll, a.polledAt, a.polled = *poll, now, true
	t := &fb.FeedTellT{Rev: h.Revision, Age: h.Age(now), Fresh: h.Known, Era: era}
	if h.Revision != poll.Have {
		t.Plan = h.Raw
	}
	for _, n := range a.names() {
		c := a.sources[n]
		for _, o := range c.orders {
			x := *o
			x.Age += now - c.askedAt
			t.Orders = append(t.Orders, &x)
		}
	}
	for _, i := range poll.Imports {
		if c := a.owner(i.Engine); c != nil {
			c.imports = append(c.imports, i)
		}
	}
	for _, s := range poll.Seen {
		if c := a.owner(s.Engine); c != nil {
			c.seen = append(c.seen, s)
		}
	}
	if n := a.cacheUpdates; n.present && (n.reset || n.incarnation == poll.NewsInc && n.since == poll.NewsSince) {
		t.NewsInc, t.NewsAt, t.NewsNext, t.NewsReset, t.News = n.incarnation, n.since, n.next, n.reset, n.updates
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
	Request              *fb.RoomAskT
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
		room := &fb.RoomAskT{Proxy: a.name, Site: a.zone, Wants: a.poll.Wants, Active: a.poll.Active,
			NewsInc: a.poll.NewsInc, NewsSince: a.poll.NewsSince, Imports: c.imports, Seen: c.seen}
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
func (a *Agent) HandleReply(query Query, asked int64, t *fb.RoomTellT) {
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
	c.orders, c.askedAt, c.engines = t.Orders, asked, map[string]bool{}
	for _, o := range t.Orders {
		c.engines[o.Engine] = true
	}
	if t.NewsFrom && (t.NewsReset || len(t.News) > 0 || t.NewsInc != query.Request.NewsInc) {
		a.cacheUpdates = updateBatch{t.NewsInc, t.NewsAt, t.NewsNext, t.NewsReset, true, t.News}
	}
}
