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
	PrefetchFeed = 3
)

// Custodians picks the ready index nodes out of the members, and tells whether
// the one named me is among them.
func ReadyIndexNodes(ns []*fb.NodeT, me string) (cs []index.Peer, in bool) {
	for _, n := range ns {
		if n.Role == RoleIndexNode && n.Ready {
			in = in || n.Name == me
			cs = append(cs, index.Peer{Name: n.Name, Zone: n.Zone, Addr: n.Addr, Roles: n.LeasedRoles,
				Reachability: index.Reachability{ListStale: n.ListStale, Silent: n.Unreachable, Reached: n.Reached}})
		}
	}
	return cs, in
}

// TellIndexNode adds what an index node's session says of its duties and engines.
func AddIndexNodeStatus(k *index.Node, now int64, n *fb.NodeT) *fb.NodeT {
	r := k.Reachability(now)
	n.LeasedRoles, n.ListStale, n.Unreachable, n.Reached = k.HeldRoles(now), r.ListStale, r.Silent, r.Reached
	return n
}

func key(n *fb.CacheUpdateT) cacheindex.Key {
	return cacheindex.Key{Hi: n.Hi, Lo: n.Lo, Check: n.Check}
}

// Batch unpacks a feed's answer.
func UnpackBatch(t *fb.UpdatesResponseT) cacheindex.UpdateBatch {
	return cacheindex.UpdateBatch{Incarnation: t.Incarnation, Next: t.Next, Reset: t.Reset, Updates: UnpackUpdates(t.Updates)}
}

// News unpacks hint news.
func UnpackUpdates(ns []*fb.CacheUpdateT) []cacheindex.Update {
	return lo.Map(ns, func(n *fb.CacheUpdateT, _ int) cacheindex.Update {
		return cacheindex.Update{Key: key(n), Node: n.Holder, Op: cacheindex.UpdateOp(n.Op)}
	})
}

func packNews(ns []cacheindex.Update) []*fb.CacheUpdateT {
	return lo.Map(ns, func(n cacheindex.Update, _ int) *fb.CacheUpdateT {
		return &fb.CacheUpdateT{Hi: n.Key.Hi, Lo: n.Key.Lo, Check: n.Key.Check, Holder: n.Node, Op: byte(n.Op)}
	})
}

// NewsTell answers another index node out of a keeper's feeds.
func AnswerUpdates(k *index.Node, q *fb.UpdatesRequestT) *fb.UpdatesResponseT {
	var b cacheindex.UpdateBatch
	var ps []index.HolderLocation
	switch q.Feed {
	case HoldingsFeed:
		b, ps = k.HoldingsFeed(q.From, q.Shards, q.Incarnation, q.Since)
	case PrefetchFeed:
		b, ps = k.PrefetchFeed(q.Zone, q.Incarnation, q.Since)
	default:
		b = k.ZoneFeed(q.Zone, q.Incarnation, q.Since)
	}
	return &fb.UpdatesResponseT{Incarnation: b.Incarnation, Next: b.Next, Reset: b.Reset, Updates: packNews(b.Updates),
		Locations: lo.Map(ps, func(p index.HolderLocation, _ int) *fb.HolderLocationT {
			return &fb.HolderLocationT{Id: p.NodeID, Engine: p.Engine, Zone: p.Zone, Store: p.Store}
		})}
}

// TakeHolds gives a keeper the answer of another's holds feed.
func ApplyHoldings(k *index.Node, now int64, from string, t *fb.UpdatesResponseT) {
	k.ApplyHoldings(now, from, UnpackBatch(t), UnpackLocations(t))
}

// Places unpacks where holders lie.
func UnpackLocations(t *fb.UpdatesResponseT) []index.HolderLocation {
	return lo.Map(t.Locations, func(x *fb.HolderLocationT, _ int) index.HolderLocation {
		return index.HolderLocation{NodeID: x.Id, Engine: x.Engine, Zone: x.Zone, Store: x.Store}
	})
}

// Orderer is a keeper, recorded or not.
type GrantSource interface {
	IssueGrants(now int64, a index.GrantRequest) []index.EngineGrant
	ProxyFeed(site string, inc, since uint64) (cacheindex.UpdateBatch, bool)
}

