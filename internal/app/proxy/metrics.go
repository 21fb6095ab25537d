package proxy

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/placement"
)

// counts are counters since the start of the process.
type counts struct {
	arrived, done, rejected, lost, aborted      atomic.Int64 // requests of callers
	sends, retries, notRun, interrupted         atomic.Int64 // attempts
	resumed                                     atomic.Int64 // streams
	withdrawn                                   atomic.Int64 // attempts that had not started shortly before the deadline for newer weights
	outdated                                    atomic.Int64 // responses that started on weights past their deadline
	invalidResponses                            *prometheus.CounterVec
	prefillTokens, transferTokens, cachedTokens atomic.Int64
}

// registerMetrics registers the proxy's metrics. Dashboards depend on their names.
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
	counter("sends_withdrawn", "taken back, since the engine had not begun before the bound on newer weights", &c.withdrawn)
	counter("answers_outdated", "answers that began on weights after the bound on newer ones", &c.outdated)
	counter("tokens_read", "prompt tokens that engines had to read, as estimated", &c.prefillTokens)
	counter("tokens_moved", "prompt tokens that engines were told to take", &c.transferTokens)
	counter("tokens_hit", "prompt tokens hinted to be kept where they were needed", &c.cachedTokens)
	s.daemon.Metrics.MustRegister(c.invalidResponses)
	s.decisions.register(s.daemon.Metrics)
	s.daemon.Gauge("config_age_us", "time since the configuration was known to be in force", func() float64 { return float64(s.view.Load().age(clock.Now())) })
	s.daemon.Gauge("hints", "entries in the hint table", func() float64 { return float64(s.hints.Len()) })
}

// newInvalidResponses returns the counter of responses that broke the protocol.
func newInvalidResponses() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: daemon.MetricNamespace,
		Name:      "responses_invalid",
		Help:      "responses of engines that broke the protocol, by the first violation",
	}, []string{"violation"})
}

// decisionMetrics measure the accuracy of placement: the predicted time to the first event at the
// chosen engine, and the actual time.
type decisionMetrics struct {
	firstEvent prometheus.Histogram // seconds
	prediction prometheus.Histogram // predicted time to the first event, as a ratio of the actual time
}

func newDecisionMetrics() *decisionMetrics {
	return &decisionMetrics{
		firstEvent: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: daemon.MetricNamespace,
			Name:      "first_event_seconds",
			Help:      "time from sending a request with a prompt to the first event of its answer",
			Buckets:   prometheus.ExponentialBuckets(0.025, 2, 10),
		}),
		prediction: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: daemon.MetricNamespace,
			Name:      "first_event_predicted_ratio",
			Help:      "predicted time to the first event, divided by the actual one",
			Buckets:   []float64{0.25, 0.5, 0.75, 0.8, 1, 1.25, 1.5, 2, 4},
		}),
	}
}

func (m *decisionMetrics) register(registry prometheus.Registerer) {
	registry.MustRegister(m.firstEvent, m.prediction)
}

// observe records that the response of the chosen engine started at the time now.
func (m *decisionMetrics) observe(now int64, c *placement.Choice) {
	actual := now - c.SentAt()
	if c.MemoryTokens == 0 || actual <= 0 {
		return // not a request with a prompt
	}
	m.firstEvent.Observe(float64(actual) / 1e6)
	m.prediction.Observe(float64(c.PredictedUS) / float64(actual))
}
