package sim

import (
	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/wal"
)

// ControlNode is a control node: a real voter with a real write-ahead log on a simulated disk.
type ControlNode struct {
	*Host
	cluster         *Cluster
	Disk            *Disk
	incarnation     uint64
	removed         bool            // the machine is gone for good
	voterSet        quorum.VoterSet // initial voter set, or the one it joined
	log             *wal.Log
	node            *quorum.Node
	recordsIssued   uint64
	syncing         bool
	checkpointing   bool            // a checkpoint is being written
	checkpointRest  []quorum.Record // records still to be written
	checkpointSize  int             // total number of its records
	Checkpoints     int
	generation      uint64 // newest generation of claims that the voter knows of
	lastOperationID uint64
	pending         map[uint64]func(quorum.Result)
	Failure         error // error of the disk
}

// start does what the daemon does at its start: it reads its log and becomes a voter if it is
// in a voter set, and otherwise asks to be admitted to one.
func (n *ControlNode) start() {
	n.pending = map[uint64]func(quorum.Result){}
	n.recordsIssued, n.generation = 0, 0
	n.syncing, n.checkpointing = false, false
	n.Failure = nil
	records, err := n.openLog()
	if err != nil {
		n.fail(err)
		return
	}
	n.node = nil
	config := n.voterConfig()
	if err := n.startVoter(config, records); err != nil {
		n.node = nil // no room in the log for the state itself
		n.fail(err)
		return
	}
	if n.cluster.selfHealing {
		n.Every(150_000, n.pollNewerVoterSets)
	}
	if n.cluster.onBoot != nil {
		n.cluster.onBoot(n)
	}
	n.Every(config.HeartbeatIntervalUS/4, n.tick)
}

