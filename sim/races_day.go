package sim

import (
	"violetthread/quorum"
	"violetthread/route"
)

const (
	// raceRecoveryBoundUS is within how long after the trouble the newest configuration is read
	// back and all operators have a clear answer.
	raceRecoveryBoundUS = 8_000_000
	// lossPercent of a step's messages get lost.
	lossPercent = 25
	// killPercent of the acknowledgements and syncs that may kill do, while all are up.
	killPercent = 25
)

// RaceFault is what troubles operators that race.
type RaceFault string

// Kills of the leader at the moments between a sync and its answer; losses are named by
// their steps.
const (
	RaceFaultKillAfterSync    RaceFault = "killed after its sync"       // before its voter hears of it
	RaceFaultKillBeforeAnswer RaceFault = "killed before its answer"    // once a majority has it
	RaceFaultPowerLoss        RaceFault = "all lose power at an answer" // just after it
)

// RaceFaults lists the kills and the steps.
func RaceFaults() []RaceFault {
	out := []RaceFault{RaceFaultKillAfterSync, RaceFaultKillBeforeAnswer, RaceFaultPowerLoss}
	for _, step := range RequestSteps {
		out = append(out, RaceFault(step))
	}
	return out
}

// RaceDay is a day on which operators send changes under the same numbers at once.
type RaceDay struct {
	*ConfigWorld
	fault      RaceFault
	durationUS int64
	until      int64
	result     RaceResult
}

// RaceResult is what such a day came to.
type RaceResult struct {
	Requests, Acknowledged, AcknowledgedAfterResend, Rejected, Reads int
	Lost, Kills                                                      int // messages, processes
	// MostBehind is the most changes that were in force after an order when it was
	// acknowledged for the first time.
	MostBehind uint64
	// SlowestRequestUS is the longest that an operator went without a clear answer.
	SlowestRequestUS int64
	// RecoveryUS is how long after the trouble all was clear.
	RecoveryUS int64
	Violations []string
	Notes      []string
}

// RunRaces runs a day of so many operators, with trouble for a time.
func RunRaces(seed int64, nodes, operators int, fault RaceFault, durationUS int64, format ConfigFormat) RaceResult {
	d := &RaceDay{ConfigWorld: NewConfigWorld(seed, nodes, format), fault: fault, durationUS: durationUS}
	d.AddOperators(operators)
	d.AddReaders(2, 150_000)
	for _, o := range d.Operators {
		o.Pause = 60_000
		o.OnAccepted = d.losePowerAll
	}
	d.Start()
	world := d.World
	if _, ok := d.Until(5_000_000, func() bool { return d.Config.Acknowledged > 2 }); !ok {
		world.Violation("not begun", "no configuration was acknowledged after %d us", world.now)
	}
	d.begin()
	world.Run(d.until)
	d.finish()
	d.Config.Close()
	d.collect()
	return d.result
}

// begin brings the trouble about until its time is over.
func (d *RaceDay) begin() {
	cluster := d.Cluster
	d.until = d.World.now + d.durationUS
	switch d.fault {
	case RaceFaultKillAfterSync:
		cluster.beforeSynced = d.killAfterSync
	case RaceFaultKillBeforeAnswer:
		cluster.beforeResult = d.killBeforeAnswer
	case RaceFaultPowerLoss:
		// By onTaken, at the very acknowledgement.
	case RaceFault(StepAppend), RaceFault(StepAppendAck):
		cluster.dropsMessage = d.dropsMessage
	default:
		cluster.losesStep = d.losesStep
	}
}

// finish ends the trouble and waits until every operator had a clear answer and the
// newest configuration was read back.
func (d *RaceDay) finish() {
	cluster, world := d.Cluster, d.World
	cluster.beforeSynced, cluster.beforeResult, cluster.dropsMessage, cluster.losesStep = nil, nil, nil, nil
	finished := map[*ConfigOperator]bool{}
	for _, o := range d.Operators {
		o.OnFinished = func() { finished[o] = true }
	}
	took, ok := d.Until(raceRecoveryBoundUS, func() bool { return len(finished) == len(d.Operators) })
	d.result.RecoveryUS = took
	if !ok {
		world.Violation("not back", "%d of %d operators had a clear answer %d us after the trouble", len(finished), len(d.Operators), took)
	}
	reads := d.Config.Reads
	if _, ok := d.Until(raceRecoveryBoundUS, func() bool { return d.Config.Reads > reads+4 }); !ok {
		world.Violation("not back", "nothing was read back %d us after the trouble", raceRecoveryBoundUS)
	}
}

func (d *RaceDay) collect() {
	r, history := &d.result, d.Config
	r.Requests, r.Acknowledged, r.AcknowledgedAfterResend, r.Rejected, r.Reads = len(history.requests), history.Acknowledged, history.AcknowledgedAfterResend, history.Rejected, history.Reads
	r.MostBehind = history.MostBehind
	for _, o := range d.Operators {
		r.SlowestRequestUS = max(r.SlowestRequestUS, o.SlowestRequestUS)
	}
	r.Violations, r.Notes = d.World.violations, d.World.notes
}

// losesStep loses some messages of one step.
func (d *RaceDay) losesStep(step RequestStep) bool {
	if RaceFault(step) != d.fault {
		return false
	}
	return d.drawLoss()
}

func (d *RaceDay) drawLoss() bool {
	if d.World.Rng.Intn(100) >= lossPercent {
		return false
	}
	d.result.Lost++
	return true
}

// dropsMessage loses some of the messages between leader and voters, of the
// configuration's slot.
func (d *RaceDay) dropsMessage(message quorum.Message) bool {
	kind := quorum.MsgAppend
	if d.fault == RaceFault(StepAppendAck) {
		kind = quorum.MsgAppendAck
	}
	return message.Type == kind && message.Slot == slotOf(route.ConfigKey) && d.drawLoss()
}

// killAfterSync kills the configuration's leader when its records are on disk and its voter
// does not know yet.
func (d *RaceDay) killAfterSync(node *ControlNode) bool {
	if d.Cluster.LeaderOf(route.ConfigKey) != node {
		return false
	}
	return d.endProcess(node)
}

// killBeforeAnswer kills the leader when a change is on a majority's disks and nobody was
// told.
func (d *RaceDay) killBeforeAnswer(node *ControlNode, result quorum.Result) bool {
	if result.Status != quorum.StatusDone || d.Cluster.LeaderOf(route.ConfigKey) != node {
		return false
	}
	return d.endProcess(node)
}

// endProcess ends a process now and then, while all others are up, and starts it again.
func (d *RaceDay) endProcess(node *ControlNode) bool {
	world := d.World
	if !d.allUp() || world.Rng.Intn(100) >= killPercent {
		return false
	}
	d.result.Kills++
	if world.Rng.Intn(2) == 0 {
		node.LosePower()
	} else {
		node.Kill()
	}
	world.At(world.now+100_000+world.Rng.Int63n(2_000_000), node.restart)
	return true
}

// losePowerAll cuts the power of all control nodes at some acknowledgements.
func (d *RaceDay) losePowerAll(*ConfigRequest) {
	world := d.World
	if d.fault != RaceFaultPowerLoss || world.now >= d.until || !d.allUp() || world.Rng.Intn(100) >= killPercent {
		return
	}
	d.result.Kills++
	for _, node := range d.Cluster.Nodes {
		node.LosePower()
		world.At(world.now+50_000+world.Rng.Int63n(500_000), node.restart)
	}
}
