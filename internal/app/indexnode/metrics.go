package indexnode

import (
	"net/http"

	"violetthread/index"
	"violetthread/internal/daemon"
	"violetthread/recording/replay"
)

// registerMetrics registers the index node's metrics and the page of its engines.
func (n *indexNode) registerMetrics() {
	gauge := func(name, help string, read func(now int64, node *replay.IndexNode) float64) {
		n.daemon.Gauge(name, help, func() (value float64) {
			n.withNode(func(now int64, node *replay.IndexNode) { value = read(now, node) })
			return value
		})
	}
	count := func(name, help string, read func(node *replay.IndexNode) float64) {
		gauge(name, help, func(_ int64, node *replay.IndexNode) float64 { return read(node) })
	}
	gauge("duties_held", "leases held now", func(now int64, node *replay.IndexNode) float64 { return float64(len(node.HeldRoles(now))) })
	count("parts_known", "parts in the shards held here", func(node *replay.IndexNode) float64 { return float64(node.Directory().Len()) })
	count("takeovers", "leases newly won", func(node *replay.IndexNode) float64 { return float64(node.Counters.Takeovers) })
	count("pushes", "parts ordered to be fetched ahead of need", func(node *replay.IndexNode) float64 { return float64(node.Counters.Prefetches) })
	count("resyncs", "times an engine's keeps were read whole", func(node *replay.IndexNode) float64 { return float64(node.Counters.Resyncs) })
	count("hand_overs_good", "hand-overs learnt to have worked", func(node *replay.IndexNode) float64 { return float64(node.Counters.TransfersOK) })
	count("hand_overs_bad", "hand-overs learnt to have been recomputed", func(node *replay.IndexNode) float64 { return float64(node.Counters.TransfersFailed) })
	count("news_changes", "changes to what is kept, at shards held here", func(node *replay.IndexNode) float64 { return float64(node.Directory().Changes) })
	count("news_sent", "pieces of hint news queued for followers", func(node *replay.IndexNode) float64 { return float64(node.UpdatesSent()) })
	n.daemon.Handle("/v1/engines", n.serveEngines)
}

// serveEngines serves GET /v1/engines: the engines that this node owns.
func (n *indexNode) serveEngines(w http.ResponseWriter, _ *http.Request) {
	var engines []index.EngineStatus
	n.withNode(func(now int64, node *replay.IndexNode) { engines = node.Engines(now) })
	daemon.WriteJSON(w, http.StatusOK, engines)
}
