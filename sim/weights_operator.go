package sim

import (
	"violetthread/route"
)

// simModel is the model whose weights operators change.
const simModel = "translator"

// WeightsHistory checks, in true time, the answers that operators get about versions of the
// weights.
type WeightsHistory struct {
	world        *World
	newest       uint64
	since        map[uint64]int64 // by version: time from which it was certainly in force
	Acknowledged int
}

// NewWeightsHistory starts the history of a world without weights.
func NewWeightsHistory(world *World) *WeightsHistory {
	return &WeightsHistory{world: world, since: map[uint64]int64{}}
}

func (h *WeightsHistory) acknowledged(version uint64) {
	h.Acknowledged++
	if _, ok := h.since[version]; !ok {
		h.since[version] = h.world.now
	}
	h.newest = max(h.newest, version)
}

// newestAt returns the newest version that was certainly in force before a time.
func (h *WeightsHistory) newestAt(at int64) uint64 {
	for v := h.newest; v > 0; v-- {
		if since, ok := h.since[v]; ok && since < at {
			return v
		}
	}
	return 0
}

// WeightsOperator adds one version after the other and sends each until it is acknowledged.
type WeightsOperator struct {
	*Host
	cluster *Cluster
	history *WeightsHistory
	Pause   int64
	version uint64
	sends   int
}

// NewWeightsOperator adds an operator.
func NewWeightsOperator(cluster *Cluster, name, zone string, h *WeightsHistory) *WeightsOperator {
	o := &WeightsOperator{cluster: cluster, history: h, Pause: 400_000}
	o.Host = cluster.world.NewHost(name, zone, func() { o.After(cluster.world.Rng.Int63n(o.Pause)+1, o.next) })
	return o
}

// next adds a version newer than all acknowledged ones.
func (o *WeightsOperator) next() {
	o.version = max(o.version, o.history.newest) + 1
	o.sends = 0
	o.send()
}

func (o *WeightsOperator) send() {
	o.sends++
	nodes := o.cluster.Nodes
	node := nodes[o.cluster.world.Rng.Intn(len(nodes))]
	version, from := o.version, o.cluster.world.now
	Call(o.Host, node.Host, version, operatorTimeoutUS,
		func(version uint64, answer func(Reply)) {
			node.Edit(route.WeightsKey, changeWeights(simModel, version), answer)
		},
		func(r Reply) { o.answered(version, r, from) },
		o.retry)
}

func (o *WeightsOperator) retry() {
	o.After(int64(min(o.sends, operatorMaxRetryFactor))*operatorRetryDelayUS, o.send)
}

func (o *WeightsOperator) answered(version uint64, answer Reply, from int64) {
	if answer.Outcome != OutcomeAccepted {
		o.retry()
		return
	}
	if floor := o.history.newestAt(from); answer.Version < floor {
		o.cluster.world.Violation("older weights", "version %d was confirmed for a request sent at %d, but %d was in force before", answer.Version, from, floor)
	}
	o.history.acknowledged(version)
	o.After(o.Pause/2+o.cluster.world.Rng.Int63n(o.Pause), o.next)
}
