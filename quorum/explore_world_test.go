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
	tickInterval          = 100_000
	maxMachines           = 6
	firstIncarnation      = 1
	firstWipedIncarnation = 1000
)

// explorePlan is the plan of every explored node.
func exploreConfig(name string, inc uint64, c worldConfig) Config {
	return Config{Name: name, Incarnation: inc, Slots: c.slots, HeartbeatInterval: tickInterval, LeaseDuration: 3 * tickInterval, LeaseMargin: tickInterval / 2,
		ChunkBytes: c.chunkBytes, MaxStateBytes: 1 << 20, GenerationDuration: c.generationDuration, OpenGenerations: 1}
}

// config sizes a world.
type worldConfig struct {
	voters             int // of the first roster
	machines           int // with those that may be let in later
	slots              int
	generationDuration int64
	chunkBytes         int // bytes of entries in one message
	seats              uint16
	lateMessages       bool // walks put messages aside
}

// diskLog is what a disk holds, newest record first; it is never changed, only extended.
type diskLog struct {
	previous *diskLog
	record   Record
	length   int
	sum      digest
}

func (d *diskLog) add(r Record, s digest) *diskLog {
	n := &diskLog{previous: d, record: r, length: 1, sum: s}
	if d != nil {
		n.length = d.length + 1
		n.sum = sum(append(d.sum[:], s[:]...))
	}
	return n
}

