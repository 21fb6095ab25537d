package index

import (
	"slices"
	"sort"
	"strconv"
	"strings"

	"github.com/samber/lo"

	"violetthread/cacheindex"
)

// prefetchBatchSize limits the updates in a batch of a prefetch feed.
const prefetchBatchSize = 256

// Prefetch is a request to an engine to fetch a block before a request needs it.
type Prefetch struct {
	Engine, Addr string
	From         string // address of a node that has the block
	Weights      string
	FencingToken uint64
	Block        cacheindex.Key
}

// PrefetchFeed returns, for an index node that owns engines in a zone, the blocks worth
// prefetching there and the locations of their holders.
func (n *Node) PrefetchFeed(zone string, incarnation, since uint64) (cacheindex.UpdateBatch, []HolderLocation) {
	return n.directory.PrefetchLog(zone).Since(incarnation, since, prefetchBatchSize), n.knownLocations()
}

// knownLocations lists the holders that the holdings feeds have announced, sorted by engine.
func (n *Node) knownLocations() []HolderLocation {
	locations := lo.Values(n.locations)
	slices.SortFunc(locations, func(a, b HolderLocation) int { return strings.Compare(a.Engine, b.Engine) })
	return locations
}

// PrefetchZones lists the zones of the engines that this node owns, sorted, if the plan
// enables prefetching.
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

// Prefetches turns a batch of a prefetch feed into requests to the engines that this node
// owns. Every index node selects the same engines of a zone by rendezvous hashing, and returns
// requests to its own.
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
	var prefetches []Prefetch
	for _, update := range batch.Updates {
		key := strconv.FormatUint(update.Key.Hi, 16)
		sort.Slice(serving, func(i, j int) bool { return rendezvousScore(key, serving[i]) > rendezvousScore(key, serving[j]) })
		for _, name := range serving[:count] {
			engine := n.engines[name]
			token, owned := n.HoldsLease(now, EngineRole(name))
			if engine == nil || !owned || engine.holdings[update.Key] || addrs[update.Node] == "" || engine.nodeID == update.Node {
				continue
			}
			prefetches = append(prefetches, Prefetch{
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
	return prefetches
}

// servingIn lists the engines of a zone that may get new work.
func (n *Node) servingIn(zone string) []string {
	var names []string
	for name, listed := range n.listed {
		if listed.Zone == zone && listed.serves() {
			names = append(names, name)
		}
	}
	return names
}

// prefetchCount returns how many of the given number of engines prefetch a block, by the
// plan's setting.
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
