package proxy

import (
	"sync/atomic"

	"violetthread/internal/clock"
)

// counts are counters since the start.
type counts struct {
	arrived, done, rejected, lost, aborted      atomic.Int64 // requests of callers
	sends, retries, notRun, interrupted         atomic.Int64 // attempts
	resumed                                     atomic.Int64 // streams
	prefillTokens, transferTokens, cachedTokens atomic.Int64
}

// registerMetrics registers the proxy's metrics. Dashboards go by their names.
func (s *server) registerMetrics() {
	counter := func(name, help string, v *atomic.Int64) {
		s.daemon.Counter(name, help, func() float64 { return float64(v.Load()) })
	}
	c := &s.counts
	counter("requests_arrived", "requests taken", &c.arrived)
	counter("requests_done", "requests answered whole", &c.done)
	counter("requests_refused", "requests refused that never ran", &c.rejected)
	counter("requests_lost", "requests that may have run and have no answer", &c.lost)
	counter("requests_cut", "answers broken off", &c.aborted)
	counter("sends", "requests sent to engines", &c.sends)
	counter("sends_more", "of these, beyond a request's first", &c.retries)
	counter("sends_skipped", "turned away by engines", &c.notRun)
	counter("sends_broken", "lost after they were sent", &c.interrupted)
	counter("streams_resumed", "streams taken up at another engine", &c.resumed)
	counter("tokens_read", "prompt tokens that engines had to read, as estimated", &c.prefillTokens)
	counter("tokens_moved", "prompt tokens that engines were told to take", &c.transferTokens)
	counter("tokens_hit", "prompt tokens hinted to be kept where they were needed", &c.cachedTokens)
	s.daemon.Gauge("config_age_us", "time since the configuration was known to be in force", func() float64 { return float64(s.view.Load().age(clock.Now())) })
	s.daemon.Gauge("hints", "entries in the hint table", func() float64 { return float64(s.hints.Len()) })
}
