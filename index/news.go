package index

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"violetthread/cacheindex"
)

type holdingsFollower struct {
	shards []uint16
	log    *cacheindex.UpdateLog
}

type zoneIndex struct {
	table   *cacheindex.Table
	log     *cacheindex.UpdateLog
	cursors map[string]*Cursor
}

// Cursor is how far a follower has read a feed.
type Cursor struct{ Incarnation, Next uint64 }

// HoldsFeed answers a shard's owner that follows what engines owned here keep.
func (k *Node) HoldingsFeed(from string, shards []uint16, inc, since uint64) (cacheindex.UpdateBatch, []HolderLocation) {
	f := k.holdingsFollowers[from]
	if f == nil || !slices.Equal(f.shards, shards) {
		k.feedSeq++
		f = &holdingsFollower{shards: slices.Clone(shards)}
		f.log = cacheindex.NewUpdateLog(k.incarnation+uint64(k.feedSeq)<<40, 1<<14, func() []cacheindex.Update {
			var ns []cacheindex.Update
			for _, e := range k.engines {
				for p := range e.holdings {
					if slices.Contains(shards, uint16(p.Shard(Shards))) {
						ns = append(ns, cacheindex.Update{Key: p, Node: e.nodeID, Op: cacheindex.OpAdd})
					}
				}
			}
			return ns
		})
		k.holdingsFollowers[from] = f
	}
	return f.log.Since(inc, since, 4096), k.ownLocations()
}

// Place tells where a holder lies.
type HolderLocation struct {
	NodeID       uint64
	Engine, Zone string
	Store        bool
}

func (k *Node) ownLocations() []HolderLocation {
	var ps []HolderLocation
	for _, e := range k.engines {
		if e.nodeID != 0 {
			ps = append(ps, HolderLocation{e.nodeID, e.Name, e.Zone, e.Store})
		}
	}
	return ps
}

// MyShards lists the shards held now.
func (k *Node) HeldShards(now int64) []uint16 {
	var ss []uint16
	for i := 0; i < Shards; i++ {
		if _, ok := k.HoldsLease(now, ShardRole(i)); ok {
			ss = append(ss, uint16(i))
		}
	}
	return ss
}

// HoldsCursor is how far another custodian's feed was read.
func (k *Node) HoldingsCursor(from string) Cursor { return k.holdingsCursors[from] }

// NewsSent counts the news queued for followers, all feeds together.
func (k *Node) UpdatesSent() uint64 { return k.Counters.UpdatesQueued + k.directory.UpdatesSent() }

// HoldsNews takes in what another custodian's engines keep of my shards.
func (k *Node) ApplyHoldings(now int64, from string, b cacheindex.UpdateBatch, ps []HolderLocation) {
	for _, p := range ps {
		k.directory.SetLocation(p.NodeID, cacheindex.Location{Zone: p.Zone, Store: p.Store})
		k.locationSource[p.NodeID] = from
		for id, o := range k.locations {
			if o.Engine == p.Engine && id != p.NodeID {
				delete(k.locations, id) // a former life
			}
		}
		k.locations[p.NodeID] = p
	}
	if b.Reset {
		told := map[uint64]bool{}
		for _, p := range ps {
			told[p.NodeID] = true
		}
		fresh := map[cacheindex.Update]bool{}
		for _, n := range b.Updates {
			fresh[n] = true
		}
		k.directory.RemoveIf(func(c cacheindex.Key, id uint64) bool {
			return (told[id] || k.locationSource[id] == from) && !fresh[cacheindex.Update{Key: c, Node: id, Op: cacheindex.OpAdd}]
		})
	}
	k.holdingsCursors[from] = Cursor{b.Incarnation, b.Next}
	for _, n := range b.Updates {
		if _, ok := k.HoldsLease(now, ShardRole(n.Key.Shard(Shards))); ok {
			k.directory.Apply(n)
		}
	}
}

// SiteFeed answers the custodian that serves a site's proxies.
func (k *Node) ZoneFeed(site string, inc, since uint64) cacheindex.UpdateBatch {
	return k.directory.ZoneLog(site).Since(inc, since, 4096)
}

