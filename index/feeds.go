package index

import (
	"slices"

	"violetthread/cacheindex"
)

// Sizes of the feeds between index nodes and to proxies, in updates.
const (
	feedLogSize   = 1 << 14
	feedBatchSize = 4096
	zoneTableSize = 1 << 15 // entries in a zone's table
	feedSeqShift  = 40      // bits of a feed's incarnation that hold the node's; feedSeq is above them
)

// Cursor is a follower's position in a feed.
type Cursor struct{ Incarnation, Next uint64 }

// HolderLocation is the location of a node that has blocks cached.
type HolderLocation struct {
	NodeID       uint64 // of the engine's incarnation
	Engine, Zone string
	Store        bool
}

// holdingsFeed is the feed for one follower of which blocks of its shards are cached by the
// engines that this node owns.
type holdingsFeed struct {
	shards []uint16
	log    *cacheindex.UpdateLog
}

// HoldingsFeed returns the next updates for an owner of shards that follows the holdings of
// the engines that this node owns, and the locations of those engines.
func (n *Node) HoldingsFeed(follower string, shards []uint16, incarnation, since uint64) (cacheindex.UpdateBatch, []HolderLocation) {
	feed := n.followers[follower]
	if feed == nil || !slices.Equal(feed.shards, shards) {
		n.feedSeq++
		feed = &holdingsFeed{shards: slices.Clone(shards)}
		feedIncarnation := n.incarnation + uint64(n.feedSeq)<<feedSeqShift
		feed.log = cacheindex.NewUpdateLog(feedIncarnation, feedLogSize, func() []cacheindex.Update { return n.holdingsSnapshot(shards) })
		n.followers[follower] = feed
	}
	return feed.log.Since(incarnation, since, feedBatchSize), n.ownLocations()
}

func (n *Node) holdingsSnapshot(shards []uint16) []cacheindex.Update {
	var updates []cacheindex.Update
	for _, engine := range n.engines {
		for key := range engine.holdings {
			if slices.Contains(shards, uint16(key.Shard(Shards))) {
				updates = append(updates, cacheindex.Update{Key: key, Node: engine.nodeID, Op: cacheindex.OpAdd})
			}
		}
	}
	return updates
}

func (n *Node) ownLocations() []HolderLocation {
	var locations []HolderLocation
	for _, engine := range n.engines {
		if engine.nodeID != 0 {
			locations = append(locations, HolderLocation{NodeID: engine.nodeID, Engine: engine.Name, Zone: engine.Zone, Store: engine.Store})
		}
	}
	return locations
}

// HeldShards lists the shards whose leases this node holds now.
func (n *Node) HeldShards(now int64) []uint16 {
	var shards []uint16
	for shard := range Shards {
		if _, held := n.HoldsLease(now, ShardRole(shard)); held {
			shards = append(shards, uint16(shard))
		}
	}
	return shards
}

// ShardsOf lists the shards that a peer reports as held.
func ShardsOf(peer Peer) []uint16 {
	var shards []uint16
	for _, role := range peer.Roles {
		if shard, ok := shardOf(role); ok {
			shards = append(shards, uint16(shard))
		}
	}
	slices.Sort(shards)
	return shards
}

// HoldingsCursor returns this node's position in the holdings feed of another index node.
func (n *Node) HoldingsCursor(peer string) Cursor { return n.holdingsCursors[peer] }

// UpdatesSent returns the number of updates queued for followers, over all feeds.
func (n *Node) UpdatesSent() uint64 { return n.Counters.UpdatesQueued + n.directory.UpdatesSent() }

// ApplyHoldings applies a batch from the holdings feed of another index node, for the shards
// that this node holds.
func (n *Node) ApplyHoldings(now int64, peer string, batch cacheindex.UpdateBatch, locations []HolderLocation) {
	for _, location := range locations {
		n.setLocation(peer, location)
	}
	if batch.Reset {
		n.removeUnlisted(peer, batch.Updates, locations)
	}
	n.holdingsCursors[peer] = Cursor{batch.Incarnation, batch.Next}
	for _, update := range batch.Updates {
		if _, held := n.HoldsLease(now, ShardRole(update.Key.Shard(Shards))); held {
			n.directory.Apply(update)
		}
	}
}

func (n *Node) setLocation(peer string, location HolderLocation) {
	n.directory.SetLocation(location.NodeID, cacheindex.Location{Zone: location.Zone, Store: location.Store})
	n.locationSource[location.NodeID] = peer
	for id, other := range n.locations {
		if other.Engine == location.Engine && id != location.NodeID {
			delete(n.locations, id) // of an earlier incarnation
		}
	}
	n.locations[location.NodeID] = location
}

// removeUnlisted removes the holdings that a peer announced before it reset its feed, except
// for those that are among the updates.
func (n *Node) removeUnlisted(peer string, updates []cacheindex.Update, locations []HolderLocation) {
	located := map[uint64]bool{}
	for _, location := range locations {
		located[location.NodeID] = true
	}
	listed := map[cacheindex.Update]bool{}
	for _, update := range updates {
		listed[update] = true
	}
	n.directory.RemoveIf(func(key cacheindex.Key, node uint64) bool {
		ofPeer := located[node] || n.locationSource[node] == peer
		return ofPeer && !listed[cacheindex.Update{Key: key, Node: node, Op: cacheindex.OpAdd}]
	})
}

// ZoneFeed returns the next updates for the index node that serves a zone's proxies.
func (n *Node) ZoneFeed(zone string, incarnation, since uint64) cacheindex.UpdateBatch {
	return n.directory.ZoneLog(zone).Since(incarnation, since, feedBatchSize)
}
