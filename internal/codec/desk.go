package codec

import (
	"slices"

	"github.com/samber/lo"

	"violetthread/dispatch"
	"violetthread/hint"
	"violetthread/index"
	"violetthread/schema/fb"
)

// The kinds of news feed between index nodes.
const (
	HoldingsFeed = 1
	ZoneFeed     = 2
	PushFeed     = 3
)

// Custodians picks the ready index nodes out of the members, and tells whether
// the one named me is among them.
func ReadyIndexNodes(ns []*fb.NodeT, me string) (cs []index.Custodian, in bool) {
	for _, n := range ns {
		if n.Role == "custodian" && n.Ready {
			in = in || n.Name == me
			cs = append(cs, index.Custodian{Name: n.Name, Site: n.Site, Addr: n.Addr, Duties: n.Duties,
				Reach: index.Reach{ListStale: n.ListStale, Silent: n.Silent, Reached: n.Reached}})
		}
	}
	return cs, in
}

// TellIndexNode adds what an index node's session says of its duties and engines.
func AddIndexNodeStatus(k *index.Keeper, now int64, n *fb.NodeT) *fb.NodeT {
	r := k.Reach(now)
	n.Duties, n.ListStale, n.Silent, n.Reached = k.Duties(now), r.ListStale, r.Silent, r.Reached
	return n
}

func key(n *fb.NewsT) hint.Key { return hint.Key{Hi: n.Hi, Lo: n.Lo, Check: n.Check} }

// Batch unpacks a feed's answer.
func UnpackBatch(t *fb.NewsTellT) hint.Batch {
	return hint.Batch{Inc: t.Inc, Next: t.Next, Reset: t.Reset, News: UnpackUpdates(t.News)}
}

// News unpacks hint news.
func UnpackUpdates(ns []*fb.NewsT) []hint.News {
	return lo.Map(ns, func(n *fb.NewsT, _ int) hint.News { return hint.News{Key: key(n), Node: n.Node, Op: hint.Op(n.Op)} })
}

func packNews(ns []hint.News) []*fb.NewsT {
	return lo.Map(ns, func(n hint.News, _ int) *fb.NewsT {
		return &fb.NewsT{Hi: n.Key.Hi, Lo: n.Key.Lo, Check: n.Key.Check, Node: n.Node, Op: byte(n.Op)}
	})
}

// NewsTell answers another index node out of a keeper's feeds.
func AnswerUpdates(k *index.Keeper, q *fb.NewsAskT) *fb.NewsTellT {
	var b hint.Batch
	var ps []index.Place
	switch q.Kind {
	case HoldingsFeed:
		b, ps = k.HoldsFeed(q.From, q.Shards, q.Inc, q.Since)
	case PushFeed:
		b, ps = k.PushFeed(q.Site, q.Inc, q.Since)
	default:
		b = k.SiteFeed(q.Site, q.Inc, q.Since)
	}
	return &fb.NewsTellT{Inc: b.Inc, Next: b.Next, Reset: b.Reset, News: packNews(b.News),
		Places: lo.Map(ps, func(p index.Place, _ int) *fb.PlaceT {
			return &fb.PlaceT{Id: p.ID, Engine: p.Engine, Site: p.Site, Store: p.Store}
		})}
}

// TakeHolds gives a keeper the answer of another's holds feed.
func ApplyHoldings(k *index.Keeper, now int64, from string, t *fb.NewsTellT) {
	k.HoldsNews(now, from, UnpackBatch(t), UnpackPlaces(t))
}

// Places unpacks where holders lie.
func UnpackPlaces(t *fb.NewsTellT) []index.Place {
	return lo.Map(t.Places, func(x *fb.PlaceT, _ int) index.Place {
		return index.Place{ID: x.Id, Engine: x.Engine, Site: x.Site, Store: x.Store}
	})
}

// Orderer is a keeper, recorded or not.
type GrantSource interface {
	Orders(now int64, a index.Ask) []index.Order
	ProxyFeed(site string, inc, since uint64) (hint.Batch, bool)
}

