package scale

import (
	"slices"
	"sync"

	"violetthread/cacheindex"
)

// Board is what the hollow proxies have heard, and when. All of them share a clock.
type Observations struct {
	mu          sync.Mutex
	cachedAt    map[cacheindex.Key]int64
	lags        []int64
	revisions   []uint64           // of each proxy
	knownAt     map[uint64][]int64 // revision: when each proxy knew it
	ready       []bool
	resets      int
	updates     int
	questions   int
	failures    int
	configBytes int // of the configuration's register
}

// NewBoard makes one for n proxies.
func NewObservations(n int) *Observations {
	return &Observations{cachedAt: map[cacheindex.Key]int64{}, revisions: make([]uint64, n), ready: make([]bool, n), knownAt: map[uint64][]int64{}}
}

// Born notes when a timed part came to be kept.
func (o *Observations) BlockCached(k cacheindex.Key, now int64) {
	o.mu.Lock()
	o.cachedAt[k] = now
	o.mu.Unlock()
}

// heard is what one answer told a proxy.
type answer struct {
	proxy       int
	now         int64
	revision    uint64
	configBytes int // bytes
	complete    bool
	reset       bool
	updates     []cacheindex.Update
}

func (o *Observations) record(h answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.questions++
	if h.revision > o.revisions[h.proxy] {
		o.revisions[h.proxy] = h.revision
		o.knownAt[h.revision] = append(o.knownAt[h.revision], h.now)
		o.configBytes = h.configBytes
	}
	o.ready[h.proxy] = o.ready[h.proxy] || h.complete && h.revision > 0
	if h.reset {
		o.resets++
		return
	}
	o.updates += len(h.updates)
	for _, n := range h.updates {
		if t, ok := o.cachedAt[n.Key]; ok && n.Op == cacheindex.OpAdd {
			o.lags = append(o.lags, h.now-t)
		}
	}
}

func (o *Observations) recordFailure() {
	o.mu.Lock()
	o.failures++
	o.mu.Unlock()
}

// Ready counts the proxies that know a configuration and have all news.
func (o *Observations) ReadyCount() (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.ready {
		if r {
			n++
		}
	}
	return n
}

// Since tells when the last proxy knew a revision above rev, and whether all do.
func (o *Observations) KnownSince(rev uint64) (last int64, all bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if slices.Min(o.revisions) <= rev {
		return 0, false
	}
	for r, ts := range o.knownAt {
		if r == rev+1 {
			last = max(last, slices.Max(ts))
		}
	}
	return last, true
}

// Newest is the highest revision that all know.
func (o *Observations) CommonRevision() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Min(o.revisions)
}

// clear forgets what was timed so far.
func (o *Observations) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lags, o.resets, o.updates, o.questions, o.failures = nil, 0, 0, 0, 0
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
