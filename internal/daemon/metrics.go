package daemon

import (
	"github.com/prometheus/client_golang/prometheus"

	"violetthread/internal/transport"
)

// MetricNamespace is the prefix of every metric's name.
const MetricNamespace = "violetthread"

// Gauge registers a gauge. read returns its value and is called at each scrape, from any
// goroutine.
func (d *Daemon) Gauge(name, help string, read func() float64) {
	d.Metrics.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: MetricNamespace, Name: name, Help: help}, read))
}

// Counter registers a counter. read returns its value, which must never decrease, and is called
// at each scrape, from any goroutine.
func (d *Daemon) Counter(name, help string, read func() float64) {
	d.Metrics.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: MetricNamespace, Name: name, Help: help}, read))
}

// registerTrafficMetrics registers counters of the traffic of package transport.
func (d *Daemon) registerTrafficMetrics() {
	count := func(name, help string, of func(transport.Traffic) int64) {
		d.Counter(name, help, func() float64 { return float64(of(transport.TotalTraffic())) })
	}
	count("link_sent_bytes_total", "bytes sent to other nodes", func(t transport.Traffic) int64 { return t.BytesSent })
	count("link_received_bytes_total", "bytes taken in from other nodes", func(t transport.Traffic) int64 { return t.BytesReceived })
	count("link_sent_frames_total", "frames sent to other nodes", func(t transport.Traffic) int64 { return t.FramesSent })
	count("link_received_frames_total", "frames taken in from other nodes", func(t transport.Traffic) int64 { return t.FramesReceived })
}
