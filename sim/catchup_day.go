package sim

import (
	"violetthread/quorum"
	"violetthread/route"
	"violetthread/wal"
)

// CatchupFault is a kind of fault that keeps a voter from following a long series of changes.
type CatchupFault string

// Faults of catch-up days.
const (
	CatchupFaultDown       CatchupFault = "down"       // a voter is down during part of the series and keeps its disk
	CatchupFaultWiped      CatchupFault = "wiped"      // a voter is down during part of the series and comes back with an empty disk
	CatchupFaultRestarts   CatchupFault = "restarts"   // voters restart repeatedly, after a kill or a power loss
	CatchupFaultCheckpoint CatchupFault = "checkpoint" // a process ends at a record of a checkpoint, at each record in turn
)

// CatchupFaults lists all catch-up faults.
var CatchupFaults = []CatchupFault{CatchupFaultDown, CatchupFaultWiped, CatchupFaultRestarts, CatchupFaultCheckpoint}

const (
	// largeRoutes is the number of routes of a large configuration, some 100 kB of text.
	largeRoutes = 350
	// Of every largeConfigPeriod requests, one sends a large configuration. The one that comes
	// largeConfigLifetime requests later replaces it with a small one.
	largeConfigPeriod   = 60
	largeConfigLifetime = 6
	// maxDowntimeUS limits the downtime of a stopped voter, and maxRestartUS that of a
	// restarted one.
	maxDowntimeUS = 3_000_000
	maxRestartUS  = 400_000
)

// catchupLog returns the settings of a log that holds a series of configurations in addition
// to a checkpoint that is written record by record. The log grows with the number of changes
// because a configuration keeps its change history.
func catchupLog(changes int) wal.Config {
	return wal.Config{SegmentCount: 24, SegmentBytes: int64(20<<10 + changes*48)}
}

// CatchupResult is the result of a catch-up day.
type CatchupResult struct {
	Changes, Large, Faults, Checkpoints int
	// InterruptedCheckpoints counts the checkpoint records at which a process was ended.
	InterruptedCheckpoints int
	// SlowestCatchupUS is the longest time from a voter's start until it holds all committed
	// changes.
	SlowestCatchupUS int64
	// Leaders counts the changes of the configuration's leader.
	Leaders    int
	Violations []string
	Notes      []string
}

// CatchupDay makes a series of changes under faults of one kind.
type CatchupDay struct {
	*ConfigWorld
	fault                 CatchupFault
	changes               int
	nextInterruptedRecord int                   // record at which the next checkpoint is interrupted
	completeNext          map[*ControlNode]bool // true after an interrupted checkpoint: the node's next one is left to complete
	busy                  bool
	leader                string
	version               map[uint64]uint64 // configuration version by revision of the register
	result                CatchupResult
}

// RunCatchup runs a day with the given number of changes.
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
		world.Violation("not started", "no configuration was acknowledged after %d us", world.now)
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

// routes returns the number of routes of an operator's n-th request.
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

// next injects the next fault after the previous one has ended, while changes remain to be
// made.
func (d *CatchupDay) next() {
	world := d.World
	if d.fault == CatchupFaultCheckpoint || int(d.Config.newest) >= d.changes {
		return // checkpoint faults are injected by interruptCheckpoint
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

// stopMember kills a voter's process or cuts its power, and empties its disk if wiped is set.
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

// restartMember restarts a voter and waits until it holds all committed changes.
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
			world.Violation("not caught up", "%s does not hold all committed changes %d us after its start", node.Name, took)
			return
		}
		world.At(world.now+checkIntervalUS, poll)
	}
	poll()
}

// holdsCommitted reports whether a node is a voter and holds every slot up to the position
// that the slot's leader knows to be committed.
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
// members are up and have recovered all slots. The member's next checkpoint is left to
// complete: interrupted checkpoints take up space, and a log without any complete one fills
// up.
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

// watchLeader checks that the leader of the configuration's slot has the newest version.
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
		d.World.Violation("leader with old state", "%s answers with version %d, but %d was in force", node.Name, d.versionOf(entry), floor)
	}
}

// versionOf returns the version in a register's entry, cached by revision because a revision
// has exactly one value.
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
