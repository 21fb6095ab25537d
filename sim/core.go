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
type Core struct {
	w      *World
	ro     quorum.VoterSet
	Nodes  []*Registrar
	rings  wal.Config
	era    int64                     // how long an era of claims is the newest
	term   int64                     // of a slot owner's lease, 0 for the default
	onNew  func(*Registrar)          // what a fleet adds to a machine
	onBoot func(*Registrar)          // what else runs on a machine, at each start
	drop   func(quorum.Message) bool // messages that get lost, for directed days
	// answering is asked before a node tells of an operation's end, and whether its
	// process dies of it; synced likewise, when records are on its disk and before its
	// voter hears of that. Both are for directed days.
	answering func(*Registrar, quorum.Result) bool
	synced    func(*Registrar) bool
	loses     func(OrderStep) bool // steps of orders that get lost, for directed days
	// checkpointing is asked before each record of a checkpoint, how many of it are
	// written, and whether the process ends there; the parts are single records then.
	checkpointing func(r *Registrar, written, of int) bool
	// echo is told of every message between voters, for directed days that repeat them.
	echo     func(to *Registrar, m quorum.Message)
	stepping bool   // an operator is changing the roster
	Steps    int    // how often that was done
	armed    bool   // power goes at the next acknowledgement
	heals    bool   // registrars let each other in, without an operator
	incs     uint64 // drawn so far, beside the first ones
	Joined   int    // how often a machine was let in
	Slowest  int64  // from its start until all slots were firm with it
}

// Registrar is a control node: the real voter on a real ring on a simulated disk.
type Registrar struct {
	*Host
	core    *Core
	Disk    *Disk
	inc     uint64
	lost    bool            // this machine is gone for good
	ro      quorum.VoterSet // as founded or last told
	ring    *wal.Log
	node    *quorum.Node
	issued  uint64
	syncing bool
	under   bool            // a checkpoint is being written
	parts   []quorum.Record // what is still to come of it
	whole   int             // records that it has
	Ckpts   int
	era     uint64 // newest that it heard of
	ops     uint64
	waiting map[uint64]func(quorum.Result)
	Dead    error // of its disk
}

// A small ring, so that core days write checkpoints.
var smallRing = wal.Config{SegmentCount: 10, SegmentBytes: 18 << 10}

// NewCore adds n control nodes.
func NewCore(w *World, n int) *Core {
	c := &Core{w: w, era: 800_000, rings: smallRing}
	c.ro.Revision = quorum.FirstRevision(7)
	for i := 0; i < n; i++ {
		r := c.newNode()
		c.ro.Voters = append(c.ro.Voters, quorum.Voter{Name: r.Name, Addr: r.Name, Incarnation: r.inc, Number: uint16(i + 1)})
		r.ro = c.ro
	}
	for _, r := range c.Nodes {
		r.ro = c.ro
	}
	w.after = append(w.after, c.oneOwner)
	return c
}

// restart boots the machine again, unless it is gone for good.
func (r *Registrar) restart() {
	if !r.lost {
		r.Start()
	}
}

// newNode adds a machine with an empty disk that is in no roster yet.
func (c *Core) newNode() *Registrar {
	i := len(c.Nodes)
	r := &Registrar{core: c, Disk: NewDisk(c.w), inc: uint64(100 + i)}
	r.Host = c.w.NewHost(fmt.Sprint("registrar", i), sites[i%len(sites)], r.start)
	c.Nodes = append(c.Nodes, r)
	if c.onNew != nil {
		c.onNew(r)
	}
	return r
}

var sites = []string{"north", "east", "south", "west"}

// Start boots all nodes.
func (c *Core) Start() {
	for _, r := range c.Nodes {
		r.Start()
	}
}

