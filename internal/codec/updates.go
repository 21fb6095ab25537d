package codec

import (
	"github.com/samber/lo"

	"violetthread/cacheindex"
	"violetthread/index"
	"violetthread/membership"
	"violetthread/schema/fb"
)

// Feeds of cache updates that index nodes read from each other: the values of
// fb.UpdatesRequestT.Feed.
const (
	HoldingsFeed = 1 // blocks of the reader's shards that are cached by engines which the serving node owns
	ZoneFeed     = 2 // cache updates for the reader's zone
	PrefetchFeed = 3 // blocks to prefetch into the reader's zone
)

// Cursor is the position of a reader in a feed.
type Cursor struct {
	Incarnation uint64 // of the feed's source
	Next        uint64 // number of the next update to read
}

// ReadyIndexNodes returns the index nodes among the members that are ready, and reports
// whether the node named self is one of them.
func ReadyIndexNodes(members []*fb.NodeT, self string) (peers []index.Peer, included bool) {
	for _, n := range members {
		if n.Role != membership.RoleIndexNode || !n.Ready {
			continue
		}
		included = included || n.Name == self
		peers = append(peers, index.Peer{
			Name:         n.Name,
			Zone:         n.Zone,
			Addr:         n.Addr,
			Roles:        n.LeasedRoles,
			Reachability: index.Reachability{ListStale: n.ListStale, Silent: n.Unreachable, Reached: n.Reached},
		})
	}
	return peers, included
}

// AddIndexNodeStatus adds the leased roles of an index node and its view of which engines are
// reachable to its session, and returns the session. now is in microseconds.
func AddIndexNodeStatus(node *index.Node, now int64, session *fb.NodeT) *fb.NodeT {
	reach := node.Reachability(now)
	session.LeasedRoles = node.HeldRoles(now)
	session.ListStale, session.Unreachable, session.Reached = reach.ListStale, reach.Silent, reach.Reached
	return session
}

// AnswerUpdates returns the response to another index node's request for a feed.
func AnswerUpdates(node *index.Node, q *fb.UpdatesRequestT) *fb.UpdatesResponseT {
	var batch cacheindex.UpdateBatch
	var locations []index.HolderLocation
	switch q.Feed {
	case HoldingsFeed:
		batch, locations = node.HoldingsFeed(q.From, q.Shards, q.Incarnation, q.Since)
	case PrefetchFeed:
		batch, locations = node.PrefetchFeed(q.Zone, q.Incarnation, q.Since)
	default:
		batch = node.ZoneFeed(q.Zone, q.Incarnation, q.Since)
	}
	return &fb.UpdatesResponseT{
		Incarnation: batch.Incarnation,
		Next:        batch.Next,
		Reset:       batch.Reset,
		Updates:     packUpdates(batch.Updates),
		Locations: lo.Map(locations, func(l index.HolderLocation, _ int) *fb.HolderLocationT {
			return &fb.HolderLocationT{Id: l.NodeID, Engine: l.Engine, Zone: l.Zone, Store: l.Store}
		}),
	}
}

// ApplyHoldings applies a response of another node's holdings feed. now is in microseconds.
func ApplyHoldings(node *index.Node, now int64, from string, t *fb.UpdatesResponseT) {
	node.ApplyHoldings(now, from, UnpackBatch(t), UnpackLocations(t))
}

// ApplyUpdates applies the updates in a response of a gateway's agent to the gateway's hint
// table, and returns the new cursor. A reset replaces the whole table; other updates are
// ignored unless they start at the cursor.
func ApplyUpdates(table *cacheindex.Table, cursor Cursor, t *fb.FeedResponseT) Cursor {
	if t.UpdatesReset {
		table.Clear()
	} else if t.UpdatesIncarnation != cursor.Incarnation || t.UpdatesSince != cursor.Next {
		return cursor
	}
	for _, u := range t.Updates {
		if cacheindex.UpdateOp(u.Op) == cacheindex.OpAdd {
			table.Put(unpackKey(u), u.Holder)
		} else {
			table.Remove(unpackKey(u), u.Holder)
		}
	}
	return Cursor{t.UpdatesIncarnation, t.UpdatesNext}
}

// UnpackBatch returns the update batch in a feed's response.
func UnpackBatch(t *fb.UpdatesResponseT) cacheindex.UpdateBatch {
	return cacheindex.UpdateBatch{Incarnation: t.Incarnation, Next: t.Next, Reset: t.Reset, Updates: UnpackUpdates(t.Updates)}
}

// UnpackUpdates converts tables to cache updates.
func UnpackUpdates(updates []*fb.CacheUpdateT) []cacheindex.Update {
	return lo.Map(updates, func(u *fb.CacheUpdateT, _ int) cacheindex.Update {
		return UnpackUpdate(u)
	})
}

// UnpackUpdate converts a table to a cache update.
func UnpackUpdate(t *fb.CacheUpdateT) cacheindex.Update {
	return cacheindex.Update{Key: unpackKey(t), Node: t.Holder, Op: cacheindex.UpdateOp(t.Op)}
}

// PackUpdate converts a cache update to its table.
func PackUpdate(u cacheindex.Update) *fb.CacheUpdateT {
	t := packKey(u.Key)
	t.Holder, t.Op = u.Node, byte(u.Op)
	return t
}

// UnpackLocations returns the locations of block holders in a feed's response.
func UnpackLocations(t *fb.UpdatesResponseT) []index.HolderLocation {
	return lo.Map(t.Locations, func(l *fb.HolderLocationT, _ int) index.HolderLocation {
		return index.HolderLocation{NodeID: l.Id, Engine: l.Engine, Zone: l.Zone, Store: l.Store}
	})
}

func packUpdates(updates []cacheindex.Update) []*fb.CacheUpdateT {
	return lo.Map(updates, func(u cacheindex.Update, _ int) *fb.CacheUpdateT {
		return PackUpdate(u)
	})
}

func packKey(k cacheindex.Key) *fb.CacheUpdateT {
	return &fb.CacheUpdateT{Hi: k.Hi, Lo: k.Lo, Check: k.Check}
}

func unpackKey(t *fb.CacheUpdateT) cacheindex.Key {
	return cacheindex.Key{Hi: t.Hi, Lo: t.Lo, Check: t.Check}
}
