package index

import (
	"slices"

	"github.com/samber/lo"

	"violetthread/cacheindex"
)

// zoneFeed has the cache updates of a zone, gathered from the shard owners for the zone's
// proxies.
type zoneFeed struct {
	table   *cacheindex.Table
	log     *cacheindex.UpdateLog
	cursors map[string]*Cursor // by shard owner
}

// ServedZones lists the zones for whose proxies this node gathers cache updates, sorted. A
// zone is served by the first by name of its index nodes; a zone without any is assigned by
// rendezvous hashing.
func (n *Node) ServedZones() []string {
	serving := map[string]string{}
	for _, peer := range n.peers {
		if first := serving[peer.Zone]; first == "" || peer.Name < first {
			serving[peer.Zone] = peer.Name
		}
	}
	var served []string
	for _, zone := range n.knownZones() {
		server := serving[zone]
		if server == "" {
			server = n.highestScoringPeer(zone)
		}
		if server == n.name {
			served = append(served, zone)
		}
	}
	return served
}

// knownZones lists the zones of this node, the engines and the proxies, sorted.
func (n *Node) knownZones() []string {
	zones := map[string]bool{n.zone: true}
	for _, listed := range n.listed {
		zones[listed.Zone] = true
	}
	for _, proxy := range n.proxies {
		zones[proxy.zone] = true
	}
	names := lo.Keys(zones)
	slices.Sort(names)
	return names
}

// highestScoringPeer returns the peer with the highest rendezvous score for a name, "" if
// there are no peers.
func (n *Node) highestScoringPeer(name string) (first string) {
	var highest uint64
	for _, peer := range n.peers {
		if score := rendezvousScore(name, peer.Name); first == "" || score > highest {
			first, highest = peer.Name, score
		}
	}
	return first
}

// zoneFeed returns the feed of a zone, and creates it if needed.
func (n *Node) zoneFeed(zone string) *zoneFeed {
	feed := n.zones[zone]
	if feed == nil {
		feed = &zoneFeed{table: cacheindex.NewTable(zoneTableSize), cursors: map[string]*Cursor{}}
		feed.log = cacheindex.NewUpdateLog(n.incarnation, feedLogSize, feed.snapshot)
		n.zones[zone] = feed
	}
	return feed
}

func (f *zoneFeed) snapshot() []cacheindex.Update {
	var updates []cacheindex.Update
	f.table.Each(func(key cacheindex.Key, node uint64) {
		updates = append(updates, cacheindex.Update{Key: key, Node: node, Op: cacheindex.OpAdd})
	})
	return updates
}

// ZoneCursor returns this node's position in a shard owner's feed for a zone.
func (n *Node) ZoneCursor(zone, owner string) *Cursor {
	feed := n.zoneFeed(zone)
	cursor := feed.cursors[owner]
	if cursor == nil {
		cursor = &Cursor{}
		feed.cursors[owner] = cursor
	}
	return cursor
}

// ApplyZoneUpdates applies a batch from a shard owner's feed for a zone, and appends the
// effective changes to the feed for the zone's proxies. A reset batch replaces the hints of
// the given shards, which are those of the owner.
func (n *Node) ApplyZoneUpdates(zone, owner string, shards []uint16, batch cacheindex.UpdateBatch) {
	feed := n.zoneFeed(zone)
	if batch.Reset {
		for _, update := range feed.removalsOfMissing(shards, batch.Updates) {
			n.applyZoneUpdate(feed, update)
		}
	}
	for _, update := range batch.Updates {
		n.applyZoneUpdate(feed, update)
	}
	*n.ZoneCursor(zone, owner) = Cursor{batch.Incarnation, batch.Next}
}

// removalsOfMissing returns removals for the hints of the given shards whose keys are not
// among the updates.
func (f *zoneFeed) removalsOfMissing(shards []uint16, updates []cacheindex.Update) []cacheindex.Update {
	listed := map[cacheindex.Key]bool{}
	for _, update := range updates {
		listed[update.Key] = true
	}
	var removals []cacheindex.Update
	f.table.Each(func(key cacheindex.Key, node uint64) {
		if slices.Contains(shards, uint16(key.Shard(Shards))) && !listed[key] {
			removals = append(removals, cacheindex.Update{Key: key, Node: node, Op: cacheindex.OpRemove})
		}
	})
	return removals
}

func (n *Node) applyZoneUpdate(feed *zoneFeed, update cacheindex.Update) {
	if update.Op == cacheindex.OpAdd {
		if hinted, found := feed.table.Get(update.Key); found && hinted == update.Node {
			return
		}
		feed.table.Put(update.Key, update.Node)
	} else if !feed.table.Remove(update.Key, update.Node) {
		return
	}
	feed.log.Append(update)
	n.Counters.UpdatesQueued++
}

// ProxyFeed returns the next updates for a proxy that follows its zone's hints. It returns
// false if this node does not serve the zone.
func (n *Node) ProxyFeed(zone string, incarnation, since uint64) (cacheindex.UpdateBatch, bool) {
	if !slices.Contains(n.ServedZones(), zone) {
		return cacheindex.UpdateBatch{}, false
	}
	return n.zoneFeed(zone).log.Since(incarnation, since, feedBatchSize), true
}