// RoomTell answers a proxy's agent out of a keeper.
func AnswerCapacity(k GrantSource, now int64, name string, q *fb.RoomAskT) *fb.RoomTellT {
	a := index.Ask{Proxy: q.Proxy, Site: q.Site, Want: map[string]int{}, Active: int(q.Active)}
	for _, w := range q.Wants {
		a.Want[w.Group] += int(w.N)
	}
	for _, i := range q.Imports {
		a.Imports = append(a.Imports, index.Import{Attempt: i.Attempt, Engine: i.Engine, Peer: i.Peer, Total: int(i.Total),
			Parts: lo.Map(i.Parts, func(n *fb.NewsT, _ int) hint.Key { return key(n) })})
	}
	for _, s := range q.Seen {
		a.Seen = append(a.Seen, index.Seen{Engine: s.Engine, Problems: int(s.Problems), Dones: int(s.Dones)})
	}
	t := &fb.RoomTellT{Custodian: name}
	for _, o := range k.Orders(now, a) {
		x := &fb.OrderT{Engine: o.Name, Addr: o.Addr, Site: o.Site, Store: o.Store, Id: o.ID, Epoch: o.Epoch, Room: uint32(o.Room),
			Weights: o.Weights, Queue: uint32(o.Queue), SlowUs: o.SlowUS, Age: o.Age}
		for _, p := range sortedPeers(o.Grades) {
			x.Grades = append(x.Grades, &fb.GradeT{Peer: p, Worth: uint32(o.Grades[p])})
		}
		t.Orders = append(t.Orders, x)
	}
	if b, ok := k.ProxyFeed(q.Site, q.NewsInc, q.NewsSince); ok {
		t.NewsFrom, t.NewsInc, t.NewsAt, t.NewsNext, t.NewsReset, t.News = true, b.Inc, q.NewsSince, b.Next, b.Reset, packNews(b.News)
	}
	return t
}

func sortedPeers(m map[uint64]int) []uint64 {
	ps := lo.Keys(m)
	slices.Sort(ps)
	return ps
}

// Orders unpacks standing orders; lag is added to the age of each.
func UnpackGrants(os []*fb.OrderT, lag int64) []dispatch.Order {
	return lo.Map(os, func(o *fb.OrderT, _ int) dispatch.Order {
		g := map[uint64]int{}
		for _, x := range o.Grades {
			g[x.Peer] = int(x.Worth)
		}
		return dispatch.Order{Engine: o.Engine, Addr: o.Addr, Site: o.Site, Weights: o.Weights, Store: o.Store, ID: o.Id, Epoch: o.Epoch,
			Room: int(o.Room), Queue: int(o.Queue), SlowUS: o.SlowUs, Age: o.Age + lag, Grades: g}
	})
}

// FeedAsk packs what a proxy's desk tells its agent.
func FillFeedRequest(d *dispatch.Desk, q *fb.FeedAskT) *fb.FeedAskT {
	w, a := d.Want()
	is, seen := d.Report()
	q.Active = uint32(a)
	gs := lo.Keys(w)
	slices.Sort(gs)
	for _, g := range gs {
		q.Wants = append(q.Wants, &fb.WantT{Group: g, N: uint32(w[g])})
	}
	for _, i := range is {
		q.Imports = append(q.Imports, &fb.ImportT{Attempt: i.Attempt, Engine: i.Engine, Peer: i.Peer, Total: uint32(i.Total),
			Parts: lo.Map(i.Parts, func(k hint.Key, _ int) *fb.NewsT { return &fb.NewsT{Hi: k.Hi, Lo: k.Lo, Check: k.Check} })})
	}
	ns := lo.Keys(seen)
	slices.Sort(ns)
	for _, n := range ns {
		s := seen[n]
		q.Seen = append(q.Seen, &fb.SeenT{Engine: n, Problems: uint32(s.Problems), Dones: uint32(s.Dones), FirstUs: s.FirstUS})
	}
	return q
}

// Cursor is how far a proxy has read its site's hint news.
type Cursor struct{ Inc, Next uint64 }

// TakeNews applies a feed's news to a proxy's table, in order or not at all.
func ApplyUpdates(t *hint.Table, c Cursor, f *fb.FeedTellT) Cursor {
	if f.NewsReset {
		t.Clear()
	} else if f.NewsInc != c.Inc || f.NewsAt != c.Next {
		return c
	}
	for _, n := range f.News {
		if hint.Op(n.Op) == hint.Load {
			t.Put(key(n), n.Node)
		} else {
			t.Drop(key(n), n.Node)
		}
	}
	return Cursor{f.NewsInc, f.NewsNext}
}
