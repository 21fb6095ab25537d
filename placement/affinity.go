package placement

import (
	"cmp"
	"slices"
	"strconv"

	"violetthread/internal/rendezvous"
)

// affinity returns the rendezvous-hashing weight of a candidate for a block. The candidate with
// the highest weight is the block's home; all proxies compute the same home without coordination.
func affinity(block, candidate string) uint64 { return rendezvous.Weight(block, "\x00", candidate) }

// sortByAffinity sorts engines in place by descending affinity to a block, the block's home
// first, and returns them.
func sortByAffinity(engines []*Engine, block string) []*Engine {
	weights := make(map[*Engine]uint64, len(engines))
	for _, e := range engines {
		weights[e] = affinity(block, e.ID)
	}
	slices.SortFunc(engines, func(a, b *Engine) int { return cmp.Compare(weights[b], weights[a]) })
	return engines
}

// homeStore returns the healthy store with the highest affinity to a block, which is the one
// that all proxies use for it; nil if no store is healthy.
func (p *Picker) homeStore(block string) (home *Store) {
	for i := range p.stores {
		s := &p.stores[i]
		if !s.Unhealthy && (home == nil || affinity(block, s.Addr) > affinity(block, home.Addr)) {
			home = s
		}
	}
	return home
}

// CacheSalt combines a cache scope and a version of a model's weights. Cached blocks are shared
// only between requests with the same salt.
func CacheSalt(scope string, version uint64) string {
	salt := make([]byte, 0, len(scope)+12)
	salt = append(salt, scope...)
	salt = append(salt, '.')
	return string(strconv.AppendUint(salt, version, 10))
}
