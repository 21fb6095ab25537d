package sim

import (
	"violetthread/quorum"
	"violetthread/route"
)

const (
	// raceRecoveryBoundUS limits the time from the end of the faults until the newest
	// configuration is read back and all operators have a definite answer.
	raceRecoveryBoundUS = 8_000_000
	// lossPercent is the percentage of a step's messages that are lost.
	lossPercent = 25
	// killPercent is the percentage of acknowledgements and syncs at which a process is
	// killed, while all are up.
	killPercent = 25
)

// RaceFault is a fault that occurs while operators race.
type RaceFault string

// Faults at the moments between a sync and its answer. The other faults are message losses,
// named after their steps.
const (
	RaceFaultKillAfterSync    RaceFault = "killed after its sync"       // the leader, before its voter learns of the sync
	RaceFaultKillBeforeAnswer RaceFault = "killed before its answer"    // the leader, after a majority has the change
	RaceFaultPowerLoss        RaceFault = "all lose power at an answer" // just after the answer
)

// RaceFaults lists the faults between a sync and its answer, and then the steps.
func RaceFaults() []RaceFault {
	out := []RaceFault{RaceFaultKillAfterSync, RaceFaultKillBeforeAnswer, RaceFaultPowerLoss}
	for _, step := range RequestSteps {
		out = append(out, RaceFault(step))
	}
	return out
}

// RaceDay is a day on which operators concurrently send changes with the same version.
type RaceDay struct {
	*ConfigWorld
	fault      RaceFault
	durationUS int64
	until      int64
	result     RaceResult
}

// RaceResult is the result of a race day.
type RaceResult struct {
	Requests, Acknowledged, AcknowledgedAfterResend, Rejected, Reads int
	Lost, Kills                                                      int // lost messages, killed processes
	// MostBehind is the largest number of changes that were already in force on top of a
	// request at its first acknowledgement.
	MostBehind uint64
	// SlowestRequestUS is the longest time that an operator went without a definite answer.
	SlowestRequestUS int64
	// RecoveryUS is the time from the end of the faults until all operators had a definite
	// answer.
	RecoveryUS int64
	Violations []string
	Notes      []string
}

// RunRaces runs a day with the given number of operators, with faults for the given duration.
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
		world.Violation("not started", "no configuration was acknowledged after %d us", world.now)
	}
	d.begin()
	world.Run(d.until)
	d.finish()
	d.Config.Close()
	d.collect()
	return d.result
}

// begin starts injecting the day's fault.
func (d *RaceDay) begin() {
	cluster := d.Cluster
	d.until = d.World.now + d.durationUS
	switch d.fault {
	case RaceFaultKillAfterSync:
		cluster.beforeSynced = d.killAfterSync
	case RaceFaultKillBeforeAnswer:
		cluster.beforeResult = d.killBeforeAnswer
	case RaceFaultPowerLoss:
		// losePowerAll injects it, called by OnAccepted at the acknowledgement itself.
	case RaceFault(StepAppend), RaceFault(StepAppendAck):
		cluster.dropsMessage = d.dropsMessage
	default:
		cluster.losesStep = d.losesStep
	}
}

// finish ends the fault and waits until every operator has a definite answer and the newest
// configuration was read back.
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
		world.Violation("not back", "%d of %d operators had a definite answer %d us after the faults", len(finished), len(d.Operators), took)
	}
	reads := d.Config.Reads
	if _, ok := d.Until(raceRecoveryBoundUS, func() bool { return d.Config.Reads > reads+4 }); !ok {
		world.Violation("not back", "nothing was read back %d us after the faults", raceRecoveryBoundUS)
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

// dropsMessage loses some messages between leader and voters of the configuration's slot.
func (d *RaceDay) dropsMessage(message quorum.Message) bool {
	kind := quorum.MsgAppend
	if d.fault == RaceFault(StepAppendAck) {
		kind = quorum.MsgAppendAck
	}
	return message.Type == kind && message.Slot == slotOf(route.ConfigKey) && d.drawLoss()
}

// killAfterSync kills the configuration's leader when its records are on disk and its voter
// has not been notified yet.
func (d *RaceDay) killAfterSync(node *ControlNode) bool {
	if d.Cluster.LeaderOf(route.ConfigKey) != node {
		return false
	}
	return d.endProcess(node)
}

// killBeforeAnswer kills the leader when a change is on the disks of a majority and nobody has
// been notified.
func (d *RaceDay) killBeforeAnswer(node *ControlNode, result quorum.Result) bool {
	if result.Status != quorum.StatusDone || d.Cluster.LeaderOf(route.ConfigKey) != node {
		return false
	}
	return d.endProcess(node)
}

// endProcess sometimes ends a process, if all nodes are up, and restarts it later.
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
