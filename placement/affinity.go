package placement

import (
	"cmp"
	"slices"
	"strconv"

	"violetthread/internal/rendezvous"
)

// affinity is the weight of a candidate for a block: the block's home is the candidate with
// the highest, which every proxy finds without talking to others.
func affinity(block, candidate string) uint64 { return rendezvous.Weight(block, "\x00", candidate) }

// sortByAffinity returns engines in the order of their affinity to a block, its home first.
func sortByAffinity(engines []*Engine, block string) []*Engine {
	weights := make(map[*Engine]uint64, len(engines))
	for _, e := range engines {
		weights[e] = affinity(block, e.ID)
	}
	slices.SortFunc(engines, func(a, b *Engine) int { return cmp.Compare(weights[b], weights[a]) })
	return engines
}

// homeStore is the store where everybody would look for a block, of those that are healthy;
// nil if there is none.
func (p *Picker) homeStore(block string) (home *Store) {
	for i := range p.stores {
		s := &p.stores[i]
		if !s.Unhealthy && (home == nil || affinity(block, s.Addr) > affinity(block, home.Addr)) {
			home = s
		}
	}
	return home
}

// CacheSalt names a cache scope and a version of a model's weights together: blocks are shared
// only under the same salt.
func CacheSalt(scope string, version uint64) string {
	salt := make([]byte, 0, len(scope)+12)
	salt = append(salt, scope...)
	salt = append(salt, '.')
	return string(strconv.AppendUint(salt, version, 10))
}
