package limits

import "github.com/prometheus/client_golang/prometheus"

const metricNamespace = "violetthread"

// Describe implements prometheus.Collector.
func (p *Port) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(p, descriptions)
}

// Collect implements prometheus.Collector.
func (p *Port) Collect(metrics chan<- prometheus.Metric) {
	p.mu.Lock()
	connections, held := len(p.connections), p.heldBytes
	p.mu.Unlock()
	gauge := func(name, help string, value float64) {
		metrics <- prometheus.MustNewConstMetric(p.description(name, help), prometheus.GaugeValue, value)
	}
	gauge("port_connections", "open connections of a port", float64(connections))
	gauge("port_connections_limit", "most connections that a port keeps open", float64(p.maxConnections))
	gauge("port_held_bytes", "bytes that peers make a port hold beyond its connections", float64(held))
	gauge("port_held_bytes_limit", "most bytes that peers can make a port hold beyond its connections", float64(p.maxHeldBytes))
	for _, bound := range []Bound{BoundConnections, BoundHeldBytes} {
		evicted := p.description("port_evicted", "connections that waited for their peer and were closed for others", "bound")
		metrics <- prometheus.MustNewConstMetric(evicted, prometheus.CounterValue, float64(p.evicted[bound].Load()), string(bound))
		rejected := p.description("port_rejected", "connections and requests turned away because a port was at its bound", "bound")
		metrics <- prometheus.MustNewConstMetric(rejected, prometheus.CounterValue, float64(p.rejected[bound].Load()), string(bound))
	}
}

func (p *Port) description(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc(prometheus.BuildFQName(metricNamespace, "", name), help, labels, prometheus.Labels{"port": p.name})
}