func (d *diskLog) records() []Record {
	var out []Record
	for ; d != nil; d = d.previous {
		out = append(out, d.record)
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
	name        string
	incarnation uint64
	up          bool // the process runs; without a node it asks to be let in
	node        *Node
	state       *nodeState // node's state in the cache, when searching
	frozen      bool
	stalled     bool // its disk syncs nothing
	synced      *diskLog
	unsynced    []Record
	sums        []digest // of unsynced, when searching
	issued      uint64
	voterSet    VoterSet // that the process starts from
}

// packet is a message on its way.
type packet struct {
	to      int
	message *Message
	sum     digest
}

// link is the state of the wire from one machine to another.
type link uint8

const (
	linkUp   link = iota
	linkCut       // what is sent is lost
	linkHeld      // what is sent stays on its way
)

// world is a small fleet of real nodes under the explorer's control of time, wires,
// disks and processes. Copying the struct copies the world when a cache is in use,
// since the cache's node states never change.
type world struct {
	worldConfig
	now        int64
	machines   [maxMachines]machine
	links      [maxMachines][maxMachines]link
	inFlight   []packet
	setAside   []packet // put aside, and free to come at any time
	wipes      uint64
	operations uint64
	checker    checker
	cache      *cache // nil: nodes change in place
	inputs     *int   // how many inputs nodes took
}

// newWorld starts all voters of a first roster.
func newWorld(c worldConfig, k *cache) *world {
	w := &world{worldConfig: c, cache: k, now: tickInterval, inputs: new(int)}
	w.checker.init(c)
	r := VoterSet{Revision: FirstRevision(9), Seats: c.seats}
	for i := range c.machines {
		w.machines[i] = machine{name: string(rune('a' + i)), incarnation: uint64(firstIncarnation + i)}
		if i < c.voters {
			r.Voters = append(r.Voters, Voter{Name: w.machines[i].name, Incarnation: w.machines[i].incarnation, Number: uint16(i + 1)})
		}
	}
	w.checker.voterSetInForce(r)
	for i := range c.voters {
		w.machines[i].voterSet = r
		w.start(i)
	}
	return w
}

func (w *world) copied() *world {
	c := *w
	c.inFlight = slices.Clone(w.inFlight)
	c.setAside = slices.Clone(w.setAside)
	for i := range c.machines {
		c.machines[i].unsynced = slices.Clip(c.machines[i].unsynced)
		c.machines[i].sums = slices.Clip(c.machines[i].sums)
	}
	c.checker = w.checker.copied()
	return &c
}

func (w *world) index(name string) int {
	for i := range w.worldConfig.machines {
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
	if len(m.voterSet.Voters) > 0 {
		w.boot(i)
	}
}

func (w *world) boot(i int) {
	m := &w.machines[i]
	m.issued, m.unsynced, m.sums = 0, nil, nil
	m.node = New(exploreConfig(m.name, m.incarnation, w.worldConfig), m.voterSet, w.now, m.synced.records())
	if w.cache != nil {
		m.state = w.cache.intern(m.node)
		m.node = m.state.node
	}
}

// kill ends a machine's process; kept of the records not synced yet are on its disk
// all the same. What is on its way to it may still arrive, in its next life.
func (w *world) kill(i, kept int) {
	m := &w.machines[i]
	if !m.up {
		return
	}
	w.flush(m, min(kept, len(m.unsynced)))
	m.up, m.node, m.state, m.unsynced, m.sums = false, nil, nil, nil, nil
	m.frozen, m.stalled = false, false
	w.checker.processDied(i)
}

// sink puts the first n records not synced yet on the disk.
func (w *world) flush(m *machine, n int) {
	for j, r := range m.unsynced[:n] {
		var s digest
		if w.cache != nil {
			s = m.sums[j]
		}
		m.synced = m.synced.add(r, s)
		if r.Type == RecordVoterSet && r.VoterSet.Revision > m.voterSet.Revision {
			m.voterSet = *r.VoterSet
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
	w.wipes++
	m.synced, m.voterSet, m.incarnation = nil, VoterSet{}, firstWipedIncarnation+w.wipes
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
	w.flush(m, len(m.unsynced))
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
	t := w.cache.apply(m.state, in)
	m.state, m.node = t.to, t.to.node
	w.effects(i, t.ready, t)
}

func (w *world) effects(i int, o Ready, t *transition) {
	m := &w.machines[i]
	for j, r := range o.Records {
		m.unsynced = append(m.unsynced, r)
		if t != nil {
			m.sums = append(m.sums, t.recordSums[j])
		}
		m.issued++
	}
	for j := range o.Messages {
		to := w.index(o.Messages[j].To)
		if to < 0 || w.links[i][to] == linkCut || !w.machines[to].up {
			continue
		}
		p := packet{to: to, message: &o.Messages[j].Message}
		if t != nil {
			p.sum = t.messageSums[j]
		}
		w.inFlight = append(w.inFlight, p)
	}
	for _, a := range o.Results {
		w.checker.operationReturned(a)
	}
	if o.VoterSet != nil {
		w.checker.voterSetInForce(*o.VoterSet)
		if v, ok := o.VoterSet.Find(m.name); !ok || v.Incarnation != m.incarnation {
			w.wipe(i) // a disk that was replaced is retired
			w.start(i)
		}
	}
}

// next is the place of the oldest message that can be delivered, or -1.
func (w *world) next() int {
	for k, p := range w.inFlight {
		if w.machines[p.to].frozen || w.links[w.index(p.message.From)][p.to] == linkHeld {
			continue
		}
		return k
	}
	return -1
}

// step does what comes next when nothing goes wrong: a sync, then the oldest message.
// It reports false when the world is quiet until the next tick.
func (w *world) step() bool {
	for i := range w.worldConfig.machines {
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
	p := w.inFlight[k]
	w.inFlight = slices.Delete(w.inFlight, k, k+1)
	w.receive(p)
}

func (w *world) receive(p packet) {
	if w.running(p.to) {
		w.input(p.to, input{kind: inReceive, message: p.message, messageSum: p.sum})
	}
}

// tick lets time pass and ticks every running node, in the order of their names.
func (w *world) tick() {
	w.now += tickInterval
	for i := range w.worldConfig.machines {
		switch {
		case w.running(i):
			w.input(i, input{kind: inTick})
			w.pullVoterSets(i)
		case w.machines[i].up && !w.machines[i].frozen:
			w.requestAdmission(i)
		}
	}
}

// reach reports whether a question and its answer come through.
func (w *world) reachable(i, j int) bool {
	return i != j && w.running(j) && w.links[i][j] == linkUp && w.links[j][i] == linkUp
}

// probe asks for newer rosters while a voter is silent, as the daemon does.
func (w *world) pullVoterSets(i int) {
	n := w.machines[i].node
	if n == nil {
		return
	}
	silent := false
	for _, v := range n.VoterSet().Voters {
		silent = silent || n.Silence(w.now, v.Name) > 2*tickInterval
	}
	if !silent {
		return
	}
	for j := range w.worldConfig.machines {
		if w.reachable(i, j) && w.running(i) && w.machines[j].node.VoterSet().Revision > w.machines[i].node.VoterSet().Revision {
			r := w.machines[j].node.VoterSet()
			w.input(i, input{kind: inObserve, voterSet: &r})
		}
	}
}

// ask has a machine in no roster ask all it reaches to be let in.
func (w *world) requestAdmission(i int) {
	m := &w.machines[i]
	for j := range w.worldConfig.machines {
		if !w.reachable(i, j) {
			continue
		}
		w.input(j, input{kind: inAdmit, voter: Voter{Name: m.name, Incarnation: m.incarnation}})
		if !w.running(j) {
			continue
		}
		r := w.machines[j].node.VoterSet()
		if v, ok := r.Find(m.name); ok && v.Incarnation == m.incarnation {
			m.voterSet = r
			w.boot(i)
			return
		}
	}
}

// do starts a client's operation on a machine.
func (w *world) propose(i int, op Operation) {
	if !w.running(i) {
		return
	}
	w.operations++
	op.ID = w.operations
	if op.Type == OpPut && op.Value == nil || op.Type == OpClaim {
		op.Value = []byte("v" + strconv.FormatUint(op.ID, 10))
	}
	w.checker.operationCalled(i, w.now, op)
	w.input(i, input{kind: inPropose, operation: op})
}

// quiet runs until nothing is left to do before the next tick.
func (w *world) runUntilIdle() {
	for n := 0; w.checker.violation == "" && w.step(); n++ {
		if n > 2000 {
			panic(fmt.Sprint("no end of messages at ", w.now))
		}
		w.checker.check(w)
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
	b = binary.AppendUvarint(b, w.wipes)
	b = binary.AppendUvarint(b, w.operations)
	for i := range w.worldConfig.machines {
		m := &w.machines[i]
		for j := range w.worldConfig.machines {
			b = append(b, byte(w.links[i][j]))
		}
		b = binary.AppendUvarint(b, m.incarnation)
		b = binary.AppendUvarint(b, m.issued)
		b = binary.AppendUvarint(b, m.voterSet.Revision)
		b = append(b, bit(m.up), bit(m.frozen), bit(m.stalled))
		b = append(b, m.state.digest()...)
		d := m.synced.digest()
		b = append(b, d[:]...)
		for _, s := range m.sums {
			b = append(b, s[:]...)
		}
	}
	for _, p := range slices.Concat(w.inFlight, []packet{{}}, w.setAside) {
		b = append(b, byte(p.to))
		b = append(b, p.sum[:]...)
	}
	return sum(w.checker.encode(b))
}
