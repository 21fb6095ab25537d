package sim

// Fault is a kind of control-node failure that is injected repeatedly during a day.
type Fault string

// Faults of control nodes.
const (
	FaultKill            Fault = "kills"
	FaultKillAll         Fault = "herd"
	FaultPowerLoss       Fault = "power"
	FaultFreeze          Fault = "freezes"
	FaultPartition       Fault = "cuts"
	FaultOneWay          Fault = "one-way"
	FaultLossyLinks      Fault = "lossy"
	FaultSlowDisks       Fault = "slow-disks"
	FaultSlowLinks       Fault = "slow-links"
	FaultRestartOthers   Fault = "amnesia"   // one node is partitioned from the others, which all restart at once and lose what they held in memory
	FaultPartialAppend   Fault = "torn"      // a node is killed after its changes reached only some of the others
	FaultLeave           Fault = "polite"    // a node gives up its slots and then stops
	FaultLostLeaseGrants Fault = "forgetful" // voters restart and lose the lease grants in their memory, while one that waits for a lease to end does not
	FaultReplacement     Fault = "replaced"  // machines are lost with their disks, and an operator adds empty ones in their place
	FaultSelfHealing     Fault = "healed"    // machines lose their disks, are replaced, or return after a replacement, without an operator
	FaultAll             Fault = "everything"
)

// ClusterFaults lists all faults.
var ClusterFaults = []Fault{
	FaultKill, FaultKillAll, FaultPowerLoss, FaultFreeze, FaultPartition, FaultOneWay, FaultLossyLinks, FaultSlowDisks, FaultSlowLinks,
	FaultRestartOthers, FaultPartialAppend, FaultReplacement, FaultLeave, FaultLostLeaseGrants, FaultSelfHealing, FaultAll,
}

// singleFaults are the faults from which FaultAll draws.
var singleFaults = []Fault{
	FaultKill, FaultKillAll, FaultPowerLoss, FaultFreeze, FaultPartition, FaultOneWay, FaultSlowDisks, FaultSlowLinks,
	FaultRestartOthers, FaultPartialAppend, FaultReplacement, FaultLeave, FaultLostLeaseGrants,
}

// InjectFaults injects a fault repeatedly until a true time, then ends all faults.
func (c *Cluster) InjectFaults(fault Fault, until int64) {
	world := c.world
	c.selfHealing = fault == FaultSelfHealing
	if fault == FaultLossyLinks || fault == FaultAll {
		world.LossPermille, world.DuplicatePermille = 30, 30
	}
	world.At(world.now+1_500_000, func() { c.injectNext(fault, until) })
	world.At(until, c.endFaults)
}

func (c *Cluster) injectNext(fault Fault, until int64) {
	world := c.world
	if world.now >= until {
		return
	}
	drawn := fault
	if fault == FaultAll {
		drawn = pick(world, singleFaults)
	}
	c.injectFault(drawn)
	pause := int64(200_000)
	if world.Rng.Intn(2) == 0 {
		pause = 2_500_000 // long enough for the cluster to recover between two faults
	}
	world.At(world.now+pause+world.Rng.Int63n(2_000_000), func() { c.injectNext(fault, until) })
}

// endFaults ends all faults and starts every node, except machines that were removed.
func (c *Cluster) endFaults() {
	c.powerLossArmed = false
	c.world.LossPermille, c.world.DuplicatePermille = 0, 0
	c.world.HealAll()
	for _, node := range c.Nodes {
		node.Disk.SyncDelayUS = 0
		node.Thaw()
		if !node.removed {
			node.Start()
		}
	}
}

