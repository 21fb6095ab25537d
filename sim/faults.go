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
func (c *Cluster) InjectFaults(f Fault, until int64) {
	world := c.world
	c.selfHealing = f == FaultSelfHealing
	if f == FaultLossyLinks || f == FaultAll {
		world.LossPermille, world.DuplicatePermille = 30, 30
	}
	all := []Fault{FaultKill, FaultKillAll, FaultPowerLoss, FaultFreeze, FaultPartition, FaultOneWay, FaultSlowDisks, FaultSlowLinks, FaultForgottenPromises, FaultPartialAppend, FaultReplacement, FaultLeave, FaultForgottenLeader}
	var next func()
	next = func() {
		if world.now >= until {
			return
		}
		g := f
		if f == FaultAll {
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
		for _, r := range c.Nodes {
			r.Disk.SyncDelayUS = 0
			r.Thaw()
			if !r.removed {
				r.Start()
			}
		}
	})
}

func (c *Cluster) injectFault(f Fault) {
	world := c.world
	r := c.Nodes[world.Rng.Intn(len(c.Nodes))]
	back := func(rs ...*ControlNode) {
		for _, r := range rs {
			world.At(world.now+50_000+world.Rng.Int63n(2_000_000), r.restart)
		}
	}
	switch f {
	case FaultKill:
		r.Kill()
		back(r)
	case FaultKillAll:
		for _, r := range c.Nodes {
			r.Kill()
		}
		back(c.Nodes...)
	case FaultPowerLoss:
		if world.Rng.Intn(2) == 0 {
			// Everybody's power goes just after an acknowledgement, while disks
			// are slow: what was acknowledged without a sync is gone.
			for _, r := range c.Nodes {
				r.Disk.SyncDelayUS = 40_000
			}
			c.powerLossArmed = true
			return
		}
		rs := []*ControlNode{r}
		if world.Rng.Intn(3) == 0 {
			rs = c.Nodes
		}
		for _, r := range rs {
			r.LosePower()
		}
		back(rs...)
	case FaultFreeze:
		r.Freeze()
		world.At(world.now+100_000+world.Rng.Int63n(4_000_000), r.Thaw)
	case FaultPartition:
		world.HealAll()
		side := world.Rng.Intn(1 << len(c.Nodes))
		for i, a := range c.Nodes {
			for j, b := range c.Nodes {
				if side>>i&1 != side>>j&1 {
					world.Cut(a.Name, b.Name)
				}
			}
		}
		world.Notef("core cut %b", side)
	case FaultOneWay:
		world.HealAll()
		for _, b := range c.Nodes {
			if world.Rng.Intn(2) == 0 {
				world.Cut(r.Name, b.Name)
			} else {
				world.Cut(b.Name, r.Name)
			}
		}
		world.Notef("%s cut one way", r.Name)
	case FaultSlowLinks:
		world.linkDelayUS = map[[2]string]int64{}
		for _, b := range c.Nodes {
			if r != b && world.Rng.Intn(2) == 0 {
				world.linkDelayUS[[2]string{r.Name, b.Name}] = world.Rng.Int63n(1_200_000)
			}
			if r != b && world.Rng.Intn(2) == 0 {
				world.linkDelayUS[[2]string{b.Name, r.Name}] = world.Rng.Int63n(1_200_000)
			}
		}
		if world.Rng.Intn(2) == 0 {
			// Answers lag behind, then nothing goes out any more: what still
			// comes in is old.
			for _, b := range c.Nodes {
				world.linkDelayUS[[2]string{r.Name, b.Name}] = 0
				world.linkDelayUS[[2]string{b.Name, r.Name}] = 900_000
			}
			world.At(world.now+1_300_000, func() {
				for _, b := range c.Nodes {
					world.Cut(r.Name, b.Name)
				}
				world.Notef("%s speaks to nobody, and hears late", r.Name)
			})
			world.At(world.now+3_500_000, world.HealAll)
		}
	case FaultForgottenPromises:
		world.HealAll()
		world.Notef("%s cut off, the others restart", r.Name)
		for _, b := range c.Nodes {
			if r == b {
				continue
			}
			world.CutBoth(r.Name, b.Name)
			b.Kill()
			world.At(world.now+1000+world.Rng.Int63n(30_000), b.restart)
		}
	case FaultPartialAppend:
		world.HealAll()
		for _, b := range c.Nodes {
			if world.Rng.Intn(3) > 0 {
				world.Cut(r.Name, b.Name) // its changes reach nobody, or one
			}
		}
		world.At(world.now+20_000+world.Rng.Int63n(100_000), func() {
			r.Kill()
			world.HealAll()
		})
		world.At(world.now+400_000+world.Rng.Int63n(4_000_000), r.restart)
	case FaultForgottenLeader:
		// One node hears nothing of an owner and waits for its lease to end;
		// then the owner is cut off and the others forget what they promised.
		world.HealAll()
		b := c.Nodes[world.Rng.Intn(len(c.Nodes))]
		if b == r {
			return
		}
		world.CutBoth(r.Name, b.Name)
		world.At(world.now+1_200_000+world.Rng.Int63n(600_000), func() {
			world.Notef("%s is cut off and forgotten", r.Name)
			for _, x := range c.Nodes {
				if x == r {
					continue
				}
				world.CutBoth(r.Name, x.Name)
				if x != b {
					x.Kill()
					world.At(world.now+1_000, x.restart)
				}
			}
		})
	case FaultLeave:
		if !r.up || r.frozen || r.node == nil {
			return
		}
		world.Notef("%s leaves politely", r.Name)
		r.handle(r.node.Leave(r.Clock()))
		r.After(20_000+world.Rng.Int63n(200_000), r.Kill)
		world.At(world.now+300_000+world.Rng.Int63n(1_000_000), r.restart)
	case FaultReplacement:
		c.replaceVoter()
		if world.Rng.Intn(2) == 0 {
			c.injectFault([]Fault{FaultKill, FaultFreeze, FaultPartition}[world.Rng.Intn(3)])
		}
	case FaultSelfHealing:
		c.strikeOneMachine()
	case FaultSlowDisks:
		for _, r := range c.Nodes {
			r.Disk.SyncDelayUS = 0
			if world.Rng.Intn(3) == 0 {
				r.Disk.SyncDelayUS = world.Rng.Int63n(3_000_000)
			}
		}
	}
}

