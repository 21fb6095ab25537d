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
	proxyOld = 800_000
	// relayFor is how long an index node that did not answer is asked through another
	// one before it is asked directly again.
	relayFor = 3_000_000
)

// Agent is not safe for concurrent use.
type Agent struct {
	name, site string
	ask        fb.FeedAskT
	at         int64
	heard      bool
	cust       map[string]*source
	news       news
	turn       int // of the index nodes that pass questions on
}

// source is what came from one index node.
type source struct {
	orders  []*fb.OrderT
	at      int64 // the question's time, from which the orders' ages count
	engines map[string]bool
	imports []*fb.ImportT
	seen    []*fb.SeenT
	busy    bool
	relayed int64 // asked through another index node until then
}

// news waits for the proxy to fetch it.
type news struct {
	inc, at, next uint64
	reset, ok     bool
	items         []*fb.NewsT
}

// New makes the agent of the proxy of that name.
func New(name, site string) *Agent {
	return &Agent{name: name, site: site, cust: map[string]*source{}}
}

// Feed answers the proxy with plan, orders and news, and takes its own in.
func (g *Agent) Feed(now int64, h *plan.Cached, era uint64, a *fb.FeedAskT) *fb.FeedTellT {
	g.ask, g.at, g.heard = *a, now, true
	t := &fb.FeedTellT{Rev: h.Revision, Age: h.Age(now), Fresh: h.Known, Era: era}
	if h.Revision != a.Have {
		t.Plan = h.Raw
	}
	for _, n := range g.names() {
		c := g.cust[n]
		for _, o := range c.orders {
			x := *o
			x.Age += now - c.at
			t.Orders = append(t.Orders, &x)
		}
	}
	for _, i := range a.Imports {
		if c := g.owner(i.Engine); c != nil {
			c.imports = append(c.imports, i)
		}
	}
	for _, s := range a.Seen {
		if c := g.owner(s.Engine); c != nil {
			c.seen = append(c.seen, s)
		}
	}
	if n := g.news; n.ok && (n.reset || n.inc == a.NewsInc && n.at == a.NewsSince) {
		t.NewsInc, t.NewsAt, t.NewsNext, t.NewsReset, t.News = n.inc, n.at, n.next, n.reset, n.items
	}
	return t
}

func (g *Agent) names() []string {
	var ns []string
	for n := range g.cust {
		ns = append(ns, n)
	}
	sort.Strings(ns)
	return ns
}

func (g *Agent) owner(engine string) *source {
	for _, n := range g.names() {
		if g.cust[n].engines[engine] {
			return g.cust[n]
		}
	}
	return nil
}

// Ask is a question for the index node named Custodian, to be sent to the one named Via
// at Addr: the same one, or another that passes it on.
type Ask struct {
	Custodian, Via, Addr string
	Room                 *fb.RoomAskT
}

// Asks lists the questions to put now: one to each index node that has answered
// the last one, so that a slow one holds up nobody. Each must end in Told.
func (g *Agent) Asks(now int64, nodes []*fb.NodeT) []Ask {
	live := map[string]string{}
	for _, n := range nodes {
		if n.Role == "custodian" && n.Addr != "" {
			live[n.Name] = n.Addr
		}
	}
	for n, c := range g.cust {
		if live[n] == "" && !c.busy {
			delete(g.cust, n)
		}
	}
	if !g.heard || now-g.at > proxyOld {
		return nil // no proxy, no demand
	}
	for n := range live {
		if g.cust[n] == nil {
			g.cust[n] = &source{}
		}
	}
	var as []Ask
	for _, n := range g.names() {
		c := g.cust[n]
		if c.busy || live[n] == "" {
			continue
		}
		c.busy = true
		room := &fb.RoomAskT{Proxy: g.name, Site: g.site, Wants: g.ask.Wants, Active: g.ask.Active,
			NewsInc: g.ask.NewsInc, NewsSince: g.ask.NewsSince, Imports: c.imports, Seen: c.seen}
		via := g.via(now, n, live)
		if via != n {
			room.To = n
		}
		as = append(as, Ask{Custodian: n, Via: via, Addr: live[via], Room: room})
		c.imports, c.seen = nil, nil
	}
	return as
}

// via is the index node to send a question for another one to. With a part of the
// network lost, the owner of an engine may be out of reach of a proxy that reaches the
// engine itself; an order's age counts from before the question whatever its way.
func (g *Agent) via(now int64, name string, live map[string]string) string {
	if now >= g.cust[name].relayed {
		return name
	}
	var others []string
	for _, n := range g.names() {
		if n != name && live[n] != "" && now >= g.cust[n].relayed {
			others = append(others, n)
		}
	}
	if len(others) == 0 {
		return name
	}
	g.turn++
	return others[g.turn%len(others)]
}

// Told takes in the answer to a question asked at time asked; nil is none. What
// the question told may be lost then; hints and grades stand that.
func (g *Agent) Told(a Ask, asked int64, t *fb.RoomTellT) {
	c := g.cust[a.Custodian]
	if c == nil {
		return
	}
	c.busy = false
	if t == nil {
		if a.Via == a.Custodian {
			c.relayed = asked + relayFor
		}
		return
	}
	c.orders, c.at, c.engines = t.Orders, asked, map[string]bool{}
	for _, o := range t.Orders {
		c.engines[o.Engine] = true
	}
	if t.NewsFrom && (t.NewsReset || len(t.News) > 0 || t.NewsInc != a.Room.NewsInc) {
		g.news = news{t.NewsInc, t.NewsAt, t.NewsNext, t.NewsReset, true, t.News}
	}
}
