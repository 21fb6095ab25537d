package sim

// Fault is a kind of failure that Core's days bring about.
type Fault string

// The failures of control nodes.
const (
	FaultKill              Fault = "kills"
	FaultKillAll           Fault = "herd"
	FaultPowerLoss         Fault = "power"
	FaultFreeze            Fault = "freezes"
	FaultPartition         Fault = "cuts"
	FaultOneWay            Fault = "one-way"
	FaultLossyLinks        Fault = "lossy"
	FaultSlowDisks         Fault = "slow-disks"
	FaultSlowLinks         Fault = "slow-links"
	FaultForgottenPromises Fault = "amnesia"   // all but one restart at once while that one is cut off
	FaultPartialAppend     Fault = "torn"      // changes that reached only some, then kills
	FaultLeave             Fault = "polite"    // stops that give the slots up first
	FaultForgottenLeader   Fault = "forgetful" // voters restart while one that waits for its chance does not
	FaultReplacement       Fault = "replaced"  // machines lose their disks and come back empty, others are added in their place
	FaultSelfHealing       Fault = "healed"    // machines come back empty, are replaced, or return after that, and no operator is there
	FaultAll               Fault = "everything"
)

// CoreFaults lists them all.
var ClusterFaults = []Fault{FaultKill, FaultKillAll, FaultPowerLoss, FaultFreeze, FaultPartition, FaultOneWay, FaultLossyLinks, FaultSlowDisks, FaultSlowLinks, FaultForgottenPromises, FaultPartialAppend, FaultReplacement, FaultLeave, FaultForgottenLeader, FaultSelfHealing, FaultAll}

// Plague brings about a fault again and again until a true time, then mends all.
func (c *Cluster) InjectFaults(fault Fault, until int64) {
	world := c.world
	c.selfHealing = fault == FaultSelfHealing
	if fault == FaultLossyLinks || fault == FaultAll {
		world.LossPermille, world.DuplicatePermille = 30, 30
	}
	all := []Fault{FaultKill, FaultKillAll, FaultPowerLoss, FaultFreeze, FaultPartition, FaultOneWay, FaultSlowDisks, FaultSlowLinks, FaultForgottenPromises, FaultPartialAppend, FaultReplacement, FaultLeave, FaultForgottenLeader}
	var next func()
	next = func() {
		if world.now >= until {
			return
		}
		g := fault
		if fault == FaultAll {
			g = all[world.Rng.Intn(len(all))]
		}
		c.injectFault(g)
		pause := int64(200_000)
		if world.Rng.Intn(2) == 0 {
			pause = 2_500_000 // long enough for life to go on between two strikes
		}
		world.At(world.now+pause+world.Rng.Int63n(2_000_000), next)
	}
	world.At(world.now+1_500_000, next)
	world.At(until, func() {
		c.powerLossArmed = false
		world.LossPermille, world.DuplicatePermille = 0, 0
		world.HealAll()
		for _, node := range c.Nodes {
			node.Disk.SyncDelayUS = 0
			node.Thaw()
			if !node.removed {
				node.Start()
			}
		}
	})
}

