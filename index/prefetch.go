package index

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/samber/lo"

	"violetthread/cacheindex"
)

// prefetchBatch bounds the updates in an answer of a prefetch feed.
const prefetchBatch = 256

// Prefetch is an order to an engine to fetch a block ahead of need.
type Prefetch struct {
	Engine, Addr string
	From         string // address of a node that has the block
	Weights      string
	FencingToken uint64
	Block        cacheindex.Key
}

// PrefetchFeed answers an index node that owns engines in a zone with the blocks worth
// fetching there ahead of need, and where their holders stand.
func (n *Node) PrefetchFeed(zone string, incarnation, since uint64) (cacheindex.UpdateBatch, []HolderLocation) {
	return n.directory.PrefetchLog(zone).Since(incarnation, since, prefetchBatch), n.knownLocations()
}

// knownLocations lists the holders that the holdings feeds named, by engine.
func (n *Node) knownLocations() []HolderLocation {
	locations := lo.Values(n.locations)
	slices.SortFunc(locations, func(a, b HolderLocation) int { return strings.Compare(a.Engine, b.Engine) })
	return locations
}

// PrefetchZones lists the zones of the engines owned here, sorted, if the plan lets them
// prefetch.
func (n *Node) PrefetchZones(now int64) []string {
	if n.plan == nil || n.plan.Limits.Prefetch == "none" {
		return nil
	}
	zones := map[string]bool{}
	for name, engine := range n.engines {
		if _, owned := n.HoldsLease(now, EngineRole(name)); owned && !engine.Store {
			zones[engine.Zone] = true
		}
	}
	names := lo.Keys(zones)
	slices.Sort(names)
	return names
}

// Prefetches turns the answer of a prefetch feed into orders for the engines owned here.
// Every index node picks the same engines of a zone by rendezvous; each orders its own.
func (n *Node) Prefetches(now int64, zone string, batch cacheindex.UpdateBatch, locations []HolderLocation) []Prefetch {
	if n.plan == nil {
		return nil
	}
	addrs := map[uint64]string{}
	for _, location := range locations {
		addrs[location.NodeID] = n.listed[location.Engine].Addr
	}
	serving := n.servingIn(zone)
	count := prefetchCount(n.plan.Limits.Prefetch, len(serving))
	var orders []Prefetch
	for _, update := range batch.Updates {
		key := strconv.FormatUint(update.Key.Hi, 16)
		sort.Slice(serving, func(i, j int) bool { return rendezvousScore(key, serving[i]) > rendezvousScore(key, serving[j]) })
		for _, name := range serving[:count] {
			engine := n.engines[name]
			token, owned := n.HoldsLease(now, EngineRole(name))
			if engine == nil || !owned || engine.holdings[update.Key] || addrs[update.Node] == "" || engine.nodeID == update.Node {
				continue
			}
			orders = append(orders, Prefetch{
				Engine:       name,
				Addr:         engine.Addr,
				From:         addrs[update.Node],
				Weights:      engine.weights,
				FencingToken: token,
				Block:        update.Key,
			})
			n.Counters.Prefetches++
		}
	}
	return orders
}

// servingIn lists the engines of a zone that get work.
func (n *Node) servingIn(zone string) []string {
	var names []string
	for name, listed := range n.listed {
		if listed.Zone == zone && listed.serves() {
			names = append(names, name)
		}
	}
	return names
}

// prefetchCount is how many of so many engines fetch a block, by the plan's setting.
func prefetchCount(setting string, engines int) int {
	switch setting {
	case "one":
		return min(1, engines)
	case "half":
		return (engines + 1) / 2
	case "all":
		return engines
	}
	return 0
}
