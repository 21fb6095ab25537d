package sim

import (
	"fmt"

	"violetthread/quorum"
)

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

// replace takes a machine away for good, disk and all, and has an operator put an
// empty one in its place, until the step is taken.
func (c *Cluster) replaceVoter() {
	world := c.world
	voterSet, members := c.currentVoters()
	if c.replacing || len(members) < 4 {
		return
	}
	c.replacing = true
	old := members[world.Rng.Intn(len(members))]
	old.Kill()
	old.Disk.Wipe()
	old.removed = true
	newNode := c.newNode()
	newNode.Start()
	world.Notef("%s is to replace %s after step %d", newNode.Name, old.Name, voterSet.Step())
	host := world.NewHost("roster-operator-"+newNode.Name, "north", func() {})
	host.Start()
	var try func()
	try = func() {
		voterSet, members := c.currentVoters()
		if voter, ok := voterSet.Find(newNode.Name); ok && voter.Incarnation == newNode.incarnation {
			c.replacing = false
			c.Replacements++
			return
		}
		next, err := voterSet.Next(old.Name, &quorum.Voter{Name: newNode.Name, Incarnation: newNode.incarnation})
		if err != nil {
			world.Violation("roster", "%v", err)
			return
		}
		node := members[world.Rng.Intn(len(members))]
		Call(host, node.Host, quorum.Operation{Type: quorum.OpGet, Key: quorum.VoterSetKey}, 900_000, func(operation quorum.Operation, reply func(quorum.Result)) { node.Forward(operation, 0, reply) },
			func(result quorum.Result) {
				if result.Status != quorum.StatusDone {
					return
				}
				Call(host, node.Host, quorum.Operation{Type: quorum.OpPut, Key: quorum.VoterSetKey, Value: next.Bytes(), ExpectedRevision: result.Revision}, 900_000,
					func(operation quorum.Operation, reply func(quorum.Result)) { node.Forward(operation, 0, reply) }, func(quorum.Result) {}, func() {})
			}, func() {})
		host.After(300_000, try)
	}
	try()
}

// heal strikes one machine, once the last one struck has come back: it loses its disk, or
// its power, or goes and another comes; one that went may return, with its old disk.
func (c *Cluster) strikeOneMachine() {
	world := c.world
	voterSet, members := c.currentVoters()
	for _, node := range c.Nodes {
		if !node.removed && (!node.up || node.node == nil || node.node.VoterSet().Revision != voterSet.Revision || !node.node.AllSlotsRecovered()) {
			return
		}
	}
	if len(members) < 3 {
		return
	}
	node := members[world.Rng.Intn(len(members))]
	soon := world.now + 50_000 + world.Rng.Int63n(2_500_000)
	switch world.Rng.Intn(6) {
	case 0, 1:
		world.Notef("%s loses its disk", node.Name)
		node.loseDisk()
		world.At(soon, node.restart)
	case 2:
		world.Notef("%s goes, and another comes", node.Name)
		node.Kill()
		node.removed = true
		newNode := c.newNode()
		world.At(soon, newNode.Start)
	case 3:
		for _, other := range c.Nodes {
			if other.removed {
				world.Notef("%s returns with its old disk", other.Name)
				other.removed = false
				other.Start()
				return
			}
		}
		fallthrough
	case 4:
		node.LosePower()
		world.At(soon, node.restart)
	case 5:
		for _, other := range c.Nodes {
			other.LosePower()
			world.At(world.now+50_000+world.Rng.Int63n(300_000), other.restart)
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

// CoreDay is one simulated day of the control nodes under a fault. It returns
// what the clients were told, and what was broken, if anything.
type ClusterResult struct {
	Acknowledged, ClaimsWon, LateClaims, LeaseTerms, Replacements, Checkpoints, Joins int
	// Slowest is the longest that a machine took from its start to a firm place.
	SlowestJoinUS int64
	// Back is how long after the last fault was mended a change was acknowledged.
	RecoveryUS int64
	Violations []string
	Notes      []string
}

// RunCore runs one day.
func RunCluster(seed int64, fault Fault, durationUS int64) ClusterResult {
	world := NewWorld(seed)
	cluster := NewCluster(world, 4)
	cluster.Start()
	history := NewHistory(world, "plan")
	for i := 0; i < 3; i++ {
		NewRegisterClient(cluster, fmt.Sprint("operator", i), history, 60).Start()
	}
	// Keys that are seldom changed and often read show what surfaces late.
	for i := 0; i < 4; i++ {
		NewRegisterClient(cluster, fmt.Sprint("reader", i), NewHistory(world, fmt.Sprint("rare", i)), 8).Start()
	}
	cl, ho := NewClaimClients(cluster, 3), NewLeaseClients(cluster, 3)
	cluster.InjectFaults(fault, durationUS)
	ho.injectFaults(durationUS)
	world.Run(durationUS)
	n := history.Acknowledged
	for world.now < durationUS+10_000_000 && history.Acknowledged == n && len(world.violations) == 0 {
		world.Run(world.now + 50_000)
	}
	result := ClusterResult{Acknowledged: history.Acknowledged, ClaimsWon: cl.Won, LateClaims: cl.Late, LeaseTerms: ho.Leases, Replacements: cluster.Replacements, RecoveryUS: world.now - durationUS, Joins: cluster.Joins, SlowestJoinUS: cluster.SlowestJoinUS}
	if history.Acknowledged == n && len(world.violations) == 0 {
		world.Violation("not back", "no change was acknowledged within ten seconds after the last fault")
	}
	for _, node := range cluster.Nodes {
		result.Checkpoints += node.Checkpoints
	}
	result.Violations, result.Notes = world.violations, world.notes
	return result
}
