package sim

import (
	"fmt"

	"violetthread/quorum"
	"violetthread/wal"
)

// Cluster is the set of control nodes of a world. Its function fields are hooks with which
// directed days drop messages, end processes at chosen moments, or observe the cluster.
type Cluster struct {
	Nodes     []*ControlNode
	world     *World
	voterSet  quorum.VoterSet // initial voter set
	logConfig wal.Config

	generationUS int64 // how long a generation of claims stays the newest
	leaseUS      int64 // lease of a slot's leader, 0 for the default
	selfHealing  bool  // control nodes admit each other without an operator

	replacing      bool   // an operator is changing the voter set
	powerLossArmed bool   // all nodes lose power at the next acknowledgement
	incarnations   uint64 // number drawn so far, besides the initial ones

	Replacements  int   // changes of the voter set by an operator
	Joins         int   // machines that were admitted
	SlowestJoinUS int64 // longest time from a machine's start until all slots were recovered with it

	// onNewNode is called for a new machine before its first start, onBoot at each start.
	onNewNode func(*ControlNode)
	onBoot    func(*ControlNode)
	// onMessage is called for every message between voters when it is sent.
	onMessage func(receiver *ControlNode, message quorum.Message)
	// dropsMessage and losesStep report whether a message, or a step of a configuration
	// request, is lost.
	dropsMessage func(quorum.Message) bool
	losesStep    func(RequestStep) bool
	// beforeResult is called before a node returns an operation's result. beforeSynced is
	// called when records are on the disk and the voter has not been notified yet. Both return
	// true if they ended the process.
	beforeResult func(*ControlNode, quorum.Result) bool
	beforeSynced func(*ControlNode) bool
	// beforeCheckpointRecord is called before each record of a checkpoint with the number of
	// records written and the total, and returns true if it ended the process. If it is set,
	// checkpoints are written record by record.
	beforeCheckpointRecord func(node *ControlNode, written, of int) bool
}

// smallLog is small enough for checkpoints to be written within a simulated day.
var smallLog = wal.Config{SegmentCount: 10, SegmentBytes: 18 << 10}

// zones are the zones of all simulated worlds.
var zones = []string{"north", "east", "south", "west"}

// NewCluster adds the given number of control nodes, all of them voters.
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

// Start starts all control nodes.
func (c *Cluster) Start() {
	for _, node := range c.Nodes {
		node.Start()
	}
}

// newNode adds a machine with an empty disk that is not in any voter set yet.
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

// newIncarnation returns a new incarnation, for a machine whose disk was emptied.
func (c *Cluster) newIncarnation() uint64 {
	c.incarnations++
	return 1000 + c.incarnations
}

// nodeNamed returns the control node with a name, or nil.
func (c *Cluster) nodeNamed(name string) *ControlNode {
	for _, node := range c.Nodes {
		if node.Name == name {
			return node
		}
	}
	return nil
}

// currentVoters returns the newest voter set that any machine has, and the machines in it.
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

// newestGeneration returns the newest generation of claims known to any control node.
func (c *Cluster) newestGeneration() (newest uint64) {
	for _, node := range c.Nodes {
		newest = max(newest, node.generation)
	}
	return newest
}

// LeaderOf returns the control node that currently holds the leader's lease for a key, or nil.
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

// checkOneLeader checks that no slot has two leaders with valid leases at the same instant.
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
				c.world.Violation("two leaders", "slot %d: %s and %s", i, o, node.Name)
			}
			leaders[i] = node.Name
		}
	}
}
