package quorum

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strconv"
)

// The sizes of the explored world. Terms are short, so that a lease runs out within a
// few ticks; all events between two ticks happen at one instant.
const (
	tickTime    = 100_000
	maxMachines = 6
	firstInc    = 1
	wipedInc    = 1000
)

// explorePlan is the plan of every explored node.
func explorePlan(name string, inc uint64, c config) Config {
	return Config{Name: name, Incarnation: inc, Slots: c.slots, HeartbeatInterval: tickTime, LeaseDuration: 3 * tickTime, LeaseMargin: tickTime / 2,
		ChunkBytes: c.chunk, MaxStateBytes: 1 << 20, GenerationDuration: c.eraTerm, OpenGenerations: 1}
}

// config sizes a world.
type config struct {
	voters   int // of the first roster
	machines int // with those that may be let in later
	slots    int
	eraTerm  int64
	chunk    int // bytes of entries in one message
	seats    uint16
	lateness bool // walks put messages aside
}

// diskLog is what a disk holds, newest record first; it is never changed, only extended.
type diskLog struct {
	before *diskLog
	rec    Record
	length int
	sum    digest
}

func (d *diskLog) add(r Record, s digest) *diskLog {
	n := &diskLog{before: d, rec: r, length: 1, sum: s}
	if d != nil {
		n.length = d.length + 1
		n.sum = sum(append(d.sum[:], s[:]...))
	}
	return n
}

func (d *diskLog) recs() []Record {
	var out []Record
	for ; d != nil; d = d.before {
		out = append(out, d.rec)
	}
	slices.Reverse(out)
	return out
}

func (d *diskLog) digest() digest {
	if d == nil {
		return digest{}
	}
	return d.sum
}

// machine is a control machine: its disk and the process that runs on it, if any.
type machine struct {
	name     string
	inc      uint64
	up       bool // the process runs; without a node it asks to be let in
	node     *Node
	life     *life // node's state in the cache, when searching
	frozen   bool
	stalled  bool // its disk syncs nothing
	synced   *diskLog
	unsynced []Record
	sums     []digest // of unsynced, when searching
	issued   uint64
	roster   VoterSet // that the process starts from
}

// packet is a message on its way.
type packet struct {
	to  int
	msg *Message
	sum digest
}

// link is the state of the wire from one machine to another.
type link uint8

const (
	whole link = iota
	cut        // what is sent is lost
	held       // what is sent stays on its way
)

// world is a small fleet of real nodes under the explorer's control of time, wires,
// disks and processes. Copying the struct copies the world when a cache is in use,
// since the cache's node states never change.
type world struct {
	config
	now      int64
	machines [maxMachines]machine
	wires    [maxMachines][maxMachines]link
	flight   []packet
	late     []packet // put aside, and free to come at any time
	wiped    uint64
	ops      uint64
	judge    judge
	cache    *cache // nil: nodes change in place
	inputs   *int   // how many inputs nodes took
}

// newWorld starts all voters of a first roster.
func newWorld(c config, k *cache) *world {
	w := &world{config: c, cache: k, now: tickTime, inputs: new(int)}
	w.judge.init(c)
	r := VoterSet{Revision: FirstRevision(9), Seats: c.seats}
	for i := range c.machines {
		w.machines[i] = machine{name: string(rune('a' + i)), inc: uint64(firstInc + i)}
		if i < c.voters {
			r.Voters = append(r.Voters, Voter{Name: w.machines[i].name, Incarnation: w.machines[i].inc, Number: uint16(i + 1)})
		}
	}
	w.judge.inForce(r)
	for i := range c.voters {
		w.machines[i].roster = r
		w.start(i)
	}
	return w
}

func (w *world) copied() *world {
	c := *w
	c.flight = slices.Clone(w.flight)
	c.late = slices.Clone(w.late)
	for i := range c.machines {
		c.machines[i].unsynced = slices.Clip(c.machines[i].unsynced)
		c.machines[i].sums = slices.Clip(c.machines[i].sums)
	}
	c.judge = w.judge.copied()
	return &c
}

func (w *world) index(name string) int {
	for i := range w.config.machines {
		if w.machines[i].name == name {
			return i
		}
	}
	return -1
}

func (w *world) running(i int) bool {
	m := &w.machines[i]
	return m.up && m.node != nil && !m.frozen
}

