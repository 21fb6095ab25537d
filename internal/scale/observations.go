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
	resets    int     // answers that stand for all cache updates before them
	updates   int     // cache updates
	questions int
	failures  int // questions without an answer
}

// NewObservations makes one for this many proxies.
func NewObservations(proxies int) *Observations {
	return &Observations{
		cachedAt:  map[cacheindex.Key]int64{},
		revisions: make([]uint64, proxies),
		knownAt:   map[uint64][]int64{},
		ready:     make([]bool, proxies),
	}
}

// BlockCached notes when a timed block came to be cached.
func (o *Observations) BlockCached(key cacheindex.Key, now int64) {
	o.mu.Lock()
	o.cachedAt[key] = now
	o.mu.Unlock()
}

// answer is what one answer told a proxy.
type answer struct {
	proxy       int    // number of the proxy
	now         int64  // microseconds
	revision    uint64 // of the configuration that the proxy has
	configBytes int    // of the configuration's register, if it came with the answer
	complete    bool   // the control node has all cache updates
	reset       bool   // the updates stand for all before them
	updates     []cacheindex.Update
}

// record takes in one answer.
func (o *Observations) record(a answer) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.questions++
	if a.revision > o.revisions[a.proxy] {
		o.revisions[a.proxy] = a.revision
		o.knownAt[a.revision] = append(o.knownAt[a.revision], a.now)
		o.configBytes = a.configBytes
	}
	o.ready[a.proxy] = o.ready[a.proxy] || a.complete && a.revision > 0
	if a.reset {
		o.resets++
		return
	}
	o.updates += len(a.updates)
	for _, update := range a.updates {
		if cachedAt, timed := o.cachedAt[update.Key]; timed && update.Op == cacheindex.OpAdd {
			o.lags = append(o.lags, a.now-cachedAt)
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
	for _, ready := range o.ready {
		if ready {
			n++
		}
	}
	return n
}

// KnownSince reports whether all proxies know a later revision than this one, and when the
// last proxy knew the next one, in microseconds; 0 if none was told of the next one.
func (o *Observations) KnownSince(revision uint64) (last int64, all bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if slices.Min(o.revisions) <= revision {
		return 0, false
	}
	for _, knownAt := range o.knownAt[revision+1] {
		last = max(last, knownAt)
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
func quantile(values []int64, q float64) int64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
