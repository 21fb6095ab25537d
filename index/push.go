package index

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"violetthread/cacheindex"
)

// PushFeed answers an index node that owns engines in a site with the parts
// worth fetching there ahead of need.
func (k *Node) PrefetchFeed(site string, inc, since uint64) (cacheindex.UpdateBatch, []HolderLocation) {
	return k.directory.PrefetchLog(site).Since(inc, since, 256), k.knownLocations()
}

// known lists the holders that the shards' feeds named.
func (k *Node) knownLocations() []HolderLocation {
	var ps []HolderLocation
	for _, p := range k.locations {
		ps = append(ps, p)
	}
	slices.SortFunc(ps, func(a, b HolderLocation) int { return strings.Compare(a.Engine, b.Engine) })
	return ps
}

// PushSites lists the sites of the engines owned here, if parts are to be pushed.
func (k *Node) PrefetchZones(now int64) []string {
	if k.plan == nil || k.plan.Limits.Prefetch == "none" {
		return nil
	}
	in := map[string]bool{}
	for n, e := range k.engines {
		if _, ok := k.HoldsLease(now, EngineRole(n)); ok && !e.Store {
			in[e.Zone] = true
		}
	}
	var out []string
	for s := range in {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}

// Push is an order to fetch a part ahead of need.
type Prefetch struct {
	Engine, Addr, From, Weights string
	FencingToken                uint64
	Block                       cacheindex.Key
}

// Pushes turns a push feed into orders for the engines owned here. Every index
// node picks the same engines of a site by rendezvous; each orders its own.
func (k *Node) Prefetches(now int64, site string, b cacheindex.UpdateBatch, ps []HolderLocation) []Prefetch {
	if k.plan == nil {
		return nil
	}
	from := map[uint64]string{}
	for _, p := range ps {
		from[p.NodeID] = k.listed[p.Engine].Addr
	}
	var here []string
	for n, l := range k.listed {
		if l.Zone == site && !l.Store && !l.Leaving {
			here = append(here, n)
		}
	}
	n := map[string]int{"one": 1, "half": (len(here) + 1) / 2, "all": len(here)}[k.plan.Limits.Prefetch]
	var out []Prefetch
	for _, w := range b.Updates {
		key := strconv.FormatUint(w.Key.Hi, 16)
		sort.Slice(here, func(i, j int) bool { return rendezvousScore(key, here[i]) > rendezvousScore(key, here[j]) })
		for _, name := range here[:min(n, len(here))] {
			e := k.engines[name]
			ep, ok := k.HoldsLease(now, EngineRole(name))
			if e == nil || !ok || e.holdings[w.Key] || from[w.Node] == "" || e.nodeID == w.Node {
				continue
			}
			out = append(out, Prefetch{name, e.Addr, from[w.Node], e.weights, ep, w.Key})
			k.Counters.Prefetches++
		}
	}
	return out
}