func (r *Registrar) start() {
	r.waiting, r.issued, r.syncing, r.under, r.Dead, r.era = map[uint64]func(quorum.Result){}, 0, false, false, nil, 0
	ring, raw, err := wal.Open(r.Disk, r.core.rings)
	if err != nil {
		r.die(err)
		return
	}
	r.ring = ring
	var recs []quorum.Record
	for _, b := range raw {
		c, _, err := codec.UnpackRecord(b)
		if err != nil {
			r.die(err)
			return
		}
		recs = append(recs, c)
	}
	p := quorum.DefaultConfig(r.Name, r.inc)
	p.GenerationDuration, p.OpenGenerations = r.core.era, 3
	if r.core.term > 0 {
		p.LeaseDuration = r.core.term
	}
	p.MaxStateBytes = int(int64(r.core.rings.SegmentCount) * r.core.rings.SegmentBytes / 4)
	r.node = nil
	if len(r.ro.Voters) > 0 {
		r.node = quorum.New(p, r.ro, r.Clock(), recs)
		if err := r.makeRoom(); err != nil {
			r.node = nil // there is no room for the state itself
			r.die(err)
			return
		}
	} else if r.core.heals {
		at := r.core.w.now
		r.Every(50_000, func() { r.beLetIn(p, at) })
	} else {
		r.Every(200_000, func() { r.join(p) })
	}
	if r.core.heals {
		r.Every(150_000, r.probe)
	}
	if r.core.onBoot != nil {
		r.core.onBoot(r)
	}
	r.Every(p.HeartbeatInterval/4, func() {
		if r.Dead == nil && r.node != nil {
			r.node.SetDiskLow(r.ring.UsedPermille() > 750)
			r.out(r.node.Tick(r.Clock()))
			if r.node != nil {
				r.era = r.node.Generation()
			}
		}
	})
}

// join asks another machine for a roster that holds this disk.
func (r *Registrar) join(p quorum.Config) {
	if r.node != nil {
		return
	}
	o := r.core.Nodes[r.core.w.Rng.Intn(len(r.core.Nodes))]
	Call(r.Host, o.Host, 0, 300_000, func(_ int, rep func(quorum.VoterSet)) {
		if o.node != nil {
			rep(o.node.VoterSet())
		}
	}, func(ro quorum.VoterSet) {
		if v, ok := ro.Find(r.Name); ok && v.Incarnation == r.inc && r.node == nil {
			r.ro = ro
			r.node = quorum.New(p, ro, r.Clock(), nil)
			r.core.w.Note("%s joins at step %d", r.Name, ro.Step())
		}
	}, func() {})
}

// newInc draws the number of an emptied disk.
func (c *Core) newInc() uint64 {
	c.incs++
	return 1000 + c.incs
}

// beLetIn asks all other machines for a place in their roster, as the daemon of a blank
// disk does.
func (r *Registrar) beLetIn(p quorum.Config, at int64) {
	if r.node != nil {
		return
	}
	me := quorum.Voter{Name: r.Name, Addr: r.Name, Incarnation: r.inc}
	for _, o := range r.core.Nodes {
		if o == r {
			continue
		}
		Call(r.Host, o.Host, 0, 500_000, func(_ int, rep func(quorum.VoterSet)) {
			if o.node != nil && o.Dead == nil {
				ro := o.node.VoterSet()
				o.out(o.node.AdmitVoter(o.Clock(), me))
				rep(ro)
			}
		}, func(ro quorum.VoterSet) {
			if r.node != nil || !r.holds(ro) {
				return
			}
			r.ro = ro
			r.node = quorum.New(p, ro, r.Clock(), nil)
			r.core.w.Note("%s joins at step %d", r.Name, ro.Step())
			r.core.Joined++
			var firm func()
			firm = func() {
				if r.node != nil && !r.node.AllSlotsRecovered() {
					r.After(10_000, firm)
					return
				}
				r.core.Slowest = max(r.core.Slowest, r.core.w.now-at)
			}
			firm()
		}, func() {})
	}
}

func (r *Registrar) holds(ro quorum.VoterSet) bool {
	v, ok := ro.Find(r.Name)
	return ok && v.Incarnation == r.inc
}

