package sim

import (
	"violetthread/quorum"
	"violetthread/route"
	"violetthread/wal"
)

// Setback is what keeps a member from following a long row of changes.
type CatchupFault string

// The setbacks.
const (
	CatchupFaultDown       CatchupFault = "down"       // for a part of the row, with its disk
	CatchupFaultWiped      CatchupFault = "wiped"      // for a part of the row, and comes back empty
	CatchupFaultRestarts   CatchupFault = "restarts"   // again and again, killed or without power
	CatchupFaultCheckpoint CatchupFault = "checkpoint" // ends at each record of a checkpoint in turn
)

// Setbacks lists them all.
var CatchupFaults = []CatchupFault{CatchupFaultDown, CatchupFaultWiped, CatchupFaultRestarts, CatchupFaultCheckpoint}

const (
	// largeRoutes is the size of the large configurations; the text is some 100 kB.
	largeRoutes = 350
	// Of each so many orders one brings a large configuration, and another, shortly
	// after, a small one.
	largeConfigPeriod   = 60
	largeConfigLifetime = 6
	// maxDowntimeUS is the longest that a member is down, and maxRestartUS that one that is
	// restarted is away.
	maxDowntimeUS = 3_000_000
	maxRestartUS  = 400_000
)

// catchupLog has room for a row of configurations beside a checkpoint that is written
// record by record; a configuration remembers the changes that led to it.
func catchupLog(changes int) wal.Config {
	return wal.Config{SegmentCount: 24, SegmentBytes: int64(20<<10 + changes*48)}
}

// CatchupResult is what a day of many changes came to.
type CatchupResult struct {
	Changes, Large, Faults, Checkpoints int
	// InterruptedCheckpoints are the records of checkpoints at which a process ended.
	InterruptedCheckpoints int
	// SlowestCatchupUS is the longest from a voter's start until it holds all that is committed.
	SlowestCatchupUS int64
	// Leaders counts the changes of the configuration's leader.
	Leaders    int
	Violations []string
	Notes      []string
}

// CatchupDay is a row of changes with setbacks of one kind.
type CatchupDay struct {
	*ConfigWorld
	fault                 CatchupFault
	changes               int
	nextInterruptedRecord int                   // record at which the next checkpoint is cut short
	completeNext          map[*ControlNode]bool // its last checkpoint was cut short, the next one is not
	busy                  bool
	leader                string
	version               map[uint64]uint64 // by revision of the register
	result                CatchupResult
}

// RunCatchup runs a day of so many changes.
func RunCatchup(seed int64, nodes, changes int, fault CatchupFault, format ConfigFormat) CatchupResult {
	d := &CatchupDay{ConfigWorld: NewConfigWorld(seed, nodes, format), fault: fault, changes: changes, completeNext: map[*ControlNode]bool{}, version: map[uint64]uint64{}}
	d.Cluster.logConfig = catchupLog(changes)
	d.Cluster.selfHealing = true
	d.AddOperators(2)
	d.AddReaders(1, 400_000)
	for _, o := range d.Operators {
		o.Pause = 10_000
		o.Routes = d.routes
	}
	if fault == CatchupFaultCheckpoint {
		d.Cluster.beforeCheckpointRecord = d.interruptCheckpoint
	}
	d.Start()
	world := d.World
	if _, ok := d.Until(5_000_000, func() bool { return d.Config.Acknowledged > 2 }); !ok {
		world.Violation("not begun", "no configuration was acknowledged after %d us", world.now)
	}
	d.watchLeader()
	d.next()
	bound := int64(changes) * 400_000
	if _, ok := d.Until(bound, func() bool { return int(d.Config.newest) >= changes && !d.busy }); !ok {
		world.Violation("too slow", "%d of %d changes in %d us", d.Config.newest, changes, bound)
	}
	d.Config.Close()
	r := &d.result
	r.Changes = int(d.Config.newest)
	for _, newNode := range d.Cluster.Nodes {
		r.Checkpoints += newNode.Checkpoints
	}
	r.Violations, r.Notes = world.violations, world.notes
	return *r
}

// routes is the size of an operator's n-th order.
func (d *CatchupDay) routes(n int) int {
	switch n % largeConfigPeriod {
	case largeConfigPeriod / 2:
		d.result.Large++
		return largeRoutes
	case largeConfigPeriod/2 + largeConfigLifetime:
		return mergedRoutes
	}
	return 0
}

