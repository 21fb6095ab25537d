package scale

import (
	"slices"
	"sync"

	"violetthread/cacheindex"
)

// Observations are what the simulated proxies were told, and when. All of them share a clock.
type Observations struct {
	mu          sync.Mutex
	cachedAt    map[cacheindex.Key]int64 // when a timed block came to be cached
	revisions   []uint64                 // of the configuration, by proxy
	knownAt     map[uint64][]int64       // when each proxy knew a revision
	ready       []bool                   // by proxy
	configBytes int                      // of the configuration's register

	// Since the last reset:
	lags      []int64 // microseconds from a block's caching until a proxy knew of it
	resets    int     // of all hints
	updates   int     // of hints
	questions int
	failures  int // questions without an answer
}

// NewObservations makes one for this many proxies.
func NewObservations(proxies int) *Observations {
	return &Observations{cachedAt: map[cacheindex.Key]int64{}, revisions: make([]uint64, proxies), ready: make([]bool, proxies), knownAt: map[uint64][]int64{}}
}

// BlockCached notes when a timed block came to be cached.
func (o *Observations) BlockCached(k cacheindex.Key, now int64) {
	o.mu.Lock()
	o.cachedAt[k] = now
	o.mu.Unlock()
}

// answer is what one answer told a proxy.
type answer struct {
	proxy       int
	now         int64
	revision    uint64
	configBytes int // bytes
	complete    bool
	reset       bool
	updates     []cacheindex.Update
}

// record takes in one answer.
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

// recordFailure counts a question without an answer.
func (o *Observations) recordFailure() {
	o.mu.Lock()
	o.failures++
	o.mu.Unlock()
}

// ReadyCount counts the proxies that know a configuration and have all cache updates.
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

// KnownSince tells when the last proxy knew a revision above rev, and whether all do.
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

// CommonRevision is the highest revision that all know.
func (o *Observations) CommonRevision() uint64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Min(o.revisions)
}

// reset forgets what was timed so far.
func (o *Observations) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.lags, o.resets, o.updates, o.questions, o.failures = nil, 0, 0, 0, 0
}

// addFigures puts what was observed in a window of this many seconds into figures, and returns
// the bytes of the configuration's register.
func (o *Observations) addFigures(figures map[string]float64, seconds, proxies float64) (configBytes float64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	figures["hollow.asks_s"] = float64(o.questions) / seconds / proxies
	figures["hollow.news_s"] = float64(o.updates) / seconds / proxies
	figures["hollow.resets_s"] = float64(o.resets) / seconds / proxies
	figures["hollow.failed_s"] = float64(o.failures) / seconds / proxies
	figures[configSizeMetric] = float64(o.configBytes)
	for _, ready := range o.ready {
		if ready {
			figures["hollow.ready"]++
		}
	}
	if len(o.lags) > 0 {
		figures["news.lag_ms"] = milliseconds(quantile(o.lags, .5))
		figures["news.lag_p99_ms"] = milliseconds(quantile(o.lags, .99))
	}
	figures["news.timed"] = float64(len(o.lags))
	return float64(o.configBytes)
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
