package sim

import "violetthread/quorum"

const (
	// Percentages of messages between voters that are delivered again soon after, and much
	// later.
	duplicateSoonPercent = 40
	duplicateLatePercent = 10
	// duplicateSoonUS is long enough for a message to overtake others, duplicateLateUS long
	// enough to outlive leases, terms and processes.
	duplicateSoonUS = 60_000
	duplicateLateUS = 8_000_000
	// messagesRecoveryBoundUS limits the time from the end of the faults until every slot
	// accepts changes.
	messagesRecoveryBoundUS = 4_000_000
	// messageJitterUS limits the random link delays, which are drawn again every
	// jitterIntervalUS.
	messageJitterUS  = 60_000
	jitterIntervalUS = 300_000
)

// MessagesResult is the result of a day of duplicated and reordered messages.
type MessagesResult struct {
	Acknowledged, Claims, Leases, Duplicated, Restarts int
	// ToNextProcess counts messages that were delivered to a later process of their receiver.
	ToNextProcess int
	RecoveryUS    int64
	Violations    []string
	Notes         []string
}

// MessagesDay is a day on which messages between voters are delayed, reordered and duplicated,
// and also reach later processes of the same name.
type MessagesDay struct {
	world   *World
	cluster *Cluster
	until   int64
	result  MessagesResult
}

// RunMessages runs one day with faults for the given duration.
func RunMessages(seed int64, nodes int, durationUS int64) MessagesResult {
	world := NewWorld(seed)
	d := &MessagesDay{world: world, cluster: NewCluster(world, nodes)}
	d.cluster.leaseUS = platformLeaseUS
	writer, claimers, holders := NewSlotWriter(d.cluster), NewClaimClients(d.cluster, 2), NewLeaseClients(d.cluster, 2)
	d.cluster.Start()
	writer.Start()
	world.Run(1_500_000)
	d.until = world.now + durationUS
	d.cluster.onMessage = d.duplicate
	d.jitter()
	d.restartNext()
	world.Run(d.until)
	d.endFaults()
	d.awaitRecovery(writer)
	r := &d.result
	r.Acknowledged, r.Claims, r.Leases = writer.Acknowledged(), claimers.Won, holders.Leases
	r.Violations, r.Notes = world.violations, world.notes
	return *r
}

// duplicate delivers some messages again, soon or much later, even if the receiver's process
// ended meanwhile.
func (d *MessagesDay) duplicate(receiver *ControlNode, message quorum.Message) {
	world := d.world
	draw := world.Rng.Intn(100)
	switch {
	case draw < duplicateSoonPercent:
		d.deliverAgain(receiver, message, world.Rng.Int63n(duplicateSoonUS))
	case draw < duplicateSoonPercent+duplicateLatePercent:
		d.deliverAgain(receiver, message, world.Rng.Int63n(duplicateLateUS))
	}
}

func (d *MessagesDay) deliverAgain(receiver *ControlNode, message quorum.Message, after int64) {
	world, process := d.world, receiver.process
	world.At(world.now+after, func() {
		if !receiver.up || receiver.frozen {
			return
		}
		d.result.Duplicated++
		if receiver.process != process {
			d.result.ToNextProcess++
		}
		receiver.receive(message)
	})
}

// jitter draws random link delays, so that messages overtake each other.
func (d *MessagesDay) jitter() {
	world := d.world
	if world.now >= d.until {
		return
	}
	for _, from := range d.cluster.Nodes {
		for _, to := range d.cluster.Nodes {
			world.linkDelayUS[link{from.Name, to.Name}] = world.Rng.Int63n(messageJitterUS)
		}
	}
	world.At(world.now+jitterIntervalUS, d.jitter)
}

// restartNext ends one process after the other, and restarts each under its name.
func (d *MessagesDay) restartNext() {
	world := d.world
	if world.now >= d.until {
		return
	}
	node := d.cluster.Nodes[world.Rng.Intn(len(d.cluster.Nodes))]
	d.result.Restarts++
	if world.Rng.Intn(2) == 0 {
		node.LosePower()
	} else {
		node.Kill()
	}
	world.At(world.now+1+world.Rng.Int63n(500_000), node.restart)
	world.At(world.now+500_000+world.Rng.Int63n(1_500_000), d.restartNext)
}

func (d *MessagesDay) endFaults() {
	d.cluster.onMessage = nil
	d.world.HealAll()
	for _, node := range d.cluster.Nodes {
		node.restart()
	}
}

// awaitRecovery waits until every slot accepts changes, while late duplicates still arrive.
func (d *MessagesDay) awaitRecovery(writer *SlotWriter) {
	world := d.world
	from := world.now
	for !writer.AcknowledgedSince(from) && world.now < from+messagesRecoveryBoundUS && len(world.violations) == 0 {
		world.Run(world.now + checkIntervalUS)
	}
	d.result.RecoveryUS = world.now - from
	if !writer.AcknowledgedSince(from) {
		world.Violation("not back", "not every slot accepted a change within %d us after the faults", messagesRecoveryBoundUS)
	}
}