// voters are the machines in the newest roster that any of them has.
func (c *Cluster) currentVoters() (quorum.VoterSet, []*ControlNode) {
	var ro quorum.VoterSet
	for _, r := range c.Nodes {
		if r.node != nil && r.node.VoterSet().Revision > ro.Revision {
			ro = r.node.VoterSet()
		}
	}
	var out []*ControlNode
	for _, r := range c.Nodes {
		if v, ok := ro.Find(r.Name); ok && v.Incarnation == r.incarnation {
			out = append(out, r)
		}
	}
	return ro, out
}

// replace takes a machine away for good, disk and all, and has an operator put an
// empty one in its place, until the step is taken.
func (c *Cluster) replaceVoter() {
	world := c.world
	ro, in := c.currentVoters()
	if c.replacing || len(in) < 4 {
		return
	}
	c.replacing = true
	old := in[world.Rng.Intn(len(in))]
	old.Kill()
	old.Disk.Wipe()
	old.removed = true
	n := c.newNode()
	n.Start()
	world.Notef("%s is to replace %s after step %d", n.Name, old.Name, ro.Step())
	op := world.NewHost("roster-operator-"+n.Name, "north", func() {})
	op.Start()
	var try func()
	try = func() {
		ro, in := c.currentVoters()
		if v, ok := ro.Find(n.Name); ok && v.Incarnation == n.incarnation {
			c.replacing = false
			c.Replacements++
			return
		}
		next, err := ro.Next(old.Name, &quorum.Voter{Name: n.Name, Incarnation: n.incarnation})
		if err != nil {
			world.Violation("roster", "%v", err)
			return
		}
		r := in[world.Rng.Intn(len(in))]
		Call(op, r.Host, quorum.Operation{Type: quorum.OpGet, Key: quorum.VoterSetKey}, 900_000, func(q quorum.Operation, rep func(quorum.Result)) { r.Forward(q, 0, rep) },
			func(a quorum.Result) {
				if a.Status != quorum.StatusDone {
					return
				}
				Call(op, r.Host, quorum.Operation{Type: quorum.OpPut, Key: quorum.VoterSetKey, Value: next.Bytes(), ExpectedRevision: a.Revision}, 900_000,
					func(q quorum.Operation, rep func(quorum.Result)) { r.Forward(q, 0, rep) }, func(quorum.Result) {}, func() {})
			}, func() {})
		op.After(300_000, try)
	}
	try()
}

