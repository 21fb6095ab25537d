package codec

import (
	"slices"

	"github.com/samber/lo"

	"violetthread/cacheindex"
	"violetthread/dispatch"
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
func ReadyIndexNodes(ns []*fb.NodeT, me string) (cs []index.Peer, in bool) {
	for _, n := range ns {
		if n.Role == "custodian" && n.Ready {
			in = in || n.Name == me
			cs = append(cs, index.Peer{Name: n.Name, Zone: n.Site, Addr: n.Addr, Roles: n.Duties,
				Reachability: index.Reachability{ListStale: n.ListStale, Silent: n.Silent, Reached: n.Reached}})
		}
	}
	return cs, in
}

// TellIndexNode adds what an index node's session says of its duties and engines.
func AddIndexNodeStatus(k *index.Node, now int64, n *fb.NodeT) *fb.NodeT {
	r := k.Reachability(now)
	n.Duties, n.ListStale, n.Silent, n.Reached = k.HeldRoles(now), r.ListStale, r.Silent, r.Reached
	return n
}

func key(n *fb.NewsT) cacheindex.Key { return cacheindex.Key{Hi: n.Hi, Lo: n.Lo, Check: n.Check} }

// Batch unpacks a feed's answer.
func UnpackBatch(t *fb.NewsTellT) cacheindex.UpdateBatch {
	return cacheindex.UpdateBatch{Incarnation: t.Inc, Next: t.Next, Reset: t.Reset, Updates: UnpackUpdates(t.News)}
}

// News unpacks hint news.
func UnpackUpdates(ns []*fb.NewsT) []cacheindex.Update {
	return lo.Map(ns, func(n *fb.NewsT, _ int) cacheindex.Update {
		return cacheindex.Update{Key: key(n), Node: n.Node, Op: cacheindex.UpdateOp(n.Op)}
	})
}

func packNews(ns []cacheindex.Update) []*fb.NewsT {
	return lo.Map(ns, func(n cacheindex.Update, _ int) *fb.NewsT {
		return &fb.NewsT{Hi: n.Key.Hi, Lo: n.Key.Lo, Check: n.Key.Check, Node: n.Node, Op: byte(n.Op)}
	})
}

// NewsTell answers another index node out of a keeper's feeds.
func AnswerUpdates(k *index.Node, q *fb.NewsAskT) *fb.NewsTellT {
	var b cacheindex.UpdateBatch
	var ps []index.HolderLocation
	switch q.Kind {
	case HoldingsFeed:
		b, ps = k.HoldingsFeed(q.From, q.Shards, q.Inc, q.Since)
	case PushFeed:
		b, ps = k.PrefetchFeed(q.Site, q.Inc, q.Since)
	default:
		b = k.ZoneFeed(q.Site, q.Inc, q.Since)
	}
	return &fb.NewsTellT{Inc: b.Incarnation, Next: b.Next, Reset: b.Reset, News: packNews(b.Updates),
		Places: lo.Map(ps, func(p index.HolderLocation, _ int) *fb.PlaceT {
			return &fb.PlaceT{Id: p.NodeID, Engine: p.Engine, Site: p.Zone, Store: p.Store}
		})}
}

// TakeHolds gives a keeper the answer of another's holds feed.
func ApplyHoldings(k *index.Node, now int64, from string, t *fb.NewsTellT) {
	k.ApplyHoldings(now, from, UnpackBatch(t), UnpackPlaces(t))
}

// Places unpacks where holders lie.
func UnpackPlaces(t *fb.NewsTellT) []index.HolderLocation {
	return lo.Map(t.Places, func(x *fb.PlaceT, _ int) index.HolderLocation {
		return index.HolderLocation{NodeID: x.Id, Engine: x.Engine, Zone: x.Site, Store: x.Store}
	})
}

// Orderer is a keeper, recorded or not.
type GrantSource interface {
	IssueGrants(now int64, a index.GrantRequest) []index.EngineGrant
	ProxyFeed(site string, inc, since uint64) (cacheindex.UpdateBatch, bool)
}

// RoomTell answers a proxy's agent out of a keeper.
func AnswerCapacity(k GrantSource, now int64, name string, q *fb.RoomAskT) *fb.RoomTellT {
	a := index.GrantRequest{Proxy: q.Proxy, Zone: q.Site, Demand: map[string]int{}, Active: int(q.Active)}
	for _, w := range q.Wants {
		a.Demand[w.Group] += int(w.N)
	}
	for _, i := range q.Imports {
		a.Transfers = append(a.Transfers, index.Transfer{AttemptID: i.Attempt, Engine: i.Engine, FromNode: i.Peer, TotalBlocks: int(i.Total),
			Blocks: lo.Map(i.Parts, func(n *fb.NewsT, _ int) cacheindex.Key { return key(n) })})
	}
	for _, s := range q.Seen {
		a.Outcomes = append(a.Outcomes, index.Outcomes{Engine: s.Engine, Failures: int(s.Problems), Successes: int(s.Dones)})
	}
	t := &fb.RoomTellT{Custodian: name}
	for _, o := range k.IssueGrants(now, a) {
		x := &fb.OrderT{Engine: o.Name, Addr: o.Addr, Site: o.Zone, Store: o.Store, Id: o.NodeID, Epoch: o.FencingToken, Room: uint32(o.Capacity),
			Weights: o.Weights, Queue: uint32(o.QueueLength), SlowUs: o.SlowUS, Age: o.Age}
		for _, p := range sortedPeers(o.TransferScores) {
			x.Grades = append(x.Grades, &fb.GradeT{Peer: p, Worth: uint32(o.TransferScores[p])})
		}
		t.Orders = append(t.Orders, x)
	}
	if b, ok := k.ProxyFeed(q.Site, q.NewsInc, q.NewsSince); ok {
		t.NewsFrom, t.NewsInc, t.NewsAt, t.NewsNext, t.NewsReset, t.News = true, b.Incarnation, q.NewsSince, b.Next, b.Reset, packNews(b.Updates)
	}
	return t
}

func sortedPeers(m map[uint64]int) []uint64 {
	ps := lo.Keys(m)
	slices.Sort(ps)
	return ps
}

// Orders unpacks standing orders; lag is added to the age of each.
func UnpackGrants(os []*fb.OrderT, lag int64) []dispatch.EngineGrant {
	return lo.Map(os, func(o *fb.OrderT, _ int) dispatch.EngineGrant {
		g := map[uint64]int{}
		for _, x := range o.Grades {
			g[x.Peer] = int(x.Worth)
		}
		return dispatch.EngineGrant{Engine: o.Engine, Addr: o.Addr, Zone: o.Site, Weights: o.Weights, Store: o.Store, NodeID: o.Id, FencingToken: o.Epoch,
			Capacity: int(o.Room), QueueLength: int(o.Queue), SlowUS: o.SlowUs, Age: o.Age + lag, TransferScores: g}
	})
}

// FeedAsk packs what a proxy's desk tells its agent.
func FillFeedRequest(d *dispatch.Dispatcher, q *fb.FeedAskT) *fb.FeedAskT {
	w, a := d.Demand()
	is, seen := d.TakeReport()
	q.Active = uint32(a)
	gs := lo.Keys(w)
	slices.Sort(gs)
	for _, g := range gs {
		q.Wants = append(q.Wants, &fb.WantT{Group: g, N: uint32(w[g])})
	}
	for _, i := range is {
		q.Imports = append(q.Imports, &fb.ImportT{Attempt: i.AttemptID, Engine: i.Engine, Peer: i.FromNode, Total: uint32(i.TotalBlocks),
			Parts: lo.Map(i.Blocks, func(k cacheindex.Key, _ int) *fb.NewsT { return &fb.NewsT{Hi: k.Hi, Lo: k.Lo, Check: k.Check} })})
	}
	ns := lo.Keys(seen)
	slices.Sort(ns)
	for _, n := range ns {
		s := seen[n]
		q.Seen = append(q.Seen, &fb.SeenT{Engine: n, Problems: uint32(s.Failures), Dones: uint32(s.Successes), FirstUs: s.StartUS})
	}
	return q
}

// Cursor is how far a proxy has read its site's hint news.
type Cursor struct{ Inc, Next uint64 }

// TakeNews applies a feed's news to a proxy's table, in order or not at all.
func ApplyUpdates(t *cacheindex.Table, c Cursor, f *fb.FeedTellT) Cursor {
	if f.NewsReset {
		t.Clear()
	} else if f.NewsInc != c.Inc || f.NewsAt != c.Next {
		return c
	}
	for _, n := range f.News {
		if cacheindex.UpdateOp(n.Op) == cacheindex.OpAdd {
			t.Put(key(n), n.Node)
		} else {
			t.Remove(key(n), n.Node)
		}
	}
	return Cursor{f.NewsInc, f.NewsNext}
}