// RoomTell answers a proxy's agent out of a keeper.
func AnswerCapacity(k GrantSource, now int64, name string, q *fb.CapacityRequestT) *fb.CapacityResponseT {
	a := index.GrantRequest{Proxy: q.Proxy, Zone: q.Zone, Demand: map[string]int{}, Active: int(q.Active)}
	for _, w := range q.Demand {
		a.Demand[w.Group] += int(w.Requests)
	}
	for _, i := range q.Transfers {
		a.Transfers = append(a.Transfers, index.Transfer{AttemptID: i.Attempt, Engine: i.Engine, FromNode: i.FromNode, TotalBlocks: int(i.Total),
			Blocks: lo.Map(i.Blocks, func(n *fb.CacheUpdateT, _ int) cacheindex.Key { return key(n) })})
	}
	for _, s := range q.Outcomes {
		a.Outcomes = append(a.Outcomes, index.Outcomes{Engine: s.Engine, Failures: int(s.Failures), Successes: int(s.Successes)})
	}
	t := &fb.CapacityResponseT{IndexNode: name}
	for _, o := range k.IssueGrants(now, a) {
		x := &fb.GrantT{Engine: o.Name, Addr: o.Addr, Zone: o.Zone, Store: o.Store, NodeId: o.NodeID, FencingToken: o.FencingToken, Capacity: uint32(o.Capacity),
			Weights: o.Weights, Queue: uint32(o.QueueLength), SlowUs: o.SlowUS, Age: o.Age}
		for _, p := range sortedPeers(o.TransferScores) {
			x.TransferScores = append(x.TransferScores, &fb.TransferScoreT{Peer: p, Permille: uint32(o.TransferScores[p])})
		}
		t.Grants = append(t.Grants, x)
	}
	if b, ok := k.ProxyFeed(q.Zone, q.UpdatesIncarnation, q.UpdatesSince); ok {
		t.HasUpdates, t.UpdatesIncarnation, t.UpdatesSince, t.UpdatesNext, t.UpdatesReset, t.Updates = true, b.Incarnation, q.UpdatesSince, b.Next, b.Reset, packNews(b.Updates)
	}
	return t
}

func sortedPeers(m map[uint64]int) []uint64 {
	ps := lo.Keys(m)
	slices.Sort(ps)
	return ps
}

// Orders unpacks standing orders; lag is added to the age of each.
func UnpackGrants(os []*fb.GrantT, lag int64) []dispatch.EngineGrant {
	return lo.Map(os, func(o *fb.GrantT, _ int) dispatch.EngineGrant {
		g := map[uint64]int{}
		for _, x := range o.TransferScores {
			g[x.Peer] = int(x.Permille)
		}
		return dispatch.EngineGrant{Engine: o.Engine, Addr: o.Addr, Zone: o.Zone, Weights: o.Weights, Store: o.Store, NodeID: o.NodeId, FencingToken: o.FencingToken,
			Capacity: int(o.Capacity), QueueLength: int(o.Queue), SlowUS: o.SlowUs, Age: o.Age + lag, TransferScores: g}
	})
}

// FeedAsk packs what a proxy's desk tells its agent.
func FillFeedRequest(d *dispatch.Dispatcher, q *fb.FeedRequestT) *fb.FeedRequestT {
	w, a := d.Demand()
	is, seen := d.TakeReport()
	q.Active = uint32(a)
	gs := lo.Keys(w)
	slices.Sort(gs)
	for _, g := range gs {
		q.Demand = append(q.Demand, &fb.DemandT{Group: g, Requests: uint32(w[g])})
	}
	for _, i := range is {
		q.Transfers = append(q.Transfers, &fb.TransferT{Attempt: i.AttemptID, Engine: i.Engine, FromNode: i.FromNode, Total: uint32(i.TotalBlocks),
			Blocks: lo.Map(i.Blocks, func(k cacheindex.Key, _ int) *fb.CacheUpdateT {
				return &fb.CacheUpdateT{Hi: k.Hi, Lo: k.Lo, Check: k.Check}
			})})
	}
	ns := lo.Keys(seen)
	slices.Sort(ns)
	for _, n := range ns {
		s := seen[n]
		q.Outcomes = append(q.Outcomes, &fb.OutcomesT{Engine: n, Failures: uint32(s.Failures), Successes: uint32(s.Successes), StartUs: s.StartUS})
	}
	return q
}

// Cursor is how far a proxy has read its site's hint news.
type Cursor struct{ Incarnation, Next uint64 }

// TakeNews applies a feed's news to a proxy's table, in order or not at all.
func ApplyUpdates(t *cacheindex.Table, c Cursor, f *fb.FeedResponseT) Cursor {
	if f.UpdatesReset {
		t.Clear()
	} else if f.UpdatesIncarnation != c.Incarnation || f.UpdatesSince != c.Next {
		return c
	}
	for _, n := range f.Updates {
		if cacheindex.UpdateOp(n.Op) == cacheindex.OpAdd {
			t.Put(key(n), n.Holder)
		} else {
			t.Remove(key(n), n.Holder)
		}
	}
	return Cursor{f.UpdatesIncarnation, f.UpdatesNext}
}
