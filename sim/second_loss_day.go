package sim

import (
	"fmt"
	"slices"
)

// Disruption is the event before a second loss: a first loss or planned work.
type Disruption string

// Disruptions before a second loss.
const (
	DisruptionDiskLoss    Disruption = "repaired disk"  // a machine loses its disk and comes back empty
	DisruptionPowerLoss   Disruption = "repaired power" // a machine loses its power and comes back
	DisruptionReplacement Disruption = "replacement"    // a new machine starts, and an old one leaves
	DisruptionLeave       Disruption = "leave"          // a machine shuts down gracefully and comes back
)

// Disruptions lists all disruptions.
var Disruptions = []Disruption{DisruptionDiskLoss, DisruptionPowerLoss, DisruptionReplacement, DisruptionLeave}

// Loss is a way in which machines are lost.
type Loss string

// Ways of losing machines.
const (
	LossOfPower        Loss = "power"           // the disk is kept
	LossOfDisk         Loss = "disk"            // the machine comes back empty
	LossOfDiskInOutage Loss = "disk, all power" // the same, while all other machines lose their power
)

// Losses lists all of them.
var Losses = []Loss{LossOfPower, LossOfDisk, LossOfDiskInOutage}

const (
	// lossStepUS is the interval between two instants of a sweep.
	lossStepUS = 50_000
	// lossWindowUS is the range of instants that is swept, from when a second loss is
	// tolerated.
	lossWindowUS = 3_000_000
	// lossRecoveryBoundUS limits the time from a second loss until every slot accepts changes
	// again.
	lossRecoveryBoundUS = 4_000_000
	// lossReturnUS is the time after which machines of the second loss come back.
	lossReturnUS = 1_500_000
)

// SecondLoss is one run: a disruption, and a second loss at an instant after it.
type SecondLoss struct {
	Nodes      int
	Disruption Disruption
	Loss       Loss
	Instant    int64 // time since a second loss is tolerated
}

func (l SecondLoss) String() string {
	return fmt.Sprintf("%d nodes, %s, then %s after %d us", l.Nodes, l.Disruption, l.Loss, l.Instant)
}

// SecondLossResult is the result of such a run.
type SecondLossResult struct {
	Acknowledged, Lost int
	// RecoveryUS is the time from the second loss until a change of every slot was
	// acknowledged.
	RecoveryUS int64
	// RejoinUS is the time from the return of the machines until all slots were recovered with
	// them.
	RejoinUS   int64
	Violations []string
	Notes      []string
}

// secondLossRun is the state of a run.
type secondLossRun struct {
	SecondLoss
	world  *ConfigWorld
	writer *SlotWriter
	// firstLossUntil is when the first loss stops counting, by the platform's rule.
	firstLossUntil int64
	// toleratedFrom is when a second loss is first tolerated.
	toleratedFrom int64
	lost          []*ControlNode
	result        SecondLossResult
}

// RunSecondLoss runs one disruption and second loss.
func RunSecondLoss(seed int64, loss SecondLoss) SecondLossResult {
	configWorld := NewConfigWorld(seed, loss.Nodes, ConfigFormat{})
	configWorld.Cluster.logConfig = smallLog
	configWorld.Cluster.selfHealing = true
	configWorld.Cluster.setTargetSize()
	s := &secondLossRun{SecondLoss: loss, world: configWorld, writer: NewSlotWriter(configWorld.Cluster)}
	configWorld.Cluster.Start()
	world := configWorld.World
	world.At(500_000, s.writer.Start)
	if _, ok := configWorld.Until(4_000_000, func() bool { return configWorld.AllRecovered() && s.writer.AcknowledgedSince(0) }); !ok {
		world.Violation("not started", "not every slot accepted a change within %d us", world.now)
	}
	s.disrupt()
	world.Run(max(world.now, s.toleratedFrom) + loss.Instant)
	s.loseSecond()
	s.awaitRecovery()
	s.result.Acknowledged, s.result.Violations, s.result.Notes = s.writer.Acknowledged(), world.violations, world.notes
	return s.result
}

// disrupt causes the first loss or the planned work, and sets from when on a second loss is
// tolerated.
func (r *secondLossRun) disrupt() {
	world, nodes := r.world.World, r.world.Cluster.Nodes
	first := nodes[world.Rng.Intn(len(nodes))]
	back := world.now + leaveTimeoutUS + leavePollUS + world.Rng.Int63n(2_500_000)
	sync := rejoinPeriodUS(r.Nodes)
	r.firstLossUntil = back + sync
	switch r.Disruption {
	case DisruptionDiskLoss:
		world.Notef("%s loses its disk", first.Name)
		first.loseDisk()
		world.At(back, first.restart)
	case DisruptionPowerLoss:
		first.LosePower()
		world.At(back, first.restart)
	case DisruptionLeave:
		r.leave(first)
		world.At(back, first.restart)
	case DisruptionReplacement:
		successor := r.world.Cluster.newNode()
		successor.Start()
		r.firstLossUntil = world.now + sync
		world.At(back, func() {
			r.leave(first)
			first.removed = true
		})
		world.Run(back)
	}
	r.toleratedFrom = world.now
	if tolerates(r.Nodes) == 1 {
		r.toleratedFrom = max(r.toleratedFrom, r.firstLossUntil)
	}
}

