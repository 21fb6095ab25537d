package scale

import (
	"slices"
	"sync"

	"violetthread/cacheindex"
)

// Board is what the hollow proxies have heard, and when. All of them share a clock.
type Board struct {
	mu    sync.Mutex
	born  map[cacheindex.Key]int64
	lags  []int64
	rev   []uint64           // of each proxy
	first map[uint64][]int64 // revision: when each proxy knew it
	ready []bool
	reset int
	news  int
	asks  int
	bad   int
	bytes int // of the configuration's register
}

// NewBoard makes one for n proxies.
func NewBoard(n int) *Board {
	return &Board{born: map[cacheindex.Key]int64{}, rev: make([]uint64, n), ready: make([]bool, n), first: map[uint64][]int64{}}
}

// Born notes when a timed part came to be kept.
func (b *Board) Born(k cacheindex.Key, now int64) {
	b.mu.Lock()
	b.born[k] = now
	b.mu.Unlock()
}

// heard is what one answer told a proxy.
type heard struct {
	proxy    int
	now      int64
	rev      uint64
	config   int // bytes
	complete bool
	reset    bool
	news     []cacheindex.Update
}

func (b *Board) hear(h heard) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.asks++
	if h.rev > b.rev[h.proxy] {
		b.rev[h.proxy] = h.rev
		b.first[h.rev] = append(b.first[h.rev], h.now)
		b.bytes = h.config
	}
	b.ready[h.proxy] = b.ready[h.proxy] || h.complete && h.rev > 0
	if h.reset {
		b.reset++
		return
	}
	b.news += len(h.news)
	for _, n := range h.news {
		if t, ok := b.born[n.Key]; ok && n.Op == cacheindex.OpAdd {
			b.lags = append(b.lags, h.now-t)
		}
	}
}

func (b *Board) failed() {
	b.mu.Lock()
	b.bad++
	b.mu.Unlock()
}

// Ready counts the proxies that know a configuration and have all news.
func (b *Board) Ready() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, r := range b.ready {
		if r {
			n++
		}
	}
	return n
}

// Since tells when the last proxy knew a revision above rev, and whether all do.
func (b *Board) Since(rev uint64) (last int64, all bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.Min(b.rev) <= rev {
		return 0, false
	}
	for r, ts := range b.first {
		if r == rev+1 {
			last = max(last, slices.Max(ts))
		}
	}
	return last, true
}

// Newest is the highest revision that all know.
func (b *Board) Newest() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Min(b.rev)
}

// clear forgets what was timed so far.
func (b *Board) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lags, b.reset, b.news, b.asks, b.bad = nil, 0, 0, 0, 0
}

// quantile of what was timed; 0 if nothing was.
func quantile(v []int64, q float64) int64 {
	if len(v) == 0 {
		return 0
	}
	v = slices.Clone(v)
	slices.Sort(v)
	return v[min(len(v)-1, int(q*float64(len(v))))]
}
