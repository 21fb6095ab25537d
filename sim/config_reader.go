package sim

import (
	"violetthread/route"
)

// ConfigReader periodically reads the configuration at any node.
type ConfigReader struct {
	*Host
	cluster *Cluster
	history *ConfigHistory
	// Only restricts the nodes that it reads from, nil for any.
	Only []*ControlNode
}

// NewConfigReader adds a reader.
func NewConfigReader(cluster *Cluster, name, zone string, history *ConfigHistory, every int64) *ConfigReader {
	r := &ConfigReader{cluster: cluster, history: history}
	r.Host = cluster.world.NewHost(name, zone, func() { r.Every(every, r.read) })
	return r
}

func (r *ConfigReader) read() {
	nodes := r.Only
	if nodes == nil {
		nodes = r.cluster.Nodes
	}
	node := nodes[r.cluster.world.Rng.Intn(len(nodes))]
	r.readAt(node, func(bool) {})
}

// registerValue is a node's answer to a read of a register.
type registerValue struct {
	value []byte
	ok    bool
}

// readAt reads at one node, and reports whether it got an answer.
func (r *ConfigReader) readAt(node *ControlNode, done func(ok bool)) {
	from := r.cluster.world.now
	Call(r.Host, node.Host, 0, operatorTimeoutUS,
		func(_ int, reply func(registerValue)) {
			node.Read(route.ConfigKey, func(value []byte, _ uint64, ok bool) { reply(registerValue{value, ok}) })
		},
		func(a registerValue) {
			if a.ok {
				r.history.read(from, a.value)
			}
			done(a.ok)
		},
		func() { done(false) })
}
