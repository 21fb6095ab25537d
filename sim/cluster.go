package sim

import (
	"fmt"

	"violetthread/quorum"
	"violetthread/wal"
)

// Cluster is the control nodes of a world. Its function fields are for directed days: they
// let a day lose messages, end processes at chosen moments, or watch.
type Cluster struct {
	Nodes     []*ControlNode
	world     *World
	voterSet  quorum.VoterSet // as founded
	logConfig wal.Config

	generationUS int64 // how long a generation of claims is the newest
	leaseUS      int64 // of a slot's leader, 0 for the default
	selfHealing  bool  // control nodes admit each other, without an operator

	replacing      bool   // an operator is changing the voter set
	powerLossArmed bool   // all lose their power at the next acknowledgement
	incarnations   uint64 // drawn so far, beside the first ones

	Replacements  int   // how often an operator changed the voter set
	Joins         int   // how often a machine was admitted
	SlowestJoinUS int64 // from its start until all slots were recovered with it

	// onNewNode is called for a new machine before its first start, onBoot at each start.
	onNewNode func(*ControlNode)
	onBoot    func(*ControlNode)
	// onMessage sees every message between voters when it is sent.
	onMessage func(receiver *ControlNode, message quorum.Message)
	// dropsMessage and losesStep tell whether a message, or a step of an order, gets lost.
	dropsMessage func(quorum.Message) bool
	losesStep    func(RequestStep) bool
	// beforeResult is called before a node tells an operation's result, beforeSynced when
	// records are on its disk and its voter does not know yet. They return true if they
	// ended the process.
	beforeResult func(*ControlNode, quorum.Result) bool
	beforeSynced func(*ControlNode) bool
	// beforeCheckpointRecord is called before each record of a checkpoint with how many of
	// it are written, and returns true if it ended the process. Checkpoints are written
	// record by record then.
	beforeCheckpointRecord func(node *ControlNode, written, of int) bool
}

// smallLog is so small that days of control nodes write checkpoints.
var smallLog = wal.Config{SegmentCount: 10, SegmentBytes: 18 << 10}

// zones are those of all simulated worlds.
var zones = []string{"north", "east", "south", "west"}

// NewCluster adds so many control nodes, which are the voters.
func NewCluster(world *World, size int) *Cluster {
	cluster := &Cluster{world: world, generationUS: 800_000, logConfig: smallLog}
	cluster.voterSet.Revision = quorum.FirstRevision(7)
	for i := 0; i < size; i++ {
		node := cluster.newNode()
		cluster.voterSet.Voters = append(cluster.voterSet.Voters, quorum.Voter{Name: node.Name, Addr: node.Name, Incarnation: node.incarnation, Number: uint16(i + 1)})
		node.voterSet = cluster.voterSet
	}
	for _, node := range cluster.Nodes {
		node.voterSet = cluster.voterSet
	}
	world.invariants = append(world.invariants, cluster.checkOneLeader)
	return cluster
}

// Start starts all nodes.
func (c *Cluster) Start() {
	for _, node := range c.Nodes {
		node.Start()
	}
}

// newNode adds a machine with an empty disk that is in no voter set yet.
func (c *Cluster) newNode() *ControlNode {
	i := len(c.Nodes)
	node := &ControlNode{cluster: c, Disk: NewDisk(c.world), incarnation: uint64(100 + i)}
	node.Host = c.world.NewHost(fmt.Sprint("registrar", i), zones[i%len(zones)], node.start)
	c.Nodes = append(c.Nodes, node)
	if c.onNewNode != nil {
		c.onNewNode(node)
	}
	return node
}

// newIncarnation draws the incarnation of an emptied disk.
func (c *Cluster) newIncarnation() uint64 {
	c.incarnations++
	return 1000 + c.incarnations
}

// nodeNamed is the control node of a name, nil if there is none.
func (c *Cluster) nodeNamed(name string) *ControlNode {
	for _, node := range c.Nodes {
		if node.Name == name {
			return node
		}
	}
	return nil
}

// currentVoters are the machines in the newest voter set that any of them has.
func (c *Cluster) currentVoters() (quorum.VoterSet, []*ControlNode) {
	var voterSet quorum.VoterSet
	for _, node := range c.Nodes {
		if node.node != nil && node.node.VoterSet().Revision > voterSet.Revision {
			voterSet = node.node.VoterSet()
		}
	}
	var out []*ControlNode
	for _, node := range c.Nodes {
		if voter, ok := voterSet.Find(node.Name); ok && voter.Incarnation == node.incarnation {
			out = append(out, node)
		}
	}
	return voterSet, out
}

// newestGeneration is the newest generation of claims that any control node heard of.
func (c *Cluster) newestGeneration() (newest uint64) {
	for _, node := range c.Nodes {
		newest = max(newest, node.generation)
	}
	return newest
}

// LeaderOf is the control node that answers for a key under a lease just now, nil for none.
func (c *Cluster) LeaderOf(key string) *ControlNode {
	for _, node := range c.Nodes {
		if !node.up || node.frozen || node.node == nil {
			continue
		}
		if _, ok := node.node.ReadUnderLease(node.Clock(), key); ok {
			return node
		}
	}
	return nil
}

// checkOneLeader checks that no slot has two leaders under live leases at one instant.
func (c *Cluster) checkOneLeader() {
	if c.world.Events%8 != 0 {
		return
	}
	leaders := map[int]string{}
	for _, node := range c.Nodes {
		if !node.up || node.node == nil {
			continue
		}
		for i, status := range node.node.Status(node.Clock()) {
			if !status.IsLeader {
				continue
			}
			if o := leaders[i]; o != "" {
				c.world.Violation("two owners", "slot %d: %s and %s", i, o, node.Name)
			}
			leaders[i] = node.Name
		}
	}
}
