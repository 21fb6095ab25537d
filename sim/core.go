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
	c := &Cluster{world: world, generationUS: 800_000, logConfig: smallLog}
	c.voterSet.Revision = quorum.FirstRevision(7)
	for i := 0; i < n; i++ {
		r := c.newNode()
		c.voterSet.Voters = append(c.voterSet.Voters, quorum.Voter{Name: r.Name, Addr: r.Name, Incarnation: r.incarnation, Number: uint16(i + 1)})
		r.voterSet = c.voterSet
	}
	for _, r := range c.Nodes {
		r.voterSet = c.voterSet
	}
	world.invariants = append(world.invariants, c.checkOneLeader)
	return c
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
	r := &ControlNode{cluster: c, Disk: NewDisk(c.world), incarnation: uint64(100 + i)}
	r.Host = c.world.NewHost(fmt.Sprint("registrar", i), zones[i%len(zones)], r.start)
	c.Nodes = append(c.Nodes, r)
	if c.onNewNode != nil {
		c.onNewNode(r)
	}
	return r
}

var zones = []string{"north", "east", "south", "west"}

// Start boots all nodes.
func (c *Cluster) Start() {
	for _, r := range c.Nodes {
		r.Start()
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
	var recs []quorum.Record
	for _, b := range raw {
		c, _, err := codec.UnpackRecord(b)
		if err != nil {
			n.fail(err)
			return
		}
		recs = append(recs, c)
	}
	p := quorum.DefaultConfig(n.Name, n.incarnation)
	p.GenerationDuration, p.OpenGenerations = n.cluster.generationUS, 3
	if n.cluster.leaseUS > 0 {
		p.LeaseDuration = n.cluster.leaseUS
	}
	p.MaxStateBytes = int(int64(n.cluster.logConfig.SegmentCount) * n.cluster.logConfig.SegmentBytes / 4)
	n.node = nil
	if len(n.voterSet.Voters) > 0 {
		n.node = quorum.New(p, n.voterSet, n.Clock(), recs)
		if err := n.checkpointIfFull(); err != nil {
			n.node = nil // there is no room for the state itself
			n.fail(err)
			return
		}
	} else if n.cluster.selfHealing {
		at := n.cluster.world.now
		n.Every(50_000, func() { n.requestAdmission(p, at) })
	} else {
		n.Every(200_000, func() { n.pollVoterSet(p) })
	}
	if n.cluster.selfHealing {
		n.Every(150_000, n.pollNewerVoterSets)
	}
	if n.cluster.onBoot != nil {
		n.cluster.onBoot(n)
	}
	n.Every(p.HeartbeatInterval/4, func() {
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
func (n *ControlNode) pollVoterSet(p quorum.Config) {
	if n.node != nil {
		return
	}
	o := n.cluster.Nodes[n.cluster.world.Rng.Intn(len(n.cluster.Nodes))]
	Call(n.Host, o.Host, 0, 300_000, func(_ int, rep func(quorum.VoterSet)) {
		if o.node != nil {
			rep(o.node.VoterSet())
		}
	}, func(ro quorum.VoterSet) {
		if v, ok := ro.Find(n.Name); ok && v.Incarnation == n.incarnation && n.node == nil {
			n.voterSet = ro
			n.node = quorum.New(p, ro, n.Clock(), nil)
			n.cluster.world.Notef("%s joins at step %d", n.Name, ro.Step())
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
func (n *ControlNode) requestAdmission(p quorum.Config, at int64) {
	if n.node != nil {
		return
	}
	me := quorum.Voter{Name: n.Name, Addr: n.Name, Incarnation: n.incarnation}
	for _, o := range n.cluster.Nodes {
		if o == n {
			continue
		}
		Call(n.Host, o.Host, 0, 500_000, func(_ int, rep func(quorum.VoterSet)) {
			if o.node != nil && o.Failure == nil {
				ro := o.node.VoterSet()
				o.handle(o.node.AdmitVoter(o.Clock(), me))
				rep(ro)
			}
		}, func(ro quorum.VoterSet) {
			if n.node != nil || !n.isMemberOf(ro) {
				return
			}
			n.voterSet = ro
			n.node = quorum.New(p, ro, n.Clock(), nil)
			n.cluster.world.Notef("%s joins at step %d", n.Name, ro.Step())
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

func (n *ControlNode) isMemberOf(ro quorum.VoterSet) bool {
	v, ok := ro.Find(n.Name)
	return ok && v.Incarnation == n.incarnation
}

// probe asks for newer rosters while voters are silent, as the daemon does.
func (n *ControlNode) pollNewerVoterSets() {
	if n.node == nil || n.Failure != nil {
		return
	}
	for _, v := range n.node.VoterSet().Voters {
		if n.node.Silence(n.Clock(), v.Name) < 250_000 {
			continue
		}
		for _, o := range n.cluster.Nodes {
			if o == n {
				continue
			}
			Call(n.Host, o.Host, 0, 500_000, func(_ int, rep func(quorum.VoterSet)) {
				if o.node != nil && o.Failure == nil {
					rep(o.node.VoterSet())
				}
			}, func(ro quorum.VoterSet) {
				if n.node != nil && n.Failure == nil {
					n.handle(n.node.ObserveVoterSet(n.Clock(), ro))
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
	for _, c := range o.Records {
		if err := n.log.Append(codec.PackRecord(c)); err != nil {
			n.fail(err)
			return
		}
		n.recordsIssued++
	}
	if len(o.Records) > 0 {
		n.sync()
	}
	for _, s := range o.Messages {
		for _, p := range n.cluster.Nodes {
			if p.Name == s.To {
				m := s.Message
				n.cluster.world.observe("frame", n.Name, p.Name, m)
				n.Send(p.Host, func() { p.receive(m) })
				if n.cluster.onMessage != nil {
					n.cluster.onMessage(p, m)
				}
			}
		}
	}
	for _, a := range o.Results {
		f := n.pending[a.ID]
		if f == nil {
			continue
		}
		delete(n.pending, a.ID)
		if n.cluster.beforeResult != nil && n.cluster.beforeResult(n, a) {
			return
		}
		f(a)
	}
	if o.VoterSet != nil && n.cluster.selfHealing && !n.isMemberOf(*o.VoterSet) {
		n.retire()
	}
}

// recv takes a message through the very codec of the wires.
func (n *ControlNode) receive(m quorum.Message) {
	if n.node == nil || n.Failure != nil || n.cluster.dropsMessage != nil && n.cluster.dropsMessage(m) {
		return
	}
	f, err := codec.Decode(codec.Encode(codec.PackMessage(m))[8:])
	if err != nil {
		n.cluster.world.Violation("codec", "%v", err)
		return
	}
	n.handle(n.node.Receive(n.Clock(), codec.UnpackMessage(f.VoterMessage)))
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
	for _, c := range n.node.Checkpoint() {
		parts = append(parts, codec.PackRecord(c))
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
	var recs [][]byte
	for _, c := range n.checkpointRest[:k] {
		recs = append(recs, codec.PackRecord(c))
	}
	n.checkpointRest = n.checkpointRest[k:]
	if err := n.log.AppendCheckpoint(recs); err != nil || len(n.checkpointRest) > 0 {
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
func (n *ControlNode) Propose(op quorum.Operation, f func(quorum.Result)) {
	if n.node == nil || n.Failure != nil {
		f(quorum.Result{Status: quorum.StatusNotLeader})
		return
	}
	n.lastOperationID++
	op.ID = n.lastOperationID
	n.pending[op.ID] = f
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
	n.Propose(op, func(a quorum.Result) {
		if a.Status != quorum.StatusNotLeader || a.Leader == "" || a.Leader == n.Name || hops >= 2 {
			reply(a)
			return
		}
		if n.isSilent(a.Leader) {
			reply(quorum.Result{Status: quorum.StatusNotLeader})
			return
		}
		for _, p := range n.cluster.Nodes {
			if p.Name == a.Leader {
				Call(n.Host, p.Host, op, 700_000, func(q quorum.Operation, rep func(quorum.Result)) { p.Forward(q, hops+1, rep) },
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
	for _, r := range c.Nodes {
		if !r.up || r.node == nil {
			continue
		}
		for i, s := range r.node.Status(r.Clock()) {
			if !s.IsLeader {
				continue
			}
			if o := owner[i]; o != "" {
				c.world.Violation("two owners", "slot %d: %s and %s", i, o, r.Name)
			}
			owner[i] = r.Name
		}
	}
}