// start boots a machine's process from what its disk holds.
func (w *world) start(i int) {
	m := &w.machines[i]
	if m.up {
		return
	}
	m.up, m.frozen, m.stalled, m.issued = true, false, false, 0
	if len(m.roster.Voters) > 0 {
		w.boot(i)
	}
}

func (w *world) boot(i int) {
	m := &w.machines[i]
	m.issued, m.unsynced, m.sums = 0, nil, nil
	m.node = New(explorePlan(m.name, m.inc, w.config), m.roster, w.now, m.synced.recs())
	if w.cache != nil {
		m.life = w.cache.intern(m.node)
		m.node = m.life.node
	}
}

// kill ends a machine's process; kept of the records not synced yet are on its disk
// all the same. What is on its way to it may still arrive, in its next life.
func (w *world) kill(i, kept int) {
	m := &w.machines[i]
	if !m.up {
		return
	}
	w.sink(m, min(kept, len(m.unsynced)))
	m.up, m.node, m.life, m.unsynced, m.sums = false, nil, nil, nil, nil
	m.frozen, m.stalled = false, false
	w.judge.gone(i)
}

// sink puts the first n records not synced yet on the disk.
func (w *world) sink(m *machine, n int) {
	for j, r := range m.unsynced[:n] {
		var s digest
		if w.cache != nil {
			s = m.sums[j]
		}
		m.synced = m.synced.add(r, s)
		if r.Type == RecordVoterSet && r.VoterSet.Revision > m.roster.Revision {
			m.roster = *r.VoterSet
		}
	}
	m.unsynced = m.unsynced[n:]
	if w.cache != nil {
		m.sums = m.sums[n:]
	}
}

// wipe takes a machine's disk away; it asks to be let in under a new incarnation.
func (w *world) wipe(i int) {
	w.kill(i, 0)
	m := &w.machines[i]
	w.wiped++
	m.synced, m.roster, m.inc = nil, VoterSet{}, wipedInc+w.wiped
}

// checkpoint restates a disk by its node's checkpoint.
func (w *world) checkpoint(i int) {
	m := &w.machines[i]
	if !w.running(i) || len(m.unsynced) > 0 {
		return
	}
	m.synced = nil
	for _, r := range m.node.Checkpoint() {
		m.synced = m.synced.add(r, digestOf(&r))
	}
}

// sync puts everything issued on the disk and tells the node.
func (w *world) sync(i int) {
	m := &w.machines[i]
	w.sink(m, len(m.unsynced))
	w.input(i, input{kind: inSynced, count: m.issued})
}

// input gives a running node one event and takes its effects.
func (w *world) input(i int, in input) {
	in.now = w.now
	*w.inputs++
	m := &w.machines[i]
	if w.cache == nil {
		w.effects(i, in.run(m.node), nil)
		return
	}
	t := w.cache.apply(m.life, in)
	m.life, m.node = t.to, t.to.node
	w.effects(i, t.out, t)
}

func (w *world) effects(i int, o Ready, t *transition) {
	m := &w.machines[i]
	for j, r := range o.Records {
		m.unsynced = append(m.unsynced, r)
		if t != nil {
			m.sums = append(m.sums, t.recSums[j])
		}
		m.issued++
	}
	for j := range o.Messages {
		to := w.index(o.Messages[j].To)
		if to < 0 || w.wires[i][to] == cut || !w.machines[to].up {
			continue
		}
		p := packet{to: to, msg: &o.Messages[j].Message}
		if t != nil {
			p.sum = t.msgSums[j]
		}
		w.flight = append(w.flight, p)
	}
	for _, a := range o.Results {
		w.judge.answered(a)
	}
	if o.VoterSet != nil {
		w.judge.inForce(*o.VoterSet)
		if v, ok := o.VoterSet.Find(m.name); !ok || v.Incarnation != m.inc {
			w.wipe(i) // a disk that was replaced is retired
			w.start(i)
		}
	}
}

// next is the place of the oldest message that can be delivered, or -1.
func (w *world) next() int {
	for k, p := range w.flight {
		if w.machines[p.to].frozen || w.wires[w.index(p.msg.From)][p.to] == held {
			continue
		}
		return k
	}
	return -1
}

