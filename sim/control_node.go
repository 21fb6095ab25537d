package sim

import (
	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/wal"
)

// Registrar is a control node: the real voter on a real ring on a simulated disk.
type ControlNode struct {
	*Host
	cluster         *Cluster
	Disk            *Disk
	incarnation     uint64
	removed         bool            // this machine is gone for good
	voterSet        quorum.VoterSet // as founded or last told
	log             *wal.Log
	node            *quorum.Node
	recordsIssued   uint64
	syncing         bool
	checkpointing   bool            // a checkpoint is being written
	checkpointRest  []quorum.Record // what is still to come of it
	checkpointSize  int             // records that it has
	Checkpoints     int
	generation      uint64 // newest that it heard of
	lastOperationID uint64
	pending         map[uint64]func(quorum.Result)
	Failure         error // of its disk
}

func (n *ControlNode) start() {
	n.pending, n.recordsIssued, n.syncing, n.checkpointing, n.Failure, n.generation = map[uint64]func(quorum.Result){}, 0, false, false, nil, 0
	ring, raw, err := wal.Open(n.Disk, n.cluster.logConfig)
	if err != nil {
		n.fail(err)
		return
	}
	n.log = ring
	var records []quorum.Record
	for _, data := range raw {
		record, _, err := codec.UnpackRecord(data)
		if err != nil {
			n.fail(err)
			return
		}
		records = append(records, record)
	}
	config := quorum.DefaultConfig(n.Name, n.incarnation)
	config.GenerationDuration, config.OpenGenerations = n.cluster.generationUS, 3
	if n.cluster.leaseUS > 0 {
		config.LeaseDuration = n.cluster.leaseUS
	}
	config.MaxStateBytes = int(int64(n.cluster.logConfig.SegmentCount) * n.cluster.logConfig.SegmentBytes / 4)
	n.node = nil
	if len(n.voterSet.Voters) > 0 {
		n.node = quorum.New(config, n.voterSet, n.Clock(), records)
		if err := n.checkpointIfFull(); err != nil {
			n.node = nil // there is no room for the state itself
			n.fail(err)
			return
		}
	} else if n.cluster.selfHealing {
		at := n.cluster.world.now
		n.Every(50_000, func() { n.requestAdmission(config, at) })
	} else {
		n.Every(200_000, func() { n.pollVoterSet(config) })
	}
	if n.cluster.selfHealing {
		n.Every(150_000, n.pollNewerVoterSets)
	}
	if n.cluster.onBoot != nil {
		n.cluster.onBoot(n)
	}
	n.Every(config.HeartbeatInterval/4, func() {
		if n.Failure == nil && n.node != nil {
			n.node.SetDiskLow(n.log.UsedPermille() > 750)
			n.handle(n.node.Tick(n.Clock()))
			if n.node != nil {
				n.generation = n.node.Generation()
			}
		}
	})
}

// restart boots the machine again, unless it is gone for good.
func (n *ControlNode) restart() {
	if !n.removed {
		n.Start()
	}
}

func (n *ControlNode) handle(o quorum.Ready) {
	for _, e := range o.Events {
		n.cluster.world.Notef("%s %s", n.Name, e)
	}
	for _, record := range o.Records {
		if err := n.log.Append(codec.PackRecord(record)); err != nil {
			n.fail(err)
			return
		}
		n.recordsIssued++
	}
	if len(o.Records) > 0 {
		n.sync()
	}
	for _, s := range o.Messages {
		for _, peer := range n.cluster.Nodes {
			if peer.Name == s.To {
				message := s.Message
				n.cluster.world.observe("frame", n.Name, peer.Name, message)
				n.Send(peer.Host, func() { peer.receive(message) })
				if n.cluster.onMessage != nil {
					n.cluster.onMessage(peer, message)
				}
			}
		}
	}
	for _, result := range o.Results {
		reply := n.pending[result.ID]
		if reply == nil {
			continue
		}
		delete(n.pending, result.ID)
		if n.cluster.beforeResult != nil && n.cluster.beforeResult(n, result) {
			return
		}
		reply(result)
	}
	if o.VoterSet != nil && n.cluster.selfHealing && !n.isMemberOf(*o.VoterSet) {
		n.retire()
	}
}

// recv takes a message through the very codec of the wires.
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

// Do starts an operation on this node.
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

// muteAfter is how long an owner may be silent before nothing is passed on to it, as in
// the daemon (internal/app/control): whoever asks learns at once to ask elsewhere.
const silenceLimit = 400_000

// mute reports whether a voter was not heard here for a while.
func (n *ControlNode) isSilent(name string) bool {
	return n.node != nil && n.node.Silence(n.Clock(), name) > silenceLimit
}

// Op carries an operation to the owner, as the daemons do, with one hop.
func (n *ControlNode) Forward(op quorum.Operation, hops int, reply func(quorum.Result)) {
	n.Propose(op, func(result quorum.Result) {
		if result.Status != quorum.StatusNotLeader || result.Leader == "" || result.Leader == n.Name || hops >= 2 {
			reply(result)
			return
		}
		if n.isSilent(result.Leader) {
			reply(quorum.Result{Status: quorum.StatusNotLeader})
			return
		}
		for _, peer := range n.cluster.Nodes {
			if peer.Name == result.Leader {
				Call(n.Host, peer.Host, op, 700_000, func(operation quorum.Operation, rep func(quorum.Result)) { peer.Forward(operation, hops+1, rep) },
					reply, func() { reply(quorum.Result{Status: quorum.StatusUnknown}) })
				return
			}
		}
		reply(quorum.Result{Status: quorum.StatusNotLeader})
	})
}