func (c *Cluster) injectFault(fault Fault) {
	world := c.world
	node := c.Nodes[world.Rng.Intn(len(c.Nodes))]
	back := func(nodes ...*ControlNode) {
		for _, node := range nodes {
			world.At(world.now+50_000+world.Rng.Int63n(2_000_000), node.restart)
		}
	}
	switch fault {
	case FaultKill:
		node.Kill()
		back(node)
	case FaultKillAll:
		for _, node := range c.Nodes {
			node.Kill()
		}
		back(c.Nodes...)
	case FaultPowerLoss:
		if world.Rng.Intn(2) == 0 {
			// Everybody's power goes just after an acknowledgement, while disks
			// are slow: what was acknowledged without a sync is gone.
			for _, node := range c.Nodes {
				node.Disk.SyncDelayUS = 40_000
			}
			c.powerLossArmed = true
			return
		}
		nodes := []*ControlNode{node}
		if world.Rng.Intn(3) == 0 {
			nodes = c.Nodes
		}
		for _, node := range nodes {
			node.LosePower()
		}
		back(nodes...)
	case FaultFreeze:
		node.Freeze()
		world.At(world.now+100_000+world.Rng.Int63n(4_000_000), node.Thaw)
	case FaultPartition:
		world.HealAll()
		side := world.Rng.Intn(1 << len(c.Nodes))
		for i, one := range c.Nodes {
			for j, other := range c.Nodes {
				if side>>i&1 != side>>j&1 {
					world.Cut(one.Name, other.Name)
				}
			}
		}
		world.Notef("core cut %b", side)
	case FaultOneWay:
		world.HealAll()
		for _, other := range c.Nodes {
			if world.Rng.Intn(2) == 0 {
				world.Cut(node.Name, other.Name)
			} else {
				world.Cut(other.Name, node.Name)
			}
		}
		world.Notef("%s cut one way", node.Name)
	case FaultSlowLinks:
		world.linkDelayUS = map[[2]string]int64{}
		for _, other := range c.Nodes {
			if node != other && world.Rng.Intn(2) == 0 {
				world.linkDelayUS[[2]string{node.Name, other.Name}] = world.Rng.Int63n(1_200_000)
			}
			if node != other && world.Rng.Intn(2) == 0 {
				world.linkDelayUS[[2]string{other.Name, node.Name}] = world.Rng.Int63n(1_200_000)
			}
		}
		if world.Rng.Intn(2) == 0 {
			// Answers lag behind, then nothing goes out any more: what still
			// comes in is old.
			for _, other := range c.Nodes {
				world.linkDelayUS[[2]string{node.Name, other.Name}] = 0
				world.linkDelayUS[[2]string{other.Name, node.Name}] = 900_000
			}
			world.At(world.now+1_300_000, func() {
				for _, other := range c.Nodes {
					world.Cut(node.Name, other.Name)
				}
				world.Notef("%s speaks to nobody, and hears late", node.Name)
			})
			world.At(world.now+3_500_000, world.HealAll)
		}
	case FaultForgottenPromises:
		world.HealAll()
		world.Notef("%s cut off, the others restart", node.Name)
		for _, other := range c.Nodes {
			if node == other {
				continue
			}
			world.CutBoth(node.Name, other.Name)
			other.Kill()
			world.At(world.now+1000+world.Rng.Int63n(30_000), other.restart)
		}
	case FaultPartialAppend:
		world.HealAll()
		for _, other := range c.Nodes {
			if world.Rng.Intn(3) > 0 {
				world.Cut(node.Name, other.Name) // its changes reach nobody, or one
			}
		}
		world.At(world.now+20_000+world.Rng.Int63n(100_000), func() {
			node.Kill()
			world.HealAll()
		})
		world.At(world.now+400_000+world.Rng.Int63n(4_000_000), node.restart)
	case FaultForgottenLeader:
		// One node hears nothing of an owner and waits for its lease to end;
		// then the owner is cut off and the others forget what they promised.
		world.HealAll()
		other := c.Nodes[world.Rng.Intn(len(c.Nodes))]
		if other == node {
			return
		}
		world.CutBoth(node.Name, other.Name)
		world.At(world.now+1_200_000+world.Rng.Int63n(600_000), func() {
			world.Notef("%s is cut off and forgotten", node.Name)
			for _, x := range c.Nodes {
				if x == node {
					continue
				}
				world.CutBoth(node.Name, x.Name)
				if x != other {
					x.Kill()
					world.At(world.now+1_000, x.restart)
				}
			}
		})
	case FaultLeave:
		if !node.up || node.frozen || node.node == nil {
			return
		}
		world.Notef("%s leaves politely", node.Name)
		node.handle(node.node.Leave(node.Clock()))
		node.After(20_000+world.Rng.Int63n(200_000), node.Kill)
		world.At(world.now+300_000+world.Rng.Int63n(1_000_000), node.restart)
	case FaultReplacement:
		c.replaceVoter()
		if world.Rng.Intn(2) == 0 {
			c.injectFault([]Fault{FaultKill, FaultFreeze, FaultPartition}[world.Rng.Intn(3)])
		}
	case FaultSelfHealing:
		c.strikeOneMachine()
	case FaultSlowDisks:
		for _, node := range c.Nodes {
			node.Disk.SyncDelayUS = 0
			if world.Rng.Intn(3) == 0 {
				node.Disk.SyncDelayUS = world.Rng.Int63n(3_000_000)
			}
		}
	}
}

// acked is called when a client has just been told that its change is in force.
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