// probe asks for newer rosters while voters are silent, as the daemon does.
func (r *Registrar) probe() {
	if r.node == nil || r.Dead != nil {
		return
	}
	for _, v := range r.node.VoterSet().Voters {
		if r.node.Silence(r.Clock(), v.Name) < 250_000 {
			continue
		}
		for _, o := range r.core.Nodes {
			if o == r {
				continue
			}
			Call(r.Host, o.Host, 0, 500_000, func(_ int, rep func(quorum.VoterSet)) {
				if o.node != nil && o.Dead == nil {
					rep(o.node.VoterSet())
				}
			}, func(ro quorum.VoterSet) {
				if r.node != nil && r.Dead == nil {
					r.out(r.node.ObserveVoterSet(r.Clock(), ro))
				}
			}, func() {})
		}
		return
	}
}

// retire drops the state of a disk that a newer roster does not hold. The power may go
// in the midst of it: then the old state stands, and it is told again.
func (r *Registrar) retire() {
	inc := r.core.newInc()
	if err := r.ring.Checkpoint([][]byte{codec.PackFounding(&fb.VoterSetT{Incarnation: inc})}); err != nil {
		r.die(err)
		return
	}
	r.core.w.Note("%s is retired, and is %d from now on", r.Name, inc)
	r.inc, r.ro = inc, quorum.VoterSet{}
	r.Kill()
	r.Start()
}

// lose is a machine that comes back empty.
func (r *Registrar) lose() {
	r.Kill()
	r.Disk.Wipe()
	r.inc, r.ro = r.core.newInc(), quorum.VoterSet{}
}

func (r *Registrar) die(err error) {
	if errors.Is(err, wal.ErrFull) && r.node != nil {
		// As the daemon's voter: it begins anew from its disk, with a checkpoint first.
		r.core.w.Note("%s begins anew: %v", r.Name, err)
		r.node = nil
		r.Kill()
		r.Start()
		return
	}
	r.Dead = err
	r.core.w.Note("%s ends: %v", r.Name, err)
	if errors.Is(err, wal.ErrCorrupt) {
		r.core.w.Wrong("ring", "%s can't read its ring: %v", r.Name, err)
	}
	r.node = nil
	r.Kill()
}

func (r *Registrar) out(o quorum.Ready) {
	for _, e := range o.Events {
		r.core.w.Note("%s %s", r.Name, e)
	}
	for _, c := range o.Records {
		if err := r.ring.Append(codec.PackRecord(c)); err != nil {
			r.die(err)
			return
		}
		r.issued++
	}
	if len(o.Records) > 0 {
		r.sync()
	}
	for _, s := range o.Messages {
		for _, p := range r.core.Nodes {
			if p.Name == s.To {
				m := s.Message
				r.core.w.observe("frame", r.Name, p.Name, m)
				r.Send(p.Host, func() { p.recv(m) })
				if r.core.echo != nil {
					r.core.echo(p, m)
				}
			}
		}
	}
	for _, a := range o.Results {
		f := r.waiting[a.ID]
		if f == nil {
			continue
		}
		delete(r.waiting, a.ID)
		if r.core.answering != nil && r.core.answering(r, a) {
			return
		}
		f(a)
	}
	if o.VoterSet != nil && r.core.heals && !r.holds(*o.VoterSet) {
		r.retire()
	}
}

// recv takes a message through the very codec of the wires.
func (r *Registrar) recv(m quorum.Message) {
	if r.node == nil || r.Dead != nil || r.core.drop != nil && r.core.drop(m) {
		return
	}
	f, err := codec.Decode(codec.Encode(codec.PackMessage(m))[8:])
	if err != nil {
		r.core.w.Wrong("codec", "%v", err)
		return
	}
	r.out(r.node.Receive(r.Clock(), codec.UnpackMessage(f.VoterMessage)))
}

func (r *Registrar) sync() {
	if r.syncing {
		return
	}
	r.syncing = true
	r.After(400+r.core.w.Rng.Int63n(3000)+r.Disk.Stall, func() {
		r.syncing = false
		n := r.issued
		if err := r.ring.Sync(); err != nil {
			r.die(err)
			return
		}
		if err := r.checkpoint(); err != nil {
			r.die(err)
			return
		}
		if !r.up {
			return
		}
		if r.core.synced != nil && r.core.synced(r) {
			return
		}
		r.out(r.node.RecordsSynced(r.Clock(), n))
		if r.Dead == nil && r.issued > n {
			r.sync()
		}
	})
}

