package sim

import (
	"errors"
	"fmt"

	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/schema/fb"
	"violetthread/wal"
)

// Core is the control nodes of a world.
type Cluster struct {
	world        *World
	voterSet     quorum.VoterSet
	Nodes        []*ControlNode
	logConfig    wal.Config
	generationUS int64                     // how long an era of claims is the newest
	leaseUS      int64                     // of a slot owner's lease, 0 for the default
	onNewNode    func(*ControlNode)        // what a fleet adds to a machine
	onBoot       func(*ControlNode)        // what else runs on a machine, at each start
	dropsMessage func(quorum.Message) bool // messages that get lost, for directed days
	// answering is asked before a node tells of an operation's end, and whether its
	// process dies of it; synced likewise, when records are on its disk and before its
	// voter hears of that. Both are for directed days.
	beforeResult func(*ControlNode, quorum.Result) bool
	beforeSynced func(*ControlNode) bool
	losesStep    func(OrderStep) bool // steps of orders that get lost, for directed days
	// checkpointing is asked before each record of a checkpoint, how many of it are
	// written, and whether the process ends there; the parts are single records then.
	beforeCheckpointRecord func(r *ControlNode, written, of int) bool
	// echo is told of every message between voters, for directed days that repeat them.
	onMessage      func(to *ControlNode, m quorum.Message)
	replacing      bool   // an operator is changing the roster
	Replacements   int    // how often that was done
	powerLossArmed bool   // power goes at the next acknowledgement
	selfHealing    bool   // registrars let each other in, without an operator
	incarnations   uint64 // drawn so far, beside the first ones
	Joins          int    // how often a machine was let in
	SlowestJoinUS  int64  // from its start until all slots were firm with it
}

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

// A small ring, so that core days write checkpoints.
var smallLog = wal.Config{SegmentCount: 10, SegmentBytes: 18 << 10}

// NewCore adds n control nodes.
func NewCluster(world *World, n int) *Cluster {
	cluster := &Cluster{world: world, generationUS: 800_000, logConfig: smallLog}
	cluster.voterSet.Revision = quorum.FirstRevision(7)
	for i := 0; i < n; i++ {
		node := cluster.newNode()
		cluster.voterSet.Voters = append(cluster.voterSet.Voters, quorum.Voter{Name: node.Name, Addr: node.Name, Incarnation: node.incarnation, Number: uint16(i + 1)})
		node.voterSet = cluster.voterSet
	}
	for _, node := range cluster.Nodes {
		node.voterSet = cluster.voterSet
	}
	world.invariants = append(world.invariants, cluster.checkOneLeader)
	return cluster
}

// restart boots the machine again, unless it is gone for good.
func (n *ControlNode) restart() {
	if !n.removed {
		n.Start()
	}
}

// newNode adds a machine with an empty disk that is in no roster yet.
func (c *Cluster) newNode() *ControlNode {
	i := len(c.Nodes)
	node := &ControlNode{cluster: c, Disk: NewDisk(c.world), incarnation: uint64(100 + i)}
	node.Host = c.world.NewHost(fmt.Sprint("registrar", i), zones[i%len(zones)], node.start)
	c.Nodes = append(c.Nodes, node)
	if c.onNewNode != nil {
		c.onNewNode(node)
	}
	return node
}

var zones = []string{"north", "east", "south", "west"}