// injectFault injects a fault once, at a randomly chosen control node or at all of them.
func (c *Cluster) injectFault(fault Fault) {
	node := c.Nodes[c.world.Rng.Intn(len(c.Nodes))]
	switch fault {
	case FaultKill:
		c.killAndRestart(node)
	case FaultKillAll:
		c.killAndRestart(c.Nodes...)
	case FaultPowerLoss:
		c.losePower(node)
	case FaultFreeze:
		c.freeze(node)
	case FaultPartition:
		c.partition()
	case FaultOneWay:
		c.cutOneWay(node)
	case FaultSlowLinks:
		c.slowLinks(node)
	case FaultRestartOthers:
		c.restartOthers(node)
	case FaultPartialAppend:
		c.killWhilePartitioned(node)
	case FaultLostLeaseGrants:
		c.loseLeaseGrants(node)
	case FaultLeave:
		c.leave(node)
	case FaultReplacement:
		c.replaceVoterUnderFaults()
	case FaultSelfHealing:
		c.disruptOneMachine()
	case FaultSlowDisks:
		c.slowDisks()
	}
}

// restartSoon restarts each node within about two seconds, at a time of its own.
func (c *Cluster) restartSoon(nodes ...*ControlNode) {
	world := c.world
	for _, node := range nodes {
		world.At(world.now+50_000+world.Rng.Int63n(2_000_000), node.restart)
	}
}

func (c *Cluster) killAndRestart(nodes ...*ControlNode) {
	for _, node := range nodes {
		node.Kill()
	}
	c.restartSoon(nodes...)
}

// losePower cuts the power of one node or of all: at once, or just after the next
// acknowledgement while disks are slow, which loses a change that was acknowledged without a
// sync.
func (c *Cluster) losePower(node *ControlNode) {
	if c.world.Rng.Intn(2) == 0 {
		for _, node := range c.Nodes {
			node.Disk.SyncDelayUS = 40_000
		}
		c.powerLossArmed = true
		return
	}
	nodes := []*ControlNode{node}
	if c.world.Rng.Intn(3) == 0 {
		nodes = c.Nodes
	}
	for _, node := range nodes {
		node.LosePower()
	}
	c.restartSoon(nodes...)
}

func (c *Cluster) freeze(node *ControlNode) {
	node.Freeze()
	c.world.At(c.world.now+100_000+c.world.Rng.Int63n(4_000_000), node.Thaw)
}

func (c *Cluster) partition() {
	world := c.world
	world.HealAll()
	side := world.Rng.Intn(1 << len(c.Nodes)) // one bit for each node
	for i, one := range c.Nodes {
		for j, other := range c.Nodes {
			if side>>i&1 != side>>j&1 {
				world.Cut(one.Name, other.Name)
			}
		}
	}
	world.Notef("control nodes partitioned: %b", side)
}

func (c *Cluster) cutOneWay(node *ControlNode) {
	world := c.world
	world.HealAll()
	for _, other := range c.Nodes {
		if world.Rng.Intn(2) == 0 {
			world.Cut(node.Name, other.Name)
		} else {
			world.Cut(other.Name, node.Name)
		}
	}
	world.Notef("%s: links cut one way", node.Name)
}

// slowLinks delays messages to and from a node. In half of the cases all messages to the node
// are delayed, and later its outbound links are cut.
func (c *Cluster) slowLinks(node *ControlNode) {
	world := c.world
	world.linkDelayUS = map[link]int64{}
	for _, other := range c.Nodes {
		if node != other && world.Rng.Intn(2) == 0 {
			world.linkDelayUS[link{node.Name, other.Name}] = world.Rng.Int63n(1_200_000)
		}
		if node != other && world.Rng.Intn(2) == 0 {
			world.linkDelayUS[link{other.Name, node.Name}] = world.Rng.Int63n(1_200_000)
		}
	}
	if world.Rng.Intn(2) == 0 {
		c.delayThenCutOutbound(node)
	}
}