// openLog reads the records of the log on the disk.
func (n *ControlNode) openLog() ([]quorum.Record, error) {
	log, stored, err := wal.Open(n.Disk, n.cluster.logConfig)
	if err != nil {
		return nil, err
	}
	n.log = log
	var records []quorum.Record
	for _, data := range stored {
		record, _, err := codec.UnpackRecord(data)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func (n *ControlNode) voterConfig() quorum.Config {
	config := quorum.DefaultConfig(n.Name, n.incarnation)
	config.GenerationDurationUS, config.OpenGenerations = n.cluster.generationUS, 3
	if n.cluster.leaseUS > 0 {
		config.LeaseDurationUS = n.cluster.leaseUS
	}
	config.MaxStateBytes = int(int64(n.cluster.logConfig.SegmentCount) * n.cluster.logConfig.SegmentBytes / 4)
	return config
}

// startVoter creates the voter, or starts asking for admission to a voter set.
func (n *ControlNode) startVoter(config quorum.Config, records []quorum.Record) error {
	if len(n.voterSet.Voters) > 0 {
		n.node = quorum.New(config, n.voterSet, n.Clock(), records)
		return n.checkpointIfFull()
	}
	if n.cluster.selfHealing {
		startedAt := n.cluster.world.now
		n.Every(50_000, func() { n.requestAdmission(config, startedAt) })
	} else {
		n.Every(200_000, func() { n.pollVoterSet(config) })
	}
	return nil
}

func (n *ControlNode) tick() {
	if n.Failure != nil || n.node == nil {
		return
	}
	n.node.SetDiskLow(n.log.UsedPermille() > 750)
	n.handle(n.node.Tick(n.Clock()))
	if n.node != nil {
		n.generation = n.node.Generation()
	}
}

// restart starts the machine, unless it is gone for good.
func (n *ControlNode) restart() {
	if !n.removed {
		n.Start()
	}
}

// handle carries out the voter's decisions in the same order as the daemon: records are
// appended before anything is sent, and results are returned last.
func (n *ControlNode) handle(ready quorum.Ready) {
	for _, event := range ready.Events {
		n.cluster.world.Notef("%s %s", n.Name, event)
	}
	if err := n.appendRecords(ready.Records); err != nil {
		n.fail(err)
		return
	}
	for _, envelope := range ready.Messages {
		if receiver := n.cluster.nodeNamed(envelope.To); receiver != nil {
			n.sendMessage(receiver, envelope.Message)
		}
	}
	if !n.deliverResults(ready.Results) {
		return
	}
	if ready.VoterSet != nil && n.cluster.selfHealing && !n.isMemberOf(*ready.VoterSet) {
		n.retire()
	}
}

func (n *ControlNode) appendRecords(records []quorum.Record) error {
	for _, record := range records {
		if err := n.log.Append(codec.PackRecord(record)); err != nil {
			return err
		}
		n.recordsIssued++
	}
	if len(records) > 0 {
		n.sync()
	}
	return nil
}

func (n *ControlNode) sendMessage(receiver *ControlNode, message quorum.Message) {
	n.cluster.world.observe("frame", n.Name, receiver.Name, message)
	n.Send(receiver.Host, func() { receiver.receive(message) })
	if n.cluster.onMessage != nil {
		n.cluster.onMessage(receiver, message)
	}
}

// deliverResults returns the results of operations to their callers. It returns false if the
// process was ended before one of them.
func (n *ControlNode) deliverResults(results []quorum.Result) (alive bool) {
	for _, result := range results {
		reply := n.pending[result.ID]
		if reply == nil {
			continue
		}
		delete(n.pending, result.ID)
		if n.cluster.beforeResult != nil && n.cluster.beforeResult(n, result) {
			return false
		}
		reply(result)
	}
	return true
}

// receive handles a message, after encoding and decoding it with the codec of the real
// transport.
func (n *ControlNode) receive(message quorum.Message) {
	if n.node == nil || n.Failure != nil || n.cluster.dropsMessage != nil && n.cluster.dropsMessage(message) {
		return
	}
	frame, err := codec.Decode(codec.Encode(codec.PackMessage(message))[8:])
	if err != nil {
		n.cluster.world.Violation("codec", "%v", err)
		return
	}
	n.handle(n.node.Receive(n.Clock(), codec.UnpackMessage(frame.VoterMessage)))
}

// Propose starts an operation on this node. It calls reply once, unless the process ends.
func (n *ControlNode) Propose(op quorum.Operation, reply func(quorum.Result)) {
	if n.node == nil || n.Failure != nil {
		reply(quorum.Result{Status: quorum.StatusNotLeader})
		return
	}
	n.lastOperationID++
	op.ID = n.lastOperationID
	n.pending[op.ID] = reply
	n.handle(n.node.Propose(n.Clock(), op))
}

const (
	// maxLeaderSilenceUS is how long a leader may be silent before operations are no longer
	// forwarded to it, as in the daemon (internal/app/control): the client learns at once that
	// it should try another node.
	maxLeaderSilenceUS = 400_000
	// maxForwards limits how often an operation is forwarded.
	maxForwards = 2
)

// isSilent reports whether nothing was heard from a voter for maxLeaderSilenceUS.
func (n *ControlNode) isSilent(name string) bool {
	return n.node != nil && n.node.TimeSinceHeard(n.Clock(), name) > maxLeaderSilenceUS
}

// serve handles an operation from a client.
func (n *ControlNode) serve(op quorum.Operation, reply func(quorum.Result)) { n.Forward(op, 0, reply) }

// Forward executes an operation, or forwards it to the leader of its slot as the daemons do,
// up to maxForwards times.
func (n *ControlNode) Forward(op quorum.Operation, hops int, reply func(quorum.Result)) {
	n.Propose(op, func(result quorum.Result) {
		if result.Status != quorum.StatusNotLeader || result.Leader == "" || result.Leader == n.Name || hops >= maxForwards {
			reply(result)
			return
		}
		leader := n.cluster.nodeNamed(result.Leader)
		if leader == nil || n.isSilent(result.Leader) {
			reply(quorum.Result{Status: quorum.StatusNotLeader})
			return
		}
		serve := func(op quorum.Operation, reply func(quorum.Result)) { leader.Forward(op, hops+1, reply) }
		Call(n.Host, leader.Host, op, 700_000, serve, reply, func() { reply(quorum.Result{Status: quorum.StatusUnknown}) })
	})
}