// Start boots all nodes.
func (c *Cluster) Start() {
	for _, node := range c.Nodes {
		node.Start()
	}
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

// join asks another machine for a roster that holds this disk.
func (n *ControlNode) pollVoterSet(config quorum.Config) {
	if n.node != nil {
		return
	}
	other := n.cluster.Nodes[n.cluster.world.Rng.Intn(len(n.cluster.Nodes))]
	Call(n.Host, other.Host, 0, 300_000, func(_ int, reply func(quorum.VoterSet)) {
		if other.node != nil {
			reply(other.node.VoterSet())
		}
	}, func(voterSet quorum.VoterSet) {
		if voter, ok := voterSet.Find(n.Name); ok && voter.Incarnation == n.incarnation && n.node == nil {
			n.voterSet = voterSet
			n.node = quorum.New(config, voterSet, n.Clock(), nil)
			n.cluster.world.Notef("%s joins at step %d", n.Name, voterSet.Step())
		}
	}, func() {})
}

// newInc draws the number of an emptied disk.
func (c *Cluster) newIncarnation() uint64 {
	c.incarnations++
	return 1000 + c.incarnations
}

// beLetIn asks all other machines for a place in their roster, as the daemon of a blank
// disk does.
func (n *ControlNode) requestAdmission(config quorum.Config, at int64) {
	if n.node != nil {
		return
	}
	self := quorum.Voter{Name: n.Name, Addr: n.Name, Incarnation: n.incarnation}
	for _, other := range n.cluster.Nodes {
		if other == n {
			continue
		}
		Call(n.Host, other.Host, 0, 500_000, func(_ int, reply func(quorum.VoterSet)) {
			if other.node != nil && other.Failure == nil {
				voterSet := other.node.VoterSet()
				other.handle(other.node.AdmitVoter(other.Clock(), self))
				reply(voterSet)
			}
		}, func(voterSet quorum.VoterSet) {
			if n.node != nil || !n.isMemberOf(voterSet) {
				return
			}
			n.voterSet = voterSet
			n.node = quorum.New(config, voterSet, n.Clock(), nil)
			n.cluster.world.Notef("%s joins at step %d", n.Name, voterSet.Step())
			n.cluster.Joins++
			var firm func()
			firm = func() {
				if n.node != nil && !n.node.AllSlotsRecovered() {
					n.After(10_000, firm)
					return
				}
				n.cluster.SlowestJoinUS = max(n.cluster.SlowestJoinUS, n.cluster.world.now-at)
			}
			firm()
		}, func() {})
	}
}

func (n *ControlNode) isMemberOf(voterSet quorum.VoterSet) bool {
	voter, ok := voterSet.Find(n.Name)
	return ok && voter.Incarnation == n.incarnation
}

// probe asks for newer rosters while voters are silent, as the daemon does.
func (n *ControlNode) pollNewerVoterSets() {
	if n.node == nil || n.Failure != nil {
		return
	}
	for _, voter := range n.node.VoterSet().Voters {
		if n.node.Silence(n.Clock(), voter.Name) < 250_000 {
			continue
		}
		for _, other := range n.cluster.Nodes {
			if other == n {
				continue
			}
			Call(n.Host, other.Host, 0, 500_000, func(_ int, reply func(quorum.VoterSet)) {
				if other.node != nil && other.Failure == nil {
					reply(other.node.VoterSet())
				}
			}, func(voterSet quorum.VoterSet) {
				if n.node != nil && n.Failure == nil {
					n.handle(n.node.ObserveVoterSet(n.Clock(), voterSet))
				}
			}, func() {})
		}
		return
	}
}

// retire drops the state of a disk that a newer roster does not hold. The power may go
// in the midst of it: then the old state stands, and it is told again.
func (n *ControlNode) retire() {
	inc := n.cluster.newIncarnation()
	if err := n.log.Checkpoint([][]byte{codec.PackFounding(&fb.VoterSetT{Incarnation: inc})}); err != nil {
		n.fail(err)
		return
	}
	n.cluster.world.Notef("%s is retired, and is %d from now on", n.Name, inc)
	n.incarnation, n.voterSet = inc, quorum.VoterSet{}
	n.Kill()
	n.Start()
}

// lose is a machine that comes back empty.
func (n *ControlNode) loseDisk() {
	n.Kill()
	n.Disk.Wipe()
	n.incarnation, n.voterSet = n.cluster.newIncarnation(), quorum.VoterSet{}
}

func (n *ControlNode) fail(err error) {
	if errors.Is(err, wal.ErrFull) && n.node != nil {
		// As the daemon's voter: it begins anew from its disk, with a checkpoint first.
		n.cluster.world.Notef("%s begins anew: %v", n.Name, err)
		n.node = nil
		n.Kill()
		n.Start()
		return
	}
	n.Failure = err
	n.cluster.world.Notef("%s ends: %v", n.Name, err)
	if errors.Is(err, wal.ErrCorrupt) {
		n.cluster.world.Violation("ring", "%s can't read its ring: %v", n.Name, err)
	}
	n.node = nil
	n.Kill()
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

func (n *ControlNode) sync() {
	if n.syncing {
		return
	}
	n.syncing = true
	n.After(400+n.cluster.world.Rng.Int63n(3000)+n.Disk.SyncDelayUS, func() {
		n.syncing = false
		issued := n.recordsIssued
		if err := n.log.Sync(); err != nil {
			n.fail(err)
			return
		}
		if err := n.advanceCheckpoint(); err != nil {
			n.fail(err)
			return
		}
		if !n.up {
			return
		}
		if n.cluster.beforeSynced != nil && n.cluster.beforeSynced(n) {
			return
		}
		n.handle(n.node.RecordsSynced(n.Clock(), issued))
		if n.Failure == nil && n.recordsIssued > issued {
			n.sync()
		}
	})
}

// makeRoom restates the state before anything else is written, as the daemon does at its
// start, if the process ended in the midst of a checkpoint.
func (n *ControlNode) checkpointIfFull() error {
	if n.log.UsedPermille() <= 350 {
		return nil
	}
	var parts [][]byte
	for _, record := range n.node.Checkpoint() {
		parts = append(parts, codec.PackRecord(record))
	}
	return n.log.Checkpoint(parts)
}

// checkpoint writes a part of one with each sync, as the daemon does between
// changes.
func (n *ControlNode) advanceCheckpoint() error {
	if n.node == nil {
		return nil
	}
	if !n.checkpointing {
		if n.log.UsedPermille() <= 350 {
			return nil
		}
		n.checkpointing, n.checkpointRest = true, n.node.Checkpoint()
		n.cluster.world.Notef("%s begins a checkpoint of %d", n.Name, len(n.checkpointRest))
		n.Checkpoints++
		n.checkpointSize = len(n.checkpointRest)
		return n.log.BeginCheckpoint()
	}
	k := min(len(n.checkpointRest), 40)
	if n.cluster.beforeCheckpointRecord != nil {
		if n.cluster.beforeCheckpointRecord(n, n.checkpointSize-len(n.checkpointRest), n.checkpointSize) {
			return nil
		}
		k = min(len(n.checkpointRest), 1)
	}
	var encoded [][]byte
	for _, record := range n.checkpointRest[:k] {
		encoded = append(encoded, codec.PackRecord(record))
	}
	n.checkpointRest = n.checkpointRest[k:]
	if err := n.log.AppendCheckpoint(encoded); err != nil || len(n.checkpointRest) > 0 {
		return err
	}
	n.checkpointing = false
	return n.log.EndCheckpoint()
}

// PowerLoss cuts a node's power and loses what its disk had not synced.
func (n *ControlNode) LosePower() {
	n.Kill()
	n.Disk.PowerLoss()
	n.cluster.world.Notef("%s lost its power", n.Name)
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

// oneOwner holds that no slot has two owners under live leases at one instant.
func (c *Cluster) checkOneLeader() {
	if c.world.Events%8 != 0 {
		return
	}
	owner := map[int]string{}
	for _, node := range c.Nodes {
		if !node.up || node.node == nil {
			continue
		}
		for i, status := range node.node.Status(node.Clock()) {
			if !status.IsLeader {
				continue
			}
			if o := owner[i]; o != "" {
				c.world.Violation("two owners", "slot %d: %s and %s", i, o, node.Name)
			}
			owner[i] = node.Name
		}
	}
}
