package sim

import (
	"fmt"

	"violetthread/quorum"
)

// RegisterClient is a client that changes and reads one key through any node.
type RegisterClient struct {
	*Host
	cluster    *Cluster
	history    *History
	operations int
	// puts is how many of a hundred operations change the key.
	writePercent int
}

// NewRegisterClient adds a client of which so many percent of the operations are writes.
func NewRegisterClient(cluster *Cluster, name string, history *History, puts int) *RegisterClient {
	o := &RegisterClient{cluster: cluster, history: history, writePercent: puts}
	o.Host = cluster.world.NewHost(name, "north", func() { o.Every(40_000, o.act) })
	return o
}

func (c *RegisterClient) act() {
	world := c.cluster.world
	node := c.cluster.Nodes[world.Rng.Intn(len(c.cluster.Nodes))]
	op := quorum.Operation{Type: quorum.OpGet, Key: c.history.key}
	c.operations++
	if world.Rng.Intn(100) < c.writePercent {
		op.Type, op.ExpectedRevision, op.Value = quorum.OpPut, quorum.AnyRevision, []byte(fmt.Sprintf("%s-%d", c.Name, c.operations))
	}
	from := world.now
	Call(c.Host, node.Host, op, 900_000, node.serve,
		func(result quorum.Result) {
			if result.Status == quorum.StatusDone {
				c.history.add(observedOperation{from, world.now, result.Revision, string(result.Value), op.Type == quorum.OpPut})
				if op.Type == quorum.OpPut {
					c.cluster.changeAcknowledged()
				}
			}
		}, func() {})
}