// makeRoom restates the state before anything else is written, as the daemon does at its
// start, if the process ended in the midst of a checkpoint.
func (r *Registrar) makeRoom() error {
	if r.ring.UsedPermille() <= 350 {
		return nil
	}
	var parts [][]byte
	for _, c := range r.node.Checkpoint() {
		parts = append(parts, codec.PackRecord(c))
	}
	return r.ring.Checkpoint(parts)
}

// checkpoint writes a part of one with each sync, as the daemon does between
// changes.
func (r *Registrar) checkpoint() error {
	if r.node == nil {
		return nil
	}
	if !r.under {
		if r.ring.UsedPermille() <= 350 {
			return nil
		}
		r.under, r.parts = true, r.node.Checkpoint()
		r.core.w.Note("%s begins a checkpoint of %d", r.Name, len(r.parts))
		r.Ckpts++
		r.whole = len(r.parts)
		return r.ring.BeginCheckpoint()
	}
	k := min(len(r.parts), 40)
	if r.core.checkpointing != nil {
		if r.core.checkpointing(r, r.whole-len(r.parts), r.whole) {
			return nil
		}
		k = min(len(r.parts), 1)
	}
	var recs [][]byte
	for _, c := range r.parts[:k] {
		recs = append(recs, codec.PackRecord(c))
	}
	r.parts = r.parts[k:]
	if err := r.ring.AppendCheckpoint(recs); err != nil || len(r.parts) > 0 {
		return err
	}
	r.under = false
	return r.ring.EndCheckpoint()
}

// PowerLoss cuts a node's power and loses what its disk had not synced.
func (r *Registrar) PowerLoss() {
	r.Kill()
	r.Disk.PowerLoss()
	r.core.w.Note("%s lost its power", r.Name)
}

// Do starts an operation on this node.
func (r *Registrar) Do(op quorum.Operation, f func(quorum.Result)) {
	if r.node == nil || r.Dead != nil {
		f(quorum.Result{Status: quorum.StatusNotLeader})
		return
	}
	r.ops++
	op.ID = r.ops
	r.waiting[op.ID] = f
	r.out(r.node.Propose(r.Clock(), op))
}

// muteAfter is how long an owner may be silent before nothing is passed on to it, as in
// the daemon (internal/app/control): whoever asks learns at once to ask elsewhere.
const muteAfter = 400_000

// mute reports whether a voter was not heard here for a while.
func (r *Registrar) mute(name string) bool {
	return r.node != nil && r.node.Silence(r.Clock(), name) > muteAfter
}

// Op carries an operation to the owner, as the daemons do, with one hop.
func (r *Registrar) Op(op quorum.Operation, hops int, reply func(quorum.Result)) {
	r.Do(op, func(a quorum.Result) {
		if a.Status != quorum.StatusNotLeader || a.Leader == "" || a.Leader == r.Name || hops >= 2 {
			reply(a)
			return
		}
		if r.mute(a.Leader) {
			reply(quorum.Result{Status: quorum.StatusNotLeader})
			return
		}
		for _, p := range r.core.Nodes {
			if p.Name == a.Leader {
				Call(r.Host, p.Host, op, 700_000, func(q quorum.Operation, rep func(quorum.Result)) { p.Op(q, hops+1, rep) },
					reply, func() { reply(quorum.Result{Status: quorum.StatusUnknown}) })
				return
			}
		}
		reply(quorum.Result{Status: quorum.StatusNotLeader})
	})
}

// oneOwner holds that no slot has two owners under live leases at one instant.
func (c *Core) oneOwner() {
	if c.w.Steps%8 != 0 {
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
				c.w.Wrong("two owners", "slot %d: %s and %s", i, o, r.Name)
			}
			owner[i] = r.Name
		}
	}
}
