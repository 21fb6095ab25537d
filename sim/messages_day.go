package sim

import "violetthread/quorum"

const (
	// Of a hundred messages between voters, so many come once more soon after, and so
	// many much later.
	echoSoonPercent = 40
	echoLatePercent = 10
	// echoSoon is long enough to overtake others, echoLate long enough to outlive leases,
	// terms and processes.
	echoSoon = 60_000
	echoLate = 8_000_000
	// messagesRecoveryBoundUS is within how long after the trouble every slot takes changes.
	messagesRecoveryBoundUS = 4_000_000
	// messageJitter is the most by which ways differ, drawn anew every jitterEvery.
	messageJitter = 60_000
	jitterEvery   = 300_000
)

// MessagesResult is what a day of repeated and reordered messages came to.
type MessagesResult struct {
	Acknowledged, Claims, Leases, Repeated, Restarts int
	// ToNextProcess counts messages that reached another process of their receiver.
	ToNextProcess int
	RecoveryUS    int64
	Violations    []string
	Notes         []string
}

// MessagesDay is a day on which the voters' messages come late, out of order and again,
// also to the next process of the same name.
type MessagesDay struct {
	world  *World
	core   *Cluster
	until  int64
	result MessagesResult
}

// RunMessages runs one day, with trouble for a time.
func RunMessages(seed int64, nodes int, lasts int64) MessagesResult {
	world := NewWorld(seed)
	d := &MessagesDay{world: world, core: NewCluster(world, nodes)}
	d.core.leaseUS = platformLeaseUS
	writer, claimers, holders := NewSlotWriter(d.core), NewClaimClients(d.core, 2), NewLeaseClients(d.core, 2)
	d.core.Start()
	writer.Start()
	world.Run(1_500_000)
	d.until = world.now + lasts
	d.core.onMessage = d.echo
	d.jitter()
	d.restarts()
	world.Run(d.until)
	d.mend()
	d.waitBack(writer)
	r := &d.result
	r.Acknowledged, r.Claims, r.Leases = writer.Acknowledged(), claimers.Won, holders.Leases
	r.Violations, r.Notes = world.violations, world.notes
	return *r
}

// echo repeats a message, soon or late, whatever became of its receiver's process.
func (d *MessagesDay) echo(receiver *ControlNode, message quorum.Message) {
	world := d.world
	draw := world.Rng.Intn(100)
	switch {
	case draw < echoSoonPercent:
		d.repeat(receiver, message, world.Rng.Int63n(echoSoon))
	case draw < echoSoonPercent+echoLatePercent:
		d.repeat(receiver, message, world.Rng.Int63n(echoLate))
	}
}

func (d *MessagesDay) repeat(receiver *ControlNode, message quorum.Message, after int64) {
	world, process := d.world, receiver.process
	world.At(world.now+after, func() {
		if !receiver.up || receiver.frozen {
			return
		}
		d.result.Repeated++
		if receiver.process != process {
			d.result.ToNextProcess++
		}
		receiver.receive(message)
	})
}

// jitter makes ways differ, so that messages overtake each other.
func (d *MessagesDay) jitter() {
	world := d.world
	if world.now >= d.until {
		return
	}
	for _, one := range d.core.Nodes {
		for _, other := range d.core.Nodes {
			world.linkDelayUS[link{one.Name, other.Name}] = world.Rng.Int63n(messageJitter)
		}
	}
	world.At(world.now+jitterEvery, d.jitter)
}

// restarts ends one process after the other, and starts it again under its name.
func (d *MessagesDay) restarts() {
	world := d.world
	if world.now >= d.until {
		return
	}
	node := d.core.Nodes[world.Rng.Intn(len(d.core.Nodes))]
	d.result.Restarts++
	if world.Rng.Intn(2) == 0 {
		node.LosePower()
	} else {
		node.Kill()
	}
	world.At(world.now+1+world.Rng.Int63n(500_000), node.restart)
	world.At(world.now+500_000+world.Rng.Int63n(1_500_000), d.restarts)
}

func (d *MessagesDay) mend() {
	d.core.onMessage = nil
	d.world.HealAll()
	for _, node := range d.core.Nodes {
		node.restart()
	}
}

// waitBack waits until every slot takes changes, while what was repeated late still comes.
func (d *MessagesDay) waitBack(writer *SlotWriter) {
	world := d.world
	from := world.now
	for !writer.AcknowledgedSince(from) && world.now < from+messagesRecoveryBoundUS && len(world.violations) == 0 {
		world.Run(world.now + checkInterval)
	}
	d.result.RecoveryUS = world.now - from
	if !writer.AcknowledgedSince(from) {
		world.Violation("not back", "not every slot took a change within %d us after the trouble", messagesRecoveryBoundUS)
	}
}
