package index

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"violetthread/hint"
)

type follower struct {
	shards []uint16
	box    *hint.Outbox
}

type site struct {
	table *hint.Table
	box   *hint.Outbox
	from  map[string]*Cursor
}

// Cursor is how far a follower has read a feed.
type Cursor struct{ Inc, Next uint64 }

// HoldsFeed answers a shard's owner that follows what engines owned here keep.
func (k *Keeper) HoldsFeed(from string, shards []uint16, inc, since uint64) (hint.Batch, []Place) {
	f := k.holds[from]
	if f == nil || !slices.Equal(f.shards, shards) {
		k.turn++
		f = &follower{shards: slices.Clone(shards)}
		f.box = hint.NewOutbox(k.inc+uint64(k.turn)<<40, 1<<14, func() []hint.News {
			var ns []hint.News
			for _, e := range k.engines {
				for p := range e.keeps {
					if slices.Contains(shards, uint16(p.Shard(Shards))) {
						ns = append(ns, hint.News{Key: p, Node: e.id, Op: hint.Load})
					}
				}
			}
			return ns
		})
		k.holds[from] = f
	}
	return f.box.Since(inc, since, 4096), k.places()
}

// Place tells where a holder lies.
type Place struct {
	ID           uint64
	Engine, Site string
	Store        bool
}

func (k *Keeper) places() []Place {
	var ps []Place
	for _, e := range k.engines {
		if e.id != 0 {
			ps = append(ps, Place{e.id, e.Name, e.Site, e.Store})
		}
	}
	return ps
}

// MyShards lists the shards held now.
func (k *Keeper) MyShards(now int64) []uint16 {
	var ss []uint16
	for i := 0; i < Shards; i++ {
		if _, ok := k.Holds(now, ShardDuty(i)); ok {
			ss = append(ss, uint16(i))
		}
	}
	return ss
}

// HoldsCursor is how far another custodian's feed was read.
func (k *Keeper) HoldsCursor(from string) Cursor { return k.cursors[from] }

// NewsSent counts the news queued for followers, all feeds together.
func (k *Keeper) NewsSent() uint64 { return k.Counts.NewsOut + k.dir.Sent() }

// HoldsNews takes in what another custodian's engines keep of my shards.
func (k *Keeper) HoldsNews(now int64, from string, b hint.Batch, ps []Place) {
	for _, p := range ps {
		k.dir.Know(p.ID, hint.Place{Site: p.Site, Store: p.Store})
		k.source[p.ID] = from
		for id, o := range k.placed {
			if o.Engine == p.Engine && id != p.ID {
				delete(k.placed, id) // a former life
			}
		}
		k.placed[p.ID] = p
	}
	if b.Reset {
		told := map[uint64]bool{}
		for _, p := range ps {
			told[p.ID] = true
		}
		fresh := map[hint.News]bool{}
		for _, n := range b.News {
			fresh[n] = true
		}
		k.dir.ForgetIf(func(c hint.Key, id uint64) bool {
			return (told[id] || k.source[id] == from) && !fresh[hint.News{Key: c, Node: id, Op: hint.Load}]
		})
	}
	k.cursors[from] = Cursor{b.Inc, b.Next}
	for _, n := range b.News {
		if _, ok := k.Holds(now, ShardDuty(n.Key.Shard(Shards))); ok {
			k.dir.Apply(n)
		}
	}
}

// SiteFeed answers the custodian that serves a site's proxies.
func (k *Keeper) SiteFeed(site string, inc, since uint64) hint.Batch {
	return k.dir.Box(site).Since(inc, since, 4096)
}

// MySites lists the sites whose proxies this custodian brings hint news to:
// those of its own, and those left without one.
func (k *Keeper) MySites() []string {
	has := map[string]string{}
	for _, c := range k.peers {
		if o := has[c.Site]; o == "" || c.Name < o {
			has[c.Site] = c.Name
		}
	}
	sites := map[string]bool{k.site: true}
	for _, l := range k.listing {
		sites[l.Site] = true
	}
	for _, p := range k.proxies {
		sites[p.site] = true
	}
	var mine []string
	for s := range sites {
		h := has[s]
		if h == "" {
			var bs uint64
			for _, c := range k.peers {
				if x := score(s, c.Name); h == "" || x > bs {
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

func (k *Keeper) siteOf(s string) *site {
	if k.near == nil {
		k.near = map[string]*site{}
	}
	n := k.near[s]
	if n == nil {
		t := hint.NewTable(1 << 15)
		n = &site{table: t, from: map[string]*Cursor{}}
		n.box = hint.NewOutbox(k.inc, 1<<14, func() []hint.News {
			var ns []hint.News
			t.Each(func(c hint.Key, id uint64) { ns = append(ns, hint.News{Key: c, Node: id, Op: hint.Load}) })
			return ns
		})
		k.near[s] = n
	}
	return n
}

// SiteCursor is how far a shard owner's feed for a site was read.
func (k *Keeper) SiteCursor(s, from string) *Cursor {
	n := k.siteOf(s)
	c := n.from[from]
	if c == nil {
		c = &Cursor{}
		n.from[from] = c
	}
	return c
}

// SiteNews takes in a shard owner's feed for a site and passes on what changes.
// Shards are those the feed speaks for.
func (k *Keeper) SiteNews(s, from string, shards []uint16, b hint.Batch) {
	n := k.siteOf(s)
	if b.Reset {
		fresh := map[hint.Key]bool{}
		for _, w := range b.News {
			fresh[w.Key] = true
		}
		var gone []hint.News
		n.table.Each(func(c hint.Key, id uint64) {
			if slices.Contains(shards, uint16(c.Shard(Shards))) && !fresh[c] {
				gone = append(gone, hint.News{Key: c, Node: id, Op: hint.Drop})
			}
		})
		for _, w := range gone {
			k.siteApply(n, w)
		}
	}
	for _, w := range b.News {
		k.siteApply(n, w)
	}
	*k.SiteCursor(s, from) = Cursor{b.Inc, b.Next}
}

func (k *Keeper) siteApply(n *site, w hint.News) {
	old, had := n.table.Get(w.Key)
	if w.Op == hint.Load {
		if had && old == w.Node {
			return
		}
		n.table.Put(w.Key, w.Node)
	} else if !n.table.Drop(w.Key, w.Node) {
		return
	}
	n.box.Add(w)
	k.Counts.NewsOut++
}

// ShardsOf lists the shards a peer said it holds.
func ShardsOf(c Custodian) []uint16 {
	var ss []uint16
	for _, d := range c.Duties {
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
func (k *Keeper) ProxyFeed(s string, inc, since uint64) (hint.Batch, bool) {
	if !slices.Contains(k.MySites(), s) {
		return hint.Batch{}, false
	}
	return k.siteOf(s).box.Since(inc, since, 4096), true
}
