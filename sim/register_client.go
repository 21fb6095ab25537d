package sim

import (
	"fmt"

	"violetthread/quorum"
)

// RegisterClient is a client that writes and reads one key through any node.
type RegisterClient struct {
	*Host
	cluster      *Cluster
	history      *History
	operations   int // number sent so far
	writePercent int // percentage of writes
}

// NewRegisterClient adds a client with the given percentage of writes.
func NewRegisterClient(cluster *Cluster, name string, history *History, writePercent int) *RegisterClient {
	client := &RegisterClient{cluster: cluster, history: history, writePercent: writePercent}
	client.Host = cluster.world.NewHost(name, "north", func() { client.Every(40_000, client.operate) })
	return client
}

func (c *RegisterClient) operate() {
	world := c.cluster.world
	node := pick(world, c.cluster.Nodes)
	op := quorum.Operation{Type: quorum.OpGet, Key: c.history.key}
	c.operations++
	if world.Rng.Intn(100) < c.writePercent {
		op.Type, op.ExpectedRevision = quorum.OpPut, quorum.AnyRevision
		op.Value = []byte(fmt.Sprintf("%s-%d", c.Name, c.operations))
	}
	invoked := world.now
	Call(c.Host, node.Host, op, 900_000, node.serve, func(result quorum.Result) {
		if result.Status != quorum.StatusDone {
			return
		}
		isWrite := op.Type == quorum.OpPut
		c.history.add(observedOperation{invoked, world.now, result.Revision, string(result.Value), isWrite})
		if isWrite {
			c.cluster.changeAcknowledged()
		}
	}, func() {})
}