// step does what comes next when nothing goes wrong: a sync, then the oldest message.
// It reports false when the world is quiet until the next tick.
func (w *world) step() bool {
	for i := range w.config.machines {
		if m := &w.machines[i]; w.running(i) && !m.stalled && len(m.unsynced) > 0 {
			w.sync(i)
			return true
		}
	}
	k := w.next()
	if k < 0 {
		return false
	}
	w.deliver(k)
	return true
}

func (w *world) deliver(k int) {
	p := w.flight[k]
	w.flight = slices.Delete(w.flight, k, k+1)
	w.hand(p)
}

func (w *world) hand(p packet) {
	if w.running(p.to) {
		w.input(p.to, input{kind: inRecv, msg: p.msg, msgSum: p.sum})
	}
}

// tick lets time pass and ticks every running node, in the order of their names.
func (w *world) tick() {
	w.now += tickTime
	for i := range w.config.machines {
		switch {
		case w.running(i):
			w.input(i, input{kind: inTick})
			w.probe(i)
		case w.machines[i].up && !w.machines[i].frozen:
			w.ask(i)
		}
	}
}

// reach reports whether a question and its answer come through.
func (w *world) reach(i, j int) bool {
	return i != j && w.running(j) && w.wires[i][j] == whole && w.wires[j][i] == whole
}

// probe asks for newer rosters while a voter is silent, as the daemon does.
func (w *world) probe(i int) {
	n := w.machines[i].node
	if n == nil {
		return
	}
	silent := false
	for _, v := range n.VoterSet().Voters {
		silent = silent || n.Silence(w.now, v.Name) > 2*tickTime
	}
	if !silent {
		return
	}
	for j := range w.config.machines {
		if w.reach(i, j) && w.running(i) && w.machines[j].node.VoterSet().Revision > w.machines[i].node.VoterSet().Revision {
			r := w.machines[j].node.VoterSet()
			w.input(i, input{kind: inLearn, roster: &r})
		}
	}
}

// ask has a machine in no roster ask all it reaches to be let in.
func (w *world) ask(i int) {
	m := &w.machines[i]
	for j := range w.config.machines {
		if !w.reach(i, j) {
			continue
		}
		w.input(j, input{kind: inAdmit, voter: Voter{Name: m.name, Incarnation: m.inc}})
		if !w.running(j) {
			continue
		}
		r := w.machines[j].node.VoterSet()
		if v, ok := r.Find(m.name); ok && v.Incarnation == m.inc {
			m.roster = r
			w.boot(i)
			return
		}
	}
}

// do starts a client's operation on a machine.
func (w *world) do(i int, op Operation) {
	if !w.running(i) {
		return
	}
	w.ops++
	op.ID = w.ops
	if op.Type == OpPut && op.Value == nil || op.Type == OpClaim {
		op.Value = []byte("v" + strconv.FormatUint(op.ID, 10))
	}
	w.judge.asked(i, w.now, op)
	w.input(i, input{kind: inDo, op: op})
}

// quiet runs until nothing is left to do before the next tick.
func (w *world) quiet() {
	for n := 0; w.judge.wrong == "" && w.step(); n++ {
		if n > 2000 {
			panic(fmt.Sprint("no end of messages at ", w.now))
		}
		w.judge.look(w)
	}
}

func bit(b bool) byte {
	if b {
		return 1
	}
	return 0
}

// key tells worlds apart that may go on differently, or be judged differently.
func (w *world) key() digest {
	b := make([]byte, 0, 1024)
	b = binary.AppendVarint(b, w.now)
	b = binary.AppendUvarint(b, w.wiped)
	b = binary.AppendUvarint(b, w.ops)
	for i := range w.config.machines {
		m := &w.machines[i]
		for j := range w.config.machines {
			b = append(b, byte(w.wires[i][j]))
		}
		b = binary.AppendUvarint(b, m.inc)
		b = binary.AppendUvarint(b, m.issued)
		b = binary.AppendUvarint(b, m.roster.Revision)
		b = append(b, bit(m.up), bit(m.frozen), bit(m.stalled))
		b = append(b, m.life.digest()...)
		d := m.synced.digest()
		b = append(b, d[:]...)
		for _, s := range m.sums {
			b = append(b, s[:]...)
		}
	}
	for _, p := range slices.Concat(w.flight, []packet{{}}, w.late) {
		b = append(b, byte(p.to))
		b = append(b, p.sum[:]...)
	}
	return sum(w.judge.encode(b))
}
