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

// RaceTrouble is what troubles operators that race.
type RaceTrouble string

// Kills of the leader at the moments between a sync and its answer; losses are named by
// their steps.
const (
	KillSynced    RaceTrouble = "killed after its sync"       // before its voter hears of it
	KillAnswering RaceTrouble = "killed before its answer"    // once a majority has it
	PowerAnswered RaceTrouble = "all lose power at an answer" // just after it
)

// RaceTroubles lists the kills and the steps.
func RaceTroubles() []RaceTrouble {
	out := []RaceTrouble{KillSynced, KillAnswering, PowerAnswered}
	for _, step := range OrderSteps {
		out = append(out, RaceTrouble(step))
	}
	return out
}

// RaceDay is a day on which operators send changes under the same numbers at once.
type RaceDay struct {
	*ConfigWorld
	trouble RaceTrouble
	lasts   int64
	until   int64
	result  RaceResult
}

// RaceResult is what such a day came to.
type RaceResult struct {
	Orders, Acknowledged, AcknowledgedAfterResend, Rejected, Reads int
	Lost, Kills                                                    int // messages, processes
	// MostBehind is the most changes that were in force after an order when it was
	// acknowledged for the first time.
	MostBehind uint64
	// SlowestOrderUS is the longest that an operator went without a clear answer.
	SlowestOrderUS int64
	// SettledUS is how long after the trouble all was clear.
	SettledUS  int64
	Violations []string
	Notes      []string
}

// RunRaces runs a day of so many operators, with trouble for a time.
func RunRaces(seed int64, nodes, operators int, trouble RaceTrouble, lasts int64, texts Texts) RaceResult {
	d := &RaceDay{ConfigWorld: NewConfigWorld(seed, nodes, texts), trouble: trouble, lasts: lasts}
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
	d.until = d.World.now + d.lasts
	switch d.trouble {
	case KillSynced:
		cluster.beforeSynced = d.killsSynced
	case KillAnswering:
		cluster.beforeResult = d.killsAnswering
	case PowerAnswered:
		// By onTaken, at the very acknowledgement.
	case RaceTrouble(StepWrite), RaceTrouble(StepWriteOK):
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
	told := map[*ConfigOperator]bool{}
	for _, o := range d.Operators {
		o.OnFinished = func() { told[o] = true }
	}
	took, ok := d.Until(raceRecoveryBoundUS, func() bool { return len(told) == len(d.Operators) })
	d.result.SettledUS = took
	if !ok {
		world.Violation("not back", "%d of %d operators had a clear answer %d us after the trouble", len(told), len(d.Operators), took)
	}
	reads := d.Config.Reads
	if _, ok := d.Until(raceRecoveryBoundUS, func() bool { return d.Config.Reads > reads+4 }); !ok {
		world.Violation("not back", "nothing was read back %d us after the trouble", raceRecoveryBoundUS)
	}
}

func (d *RaceDay) collect() {
	r, history := &d.result, d.Config
	r.Orders, r.Acknowledged, r.AcknowledgedAfterResend, r.Rejected, r.Reads = len(history.orders), history.Acknowledged, history.AcknowledgedAfterResend, history.Rejected, history.Reads
	r.MostBehind = history.MostBehind
	for _, o := range d.Operators {
		r.SlowestOrderUS = max(r.SlowestOrderUS, o.SlowestOrderUS)
	}
	r.Violations, r.Notes = d.World.violations, d.World.notes
}

// losesStep loses some messages of one step.
func (d *RaceDay) losesStep(step OrderStep) bool {
	if RaceTrouble(step) != d.trouble {
		return false
	}
	return d.losesOne()
}

func (d *RaceDay) losesOne() bool {
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
	if d.trouble == RaceTrouble(StepWriteOK) {
		kind = quorum.MsgAppendAck
	}
	return message.Type == kind && message.Slot == slotOf(route.ConfigKey) && d.losesOne()
}

// killsSynced kills the configuration's leader when its records are on disk and its voter
// does not know yet.
func (d *RaceDay) killsSynced(node *ControlNode) bool {
	if d.Cluster.LeaderOf(route.ConfigKey) != node {
		return false
	}
	return d.endProcess(node)
}

// killsAnswering kills the leader when a change is on a majority's disks and nobody was
// told.
func (d *RaceDay) killsAnswering(node *ControlNode, result quorum.Result) bool {
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
func (d *RaceDay) losePowerAll(*ConfigOrder) {
	world := d.World
	if d.trouble != PowerAnswered || world.now >= d.until || !d.allUp() || world.Rng.Intn(100) >= killPercent {
		return
	}
	d.result.Kills++
	for _, node := range d.Cluster.Nodes {
		node.LosePower()
		world.At(world.now+50_000+world.Rng.Int63n(500_000), node.restart)
	}
}