// leave shuts a machine down gracefully, as control.Node does: if its successor was admitted
// before, its process ends only once it is removed from the voter set, or after leaveTimeoutUS.
func (r *secondLossRun) leave(node *ControlNode) {
	r.world.World.Notef("%s shuts down gracefully", node.Name)
	if !node.up || node.node == nil {
		return
	}
	node.handle(node.node.Leave(node.Clock()))
	end := node.Clock() + leaveTimeoutUS
	var wait func()
	wait = func() {
		if node.node != nil && node.node.RemovalPending() && node.Clock() < end {
			node.After(leavePollUS, wait)
			return
		}
		node.Kill()
	}
	node.After(leavePollUS, wait)
}

// Times of a graceful shutdown (internal/app/control).
const (
	leavePollUS    = 100_000
	leaveTimeoutUS = 900_000
)

// setTargetSize sets the target size in the voter set to its initial number of voters.
func (c *Cluster) setTargetSize() {
	c.voterSet.TargetSize = uint16(len(c.voterSet.Voters))
	for _, node := range c.Nodes {
		node.voterSet = c.voterSet
	}
}

// loseSecond waits for an acknowledgement and then loses as many machines as may still be
// lost, first those that hold the newest changes of its slot.
func (r *secondLossRun) loseSecond() {
	world := r.world.World
	triggered := false
	r.writer.OnAcknowledged = func(slot int) {
		if !triggered {
			triggered = true
			r.lose(r.newestHolders(slot))
		}
	}
	if _, ok := r.world.Until(lossRecoveryBoundUS, func() bool { return triggered }); !ok {
		world.Violation("no service", "no change was acknowledged for %d us after one loss: %v", lossRecoveryBoundUS, r.SecondLoss)
	}
	r.writer.OnAcknowledged = nil
}

// newestHolders returns the machines to lose: those with the newest changes of a slot.
func (r *secondLossRun) newestHolders(slot int) []*ControlNode {
	tolerated := tolerates(r.Nodes)
	if r.world.World.now < r.firstLossUntil {
		tolerated--
	}
	var live []*ControlNode
	for _, node := range r.world.Cluster.Nodes {
		if node.up && node.node != nil && !node.removed {
			live = append(live, node)
		}
	}
	world := r.world.World
	world.Rng.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	slices.SortStableFunc(live, func(one, other *ControlNode) int {
		x, y := one.node.Status(one.Clock())[slot], other.node.Status(other.Clock())[slot]
		switch {
		case y.Last.Before(x.Last) || x.IsLeader && !y.IsLeader:
			return -1
		case x.Last.Before(y.Last) || y.IsLeader && !x.IsLeader:
			return 1
		}
		return 0
	})
	return live[:min(tolerated, len(live))]
}

// lose loses the given machines at once.
func (r *secondLossRun) lose(nodes []*ControlNode) {
	world := r.world.World
	r.lost, r.result.Lost = nodes, len(nodes)
	for _, node := range r.world.Cluster.Nodes {
		switch {
		case slices.Contains(nodes, node):
			world.Notef("%s is lost: %s", node.Name, r.Loss)
			r.loseOne(node)
		case r.Loss == LossOfDiskInOutage && node.up:
			node.LosePower()
			world.At(world.now+50_000+world.Rng.Int63n(300_000), node.restart)
		}
	}
}

func (r *secondLossRun) loseOne(node *ControlNode) {
	if r.Loss == LossOfPower {
		node.LosePower()
	} else {
		node.loseDisk()
	}
	r.world.World.At(r.world.World.now+lossReturnUS, node.restart)
}

// awaitRecovery waits until every slot accepts changes again and until all machines have
// rejoined, each within its bound, and then runs another second for reads to check the data.
func (r *secondLossRun) awaitRecovery() {
	world := r.world.World
	at := world.now
	took, ok := r.world.Until(lossRecoveryBoundUS, func() bool { return r.writer.AcknowledgedSince(at) })
	r.result.RecoveryUS = took
	if !ok {
		world.Violation("no service", "not every slot accepted a change within %d us after the second loss: %v", lossRecoveryBoundUS, r.SecondLoss)
	}
	world.Run(max(world.now, at+lossReturnUS))
	back := world.now
	if _, ok := r.world.Until(rejoinPeriodUS(r.Nodes), r.world.AllRecovered); !ok {
		world.Violation("not rejoined", "not every machine had rejoined %d us after its return: %v", rejoinPeriodUS(r.Nodes), r.SecondLoss)
	}
	r.result.RejoinUS = world.now - back
	reads := world.now
	world.Run(reads + 1_000_000)
}