// next brings the next setback about, once the last one is over, while changes go on.
func (d *CatchupDay) next() {
	world := d.World
	if d.fault == CatchupFaultCheckpoint || int(d.Config.newest) >= d.changes {
		return // checkpoints come by themselves
	}
	world.At(world.now+100_000+world.Rng.Int63n(500_000), func() {
		node := d.Cluster.Nodes[world.Rng.Intn(len(d.Cluster.Nodes))]
		d.busy = true
		d.stopMember(node, d.fault == CatchupFaultWiped)
		downtimeUS := world.Rng.Int63n(maxDowntimeUS)
		if d.fault == CatchupFaultRestarts {
			downtimeUS = world.Rng.Int63n(maxRestartUS)
		}
		world.At(world.now+downtimeUS, func() { d.restartMember(node) })
	})
}

// stopMember ends a voter's process, by a kill or with the power, and its disk if asked for.
func (d *CatchupDay) stopMember(node *ControlNode, wiped bool) {
	d.result.Faults++
	switch {
	case wiped:
		node.loseDisk()
	case d.World.Rng.Intn(2) == 0:
		node.LosePower()
	default:
		node.Kill()
	}
}

// restartMember starts the member again and waits until it holds all that is committed.
func (d *CatchupDay) restartMember(node *ControlNode) {
	world := d.World
	at := world.now
	bound := rejoinPeriodUS(len(d.Cluster.Nodes))
	node.restart()
	var poll func()
	poll = func() {
		took := world.now - at
		if d.holdsCommitted(node) {
			d.result.SlowestCatchupUS = max(d.result.SlowestCatchupUS, took)
			d.busy = false
			d.next()
			return
		}
		if took > bound {
			world.Violation("not caught up", "%s does not hold all that is settled %d us after its start", node.Name, took)
			return
		}
		world.At(world.now+checkIntervalUS, poll)
	}
	poll()
}

// holdsCommitted reports whether a node votes and holds every slot up to what its leader
// knows to be committed.
func (d *CatchupDay) holdsCommitted(node *ControlNode) bool {
	if !node.up || node.node == nil || !node.node.AllSlotsRecovered() {
		return false
	}
	held := node.node.Status(node.Clock())
	hasLeader := make([]bool, len(held))
	for _, other := range d.Cluster.Nodes {
		if !other.up || other.node == nil {
			continue
		}
		for i, status := range other.node.Status(other.Clock()) {
			if !status.IsLeader {
				continue
			}
			hasLeader[i] = true
			if held[i].Last.Before(status.Committed) {
				return false
			}
		}
	}
	for _, has := range hasLeader {
		if !has {
			return false
		}
	}
	return true
}

// interruptCheckpoint ends a process at the next record of a checkpoint in turn, while all
// members are up and hold everything. The member's next checkpoint is left whole: what
// is cut short takes room, and a log that never sees a whole one is full in the end.
func (d *CatchupDay) interruptCheckpoint(node *ControlNode, written, of int) bool {
	if d.completeNext[node] {
		d.completeNext[node] = written < of-1
		return false
	}
	if d.busy || written != d.nextInterruptedRecord || !d.allUp() {
		return false
	}
	d.nextInterruptedRecord++
	if d.nextInterruptedRecord >= of {
		d.nextInterruptedRecord = 0
	}
	d.result.InterruptedCheckpoints++
	d.completeNext[node], d.busy = true, true
	d.stopMember(node, false)
	d.World.At(d.World.now+1+d.World.Rng.Int63n(maxRestartUS), func() { d.restartMember(node) })
	return true
}

// watchLeader checks that whoever answers for the configuration has the newest one.
func (d *CatchupDay) watchLeader() {
	world := d.World
	for _, node := range d.Cluster.Nodes {
		if node.up && !node.frozen && node.node != nil {
			d.checkLeader(node)
		}
	}
	world.At(world.now+checkIntervalUS/2, d.watchLeader)
}

func (d *CatchupDay) checkLeader(node *ControlNode) {
	entry, ok := node.node.ReadUnderLease(node.Clock(), route.ConfigKey)
	if !ok {
		return
	}
	if node.Name != d.leader {
		d.leader = node.Name
		d.result.Leaders++
	}
	if floor := d.Config.inForceAt(d.World.now); d.versionOf(entry) < floor {
		d.World.Violation("an owner with old state", "%s answers with version %d, %d was in force", node.Name, d.versionOf(entry), floor)
	}
}

// versionOf is the version that a register's entry holds; a revision has one value.
func (d *CatchupDay) versionOf(entry quorum.Entry) uint64 {
	if v, ok := d.version[entry.Revision]; ok {
		return v
	}
	v, ok := configVersion(entry.Value)
	if !ok {
		d.World.Violation("unreadable", "revision %d of the configuration", entry.Revision)
	}
	d.version[entry.Revision] = v
	return v
}