func (c *Cluster) delayThenCutOutbound(node *ControlNode) {
	world := c.world
	for _, other := range c.Nodes {
		world.linkDelayUS[link{node.Name, other.Name}] = 0
		world.linkDelayUS[link{other.Name, node.Name}] = 900_000
	}
	world.At(world.now+1_300_000, func() {
		for _, other := range c.Nodes {
			world.Cut(node.Name, other.Name)
		}
		world.Notef("%s: outbound links cut, inbound messages delayed", node.Name)
	})
	world.At(world.now+3_500_000, world.HealAll)
}

// restartOthers restarts all nodes but one at once, while that one is partitioned from them.
func (c *Cluster) restartOthers(node *ControlNode) {
	world := c.world
	world.HealAll()
	world.Notef("%s is partitioned, the others restart", node.Name)
	for _, other := range c.Nodes {
		if node == other {
			continue
		}
		world.CutBoth(node.Name, other.Name)
		other.Kill()
		world.At(world.now+1000+world.Rng.Int63n(30_000), other.restart)
	}
}

// killWhilePartitioned kills a node whose changes reached only some of the others.
func (c *Cluster) killWhilePartitioned(node *ControlNode) {
	world := c.world
	world.HealAll()
	for _, other := range c.Nodes {
		if world.Rng.Intn(3) > 0 {
			world.Cut(node.Name, other.Name)
		}
	}
	world.At(world.now+20_000+world.Rng.Int63n(100_000), func() {
		node.Kill()
		world.HealAll()
	})
	world.At(world.now+400_000+world.Rng.Int63n(4_000_000), node.restart)
}

// loseLeaseGrants cuts one node off from the leader, so that it waits for the leader's lease
// to end. Then the leader is partitioned from all nodes, and the other voters restart and lose
// the lease grants that they held in memory.
func (c *Cluster) loseLeaseGrants(leader *ControlNode) {
	world := c.world
	world.HealAll()
	waiting := c.Nodes[world.Rng.Intn(len(c.Nodes))]
	if waiting == leader {
		return
	}
	world.CutBoth(leader.Name, waiting.Name)
	world.At(world.now+1_200_000+world.Rng.Int63n(600_000), func() {
		world.Notef("%s is partitioned, the others restart without its lease grants", leader.Name)
		for _, other := range c.Nodes {
			if other == leader {
				continue
			}
			world.CutBoth(leader.Name, other.Name)
			if other != waiting {
				other.Kill()
				world.At(world.now+1_000, other.restart)
			}
		}
	})
}

// leave shuts a node down gracefully: it gives up its slots first.
func (c *Cluster) leave(node *ControlNode) {
	if !node.up || node.frozen || node.node == nil {
		return
	}
	world := c.world
	world.Notef("%s shuts down gracefully", node.Name)
	node.handle(node.node.Leave(node.Clock()))
	node.After(20_000+world.Rng.Int63n(200_000), node.Kill)
	world.At(world.now+300_000+world.Rng.Int63n(1_000_000), node.restart)
}

// replaceVoterUnderFaults replaces a machine, in half of the cases together with another
// fault.
func (c *Cluster) replaceVoterUnderFaults() {
	c.replaceVoter()
	if c.world.Rng.Intn(2) == 0 {
		c.injectFault([]Fault{FaultKill, FaultFreeze, FaultPartition}[c.world.Rng.Intn(3)])
	}
}

func (c *Cluster) slowDisks() {
	for _, node := range c.Nodes {
		node.Disk.SyncDelayUS = 0
		if c.world.Rng.Intn(3) == 0 {
			node.Disk.SyncDelayUS = c.world.Rng.Int63n(3_000_000)
		}
	}
}

// changeAcknowledged is called when a client has just received the acknowledgement of a
// change.
func (c *Cluster) changeAcknowledged() {
	if !c.powerLossArmed {
		return
	}
	c.powerLossArmed = false
	for _, node := range c.Nodes {
		node.LosePower()
		node.Disk.SyncDelayUS = 0
		c.world.At(c.world.now+50_000+c.world.Rng.Int63n(1_000_000), node.restart)
	}
}
