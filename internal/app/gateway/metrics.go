package gateway

import (
	"violetthread/dispatch"
	"violetthread/internal/clock"
)

// registerMetrics registers the gateway's metrics. Dashboards use their names, so the names
// must not change.
func (g *gateway) registerMetrics() {
	counter := func(name, help string, value func(c dispatch.Counters) uint64) {
		g.daemon.Counter(name, help, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return float64(value(g.dispatcher.Counters))
		})
	}
	counter("tickets_total", "requests that passed the checks of key and form", func(c dispatch.Counters) uint64 { return c.Arrived })
	counter("done_total", "requests done", func(c dispatch.Counters) uint64 { return c.Done })
	counter("refused_total", "requests refused after they were taken in", func(c dispatch.Counters) uint64 { return c.Refused })
	counter("unknown_total", "requests that ended unknown", func(c dispatch.Counters) uint64 { return c.Unknown })
	counter("attempts_total", "attempts sent to engines", func(c dispatch.Counters) uint64 { return c.Attempts })
	counter("retries_total", "attempts after a request's first", func(c dispatch.Counters) uint64 { return c.Retries })
	counter("takes_total", "attempts told to fetch blocks from another engine", func(c dispatch.Counters) uint64 { return c.Transfers })
	counter("own_total", "attempts sent where a block already is", func(c dispatch.Counters) uint64 { return c.LocalHits })
	counter("claims_total", "claims asked for", func(c dispatch.Counters) uint64 { return c.Claims })
	g.daemon.Counter("claim_us_total", "time spent on claims granted", func() float64 { return float64(g.claimLatency.totalUS.Load()) })
	g.daemon.Counter("claims_granted_total", "claims granted", func() float64 { return float64(g.claimLatency.count.Load()) })
	g.daemon.Gauge("hints", "entries used in the hint table", func() float64 { return float64(g.table.Len()) })
	g.daemon.Gauge("plan_rev", "revision of the plan in force here", func() float64 { return float64(g.plan.Load().Revision) })
	g.daemon.Gauge("plan_age_us", "time since the plan was confirmed", func() float64 { return float64(g.plan.Load().Age(clock.Now())) })
	g.daemon.Gauge("running", "requests and plain calls in flight", func() float64 { return float64(g.inFlight()) })
}
