package sim

import (
	"fmt"

	"violetthread/quorum"
	"violetthread/wal"
)

// Core is the control nodes of a world.
type Cluster struct {
	world        *World
	voterSet     quorum.VoterSet
	Nodes        []*ControlNode
	logConfig    wal.Config
	generationUS int64                     // how long an era of claims is the newest
	leaseUS      int64                     // of a slot owner's lease, 0 for the default
	onNewNode    func(*ControlNode)        // what a fleet adds to a machine
	onBoot       func(*ControlNode)        // what else runs on a machine, at each start
	dropsMessage func(quorum.Message) bool // messages that get lost, for directed days
	// answering is asked before a node tells of an operation's end, and whether its
	// process dies of it; synced likewise, when records are on its disk and before its
	// voter hears of that. Both are for directed days.
	beforeResult func(*ControlNode, quorum.Result) bool
	beforeSynced func(*ControlNode) bool
	losesStep    func(OrderStep) bool // steps of orders that get lost, for directed days
	// checkpointing is asked before each record of a checkpoint, how many of it are
	// written, and whether the process ends there; the parts are single records then.
	beforeCheckpointRecord func(r *ControlNode, written, of int) bool
	// echo is told of every message between voters, for directed days that repeat them.
	onMessage      func(to *ControlNode, m quorum.Message)
	replacing      bool   // an operator is changing the roster
	Replacements   int    // how often that was done
	powerLossArmed bool   // power goes at the next acknowledgement
	selfHealing    bool   // registrars let each other in, without an operator
	incarnations   uint64 // drawn so far, beside the first ones
	Joins          int    // how often a machine was let in
	SlowestJoinUS  int64  // from its start until all slots were firm with it
}

// A small ring, so that core days write checkpoints.
var smallLog = wal.Config{SegmentCount: 10, SegmentBytes: 18 << 10}

var zones = []string{"north", "east", "south", "west"}

// NewCore adds n control nodes.
func NewCluster(world *World, n int) *Cluster {
	cluster := &Cluster{world: world, generationUS: 800_000, logConfig: smallLog}
	cluster.voterSet.Revision = quorum.FirstRevision(7)
	for i := 0; i < n; i++ {
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

// Start boots all nodes.
func (c *Cluster) Start() {
	for _, node := range c.Nodes {
		node.Start()
	}
}

// newNode adds a machine with an empty disk that is in no roster yet.
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

// newInc draws the number of an emptied disk.
func (c *Cluster) newIncarnation() uint64 {
	c.incarnations++
	return 1000 + c.incarnations
}

// named is the control node of a name, nil if there is none.
func (c *Cluster) nodeNamed(name string) *ControlNode {
	for _, node := range c.Nodes {
		if node.Name == name {
			return node
		}
	}
	return nil
}

// voters are the machines in the newest roster that any of them has.
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

// newest is the newest era that any control node heard of.
func (c *Cluster) newestGeneration() (newest uint64) {
	for _, node := range c.Nodes {
		newest = max(newest, node.generation)
	}
	return newest
}

// Owner is the control node that vouches for a key just now, nil for none.
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

// oneOwner holds that no slot has two owners under live leases at one instant.
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