// MySites lists the sites whose proxies this custodian brings hint news to:
// those of its own, and those left without one.
func (k *Node) ServedZones() []string {
	has := map[string]string{}
	for _, c := range k.peers {
		if o := has[c.Zone]; o == "" || c.Name < o {
			has[c.Zone] = c.Name
		}
	}
	sites := map[string]bool{k.zone: true}
	for _, l := range k.listed {
		sites[l.Zone] = true
	}
	for _, p := range k.proxies {
		sites[p.zone] = true
	}
	var mine []string
	for s := range sites {
		h := has[s]
		if h == "" {
			var bs uint64
			for _, c := range k.peers {
				if x := rendezvousScore(s, c.Name); h == "" || x > bs {
					h, bs = c.Name, x
				}
			}
		}
		if h == k.name {
			mine = append(mine, s)
		}
	}
	sort.Strings(mine)
	return mine
}

func (k *Node) zoneIndex(s string) *zoneIndex {
	if k.zones == nil {
		k.zones = map[string]*zoneIndex{}
	}
	n := k.zones[s]
	if n == nil {
		t := cacheindex.NewTable(1 << 15)
		n = &zoneIndex{table: t, cursors: map[string]*Cursor{}}
		n.log = cacheindex.NewUpdateLog(k.incarnation, 1<<14, func() []cacheindex.Update {
			var ns []cacheindex.Update
			t.Each(func(c cacheindex.Key, id uint64) {
				ns = append(ns, cacheindex.Update{Key: c, Node: id, Op: cacheindex.OpAdd})
			})
			return ns
		})
		k.zones[s] = n
	}
	return n
}

// SiteCursor is how far a shard owner's feed for a site was read.
func (k *Node) ZoneCursor(s, from string) *Cursor {
	n := k.zoneIndex(s)
	c := n.cursors[from]
	if c == nil {
		c = &Cursor{}
		n.cursors[from] = c
	}
	return c
}

// SiteNews takes in a shard owner's feed for a site and passes on what changes.
// Shards are those the feed speaks for.
func (k *Node) ApplyZoneUpdates(s, from string, shards []uint16, b cacheindex.UpdateBatch) {
	n := k.zoneIndex(s)
	if b.Reset {
		fresh := map[cacheindex.Key]bool{}
		for _, w := range b.Updates {
			fresh[w.Key] = true
		}
		var gone []cacheindex.Update
		n.table.Each(func(c cacheindex.Key, id uint64) {
			if slices.Contains(shards, uint16(c.Shard(Shards))) && !fresh[c] {
				gone = append(gone, cacheindex.Update{Key: c, Node: id, Op: cacheindex.OpRemove})
			}
		})
		for _, w := range gone {
			k.applyZoneUpdate(n, w)
		}
	}
	for _, w := range b.Updates {
		k.applyZoneUpdate(n, w)
	}
	*k.ZoneCursor(s, from) = Cursor{b.Incarnation, b.Next}
}

func (k *Node) applyZoneUpdate(n *zoneIndex, w cacheindex.Update) {
	old, had := n.table.Get(w.Key)
	if w.Op == cacheindex.OpAdd {
		if had && old == w.Node {
			return
		}
		n.table.Put(w.Key, w.Node)
	} else if !n.table.Remove(w.Key, w.Node) {
		return
	}
	n.log.Append(w)
	k.Counters.UpdatesQueued++
}

// ShardsOf lists the shards a peer said it holds.
func ShardsOf(c Peer) []uint16 {
	var ss []uint16
	for _, d := range c.Roles {
		if s, ok := strings.CutPrefix(d, "duty/shard/"); ok {
			if i, err := strconv.Atoi(s); err == nil && i < Shards {
				ss = append(ss, uint16(i))
			}
		}
	}
	slices.Sort(ss)
	return ss
}

// ProxyFeed answers a proxy that follows its site's hints.
func (k *Node) ProxyFeed(s string, inc, since uint64) (cacheindex.UpdateBatch, bool) {
	if !slices.Contains(k.ServedZones(), s) {
		return cacheindex.UpdateBatch{}, false
	}
	return k.zoneIndex(s).log.Since(inc, since, 4096), true
}