// heal strikes one machine, once the last one struck has come back: it loses its disk, or
// its power, or goes and another comes; one that went may return, with its old disk.
func (c *Cluster) strikeOneMachine() {
	world := c.world
	ro, in := c.currentVoters()
	for _, r := range c.Nodes {
		if !r.removed && (!r.up || r.node == nil || r.node.VoterSet().Revision != ro.Revision || !r.node.AllSlotsRecovered()) {
			return
		}
	}
	if len(in) < 3 {
		return
	}
	r := in[world.Rng.Intn(len(in))]
	soon := world.now + 50_000 + world.Rng.Int63n(2_500_000)
	switch world.Rng.Intn(6) {
	case 0, 1:
		world.Notef("%s loses its disk", r.Name)
		r.loseDisk()
		world.At(soon, r.restart)
	case 2:
		world.Notef("%s goes, and another comes", r.Name)
		r.Kill()
		r.removed = true
		n := c.newNode()
		world.At(soon, n.Start)
	case 3:
		for _, o := range c.Nodes {
			if o.removed {
				world.Notef("%s returns with its old disk", o.Name)
				o.removed = false
				o.Start()
				return
			}
		}
		fallthrough
	case 4:
		r.LosePower()
		world.At(soon, r.restart)
	case 5:
		for _, o := range c.Nodes {
			o.LosePower()
			world.At(world.now+50_000+world.Rng.Int63n(300_000), o.restart)
		}
	}
}

// acked is called when a client has just been told that its change is in force.
func (c *Cluster) changeAcknowledged() {
	if !c.powerLossArmed {
		return
	}
	c.powerLossArmed = false
	for _, r := range c.Nodes {
		r.LosePower()
		r.Disk.SyncDelayUS = 0
		c.world.At(c.world.now+50_000+c.world.Rng.Int63n(1_000_000), r.restart)
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
func RunCluster(seed int64, f Fault, us int64) ClusterResult {
	world := NewWorld(seed)
	c := NewCluster(world, 4)
	c.Start()
	h := NewHistory(world, "plan")
	for i := 0; i < 3; i++ {
		NewRegisterClient(c, fmt.Sprint("operator", i), h, 60).Start()
	}
	// Keys that are seldom changed and often read show what surfaces late.
	for i := 0; i < 4; i++ {
		NewRegisterClient(c, fmt.Sprint("reader", i), NewHistory(world, fmt.Sprint("rare", i)), 8).Start()
	}
	cl, ho := NewClaimClients(c, 3), NewLeaseClients(c, 3)
	c.InjectFaults(f, us)
	ho.injectFaults(us)
	world.Run(us)
	n := h.Acknowledged
	for world.now < us+10_000_000 && h.Acknowledged == n && len(world.violations) == 0 {
		world.Run(world.now + 50_000)
	}
	d := ClusterResult{Acknowledged: h.Acknowledged, ClaimsWon: cl.Won, LateClaims: cl.Late, LeaseTerms: ho.Leases, Replacements: c.Replacements, RecoveryUS: world.now - us, Joins: c.Joins, SlowestJoinUS: c.SlowestJoinUS}
	if h.Acknowledged == n && len(world.violations) == 0 {
		world.Violation("not back", "no change was acknowledged within ten seconds after the last fault")
	}
	for _, r := range c.Nodes {
		d.Checkpoints += r.Checkpoints
	}
	d.Violations, d.Notes = world.violations, world.notes
	return d
}
