// Package sim is a seeded simulator that owns time, network and disks and runs
// the very deciding code of the daemons on them, causes the failures of the
// brief, and judges from the outside (docs/simulator.md).
package sim

import (
	"container/heap"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand"

	"violetthread/wal"
)

type event struct {
	time     int64
	sequence uint64
	run      func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].time < q[j].time || q[i].time == q[j].time && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds an event, for the heap.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop takes the last event off, for the heap.
func (q *eventQueue) Pop() any {
	o := *q
	x := o[len(o)-1]
	*q = o[:len(o)-1]
	return x
}

// World is one simulated run. All of it happens on the calling goroutine.
type World struct {
	Seed         int64
	now          int64
	lastSequence uint64
	queue        eventQueue
	Rng          *rand.Rand
	hosts        []*Host
	cutLinks     map[[2]string]bool
	resetLinks   map[[2]string]bool // of the ways that are cut: calls fail at once
	linkDelayUS  map[[2]string]int64
	// Loss and Dup are in thousandths of messages.
	LossPermille, DuplicatePermille int
	violations                      []string
	violatedKinds                   map[string]bool
	notes                           []string
	Events                          uint64
	invariants                      []func() // checked after every event
	observer                        observer // nil if nobody looks on
}

// observer is told of each message, disk write and decision of a world, in order. It
// must not change what it is given, nor keep it.
type observer func(kind, from, to string, value any)

// observeWorld picks the observer of a new world. Tests alone set it, while no world runs.
var observeWorld func(*World) observer

// NewWorld makes an empty world.
func NewWorld(seed int64) *World {
	world := &World{Seed: seed, Rng: rand.New(rand.NewSource(seed)), cutLinks: map[[2]string]bool{}, resetLinks: map[[2]string]bool{}, linkDelayUS: map[[2]string]int64{}, violatedKinds: map[string]bool{}}
	if observeWorld != nil {
		world.observer = observeWorld(world)
	}
	return world
}

// observe tells the observer, if there is one.
func (w *World) observe(kind, from, to string, value any) {
	if w.observer != nil {
		w.observer(kind, from, to, value)
	}
}

// Now is true time; hosts see their own clocks.
func (w *World) Now() int64 { return w.now }

// Wrong records a broken promise, once for each text's kind.
func (w *World) Violation(kind, f string, a ...any) {
	if w.violatedKinds[kind] {
		return
	}
	w.violatedKinds[kind] = true
	w.violations = append(w.violations, fmt.Sprintf("t=%d %s: %s", w.now, kind, fmt.Sprintf(f, a...)))
}

// Note records what happened, for the report of a failing seed.
func (w *World) Notef(f string, a ...any) {
	w.notes = append(w.notes, fmt.Sprintf("t=%d ", w.now)+fmt.Sprintf(f, a...))
	if len(w.notes) > 400 {
		w.notes = w.notes[200:]
	}
}

// Notes and Problems are what Note and Wrong gathered.
func (w *World) Notes() []string { return w.notes }

// Problems lists broken promises.
func (w *World) Violations() []string { return w.violations }

// At runs fn at a true time.
func (w *World) At(at int64, fn func()) {
	w.lastSequence++
	heap.Push(&w.queue, event{max(at, w.now), w.lastSequence, fn})
}

// Run advances until a true time, or until something went wrong.
func (w *World) Run(until int64) {
	for len(w.queue) > 0 && w.queue[0].time <= until && len(w.violations) == 0 {
		e := heap.Pop(&w.queue).(event)
		w.now = e.time
		w.Events++
		e.run()
		for _, f := range w.invariants {
			f()
		}
	}
	w.now = max(w.now, until)
}

// Host is a machine, or one process on it.
type Host struct {
	world       *World
	Name        string
	Zone        string
	process     int
	up          bool
	frozen      bool
	deferred    []func()
	clockOffset int64
	thawedAt    int64 // true time of the last thaw
	boot        func()
	onStop      func()
}

// NewHost adds a host; boot is run whenever it starts.
func (w *World) NewHost(name, site string, boot func()) *Host {
	h := &Host{world: w, Name: name, Zone: site, boot: boot}
	w.hosts = append(w.hosts, h)
	return h
}

// Clock is the host's time since boot: no two hosts agree on it.
func (h *Host) Clock() int64 { return h.world.now + h.clockOffset }

// Up reports whether the host runs (it may be frozen).
func (h *Host) Up() bool { return h.up }

// Start boots the host.
func (h *Host) Start() {
	if h.up {
		return
	}
	h.up, h.frozen, h.deferred = true, false, nil
	h.process++
	h.clockOffset = 1_000_000 + h.world.Rng.Int63n(1_000_000_000)
	h.world.Notef("%s starts", h.Name)
	h.boot()
}

// Kill ends the process at once.
func (h *Host) Kill() {
	if !h.up {
		return
	}
	h.world.Notef("%s dies", h.Name)
	h.up, h.deferred = false, nil
	h.process++
	if h.onStop != nil {
		h.onStop()
	}
}

// Freeze stops the host without it noticing; Thaw lets it go on, with all that
// arrived meanwhile, in order.
func (h *Host) Freeze() {
	if h.up && !h.frozen {
		h.world.Notef("%s freezes", h.Name)
		h.frozen = true
	}
}

// Thaw ends a freeze.
func (h *Host) Thaw() {
	if !h.frozen {
		return
	}
	h.world.Notef("%s thaws", h.Name)
	h.frozen, h.thawedAt = false, h.world.now
	l := h.deferred
	h.deferred = nil
	h.world.Rng.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	for _, f := range l {
		f()
	}
}

// run runs fn on the host in its present life, after a freeze if need be.
func (h *Host) runIn(life int, fn func()) {
	switch {
	case !h.up || h.process != life:
	case h.frozen:
		h.deferred = append(h.deferred, func() { h.runIn(life, fn) })
	default:
		fn()
	}
}

// After runs fn on the host in d microseconds, unless it died meanwhile.
func (h *Host) After(d int64, fn func()) {
	l := h.process
	h.world.At(h.world.now+d, func() { h.runIn(l, fn) })
}

// Every runs fn now and then each period with a little jitter.
func (h *Host) Every(period int64, fn func()) {
	fn()
	h.After(period+h.world.Rng.Int63n(period/8+1), func() { h.Every(period, fn) })
}

// Cut cuts the way from a to b; Heal mends it.
func (w *World) Cut(a, b string) { w.cutLinks[[2]string{a, b}] = true }

// CutBoth cuts both ways.
func (w *World) CutBoth(a, b string) { w.Cut(a, b); w.Cut(b, a) }

// HealAll mends all cuts and slow ways.
func (w *World) HealAll() {
	w.cutLinks, w.resetLinks, w.linkDelayUS = map[[2]string]bool{}, map[[2]string]bool{}, map[[2]string]int64{}
}

// Isolate cuts a host off from all others.
func (w *World) Isolate(name string) {
	for _, h := range w.hosts {
		if h.Name != name {
			w.CutBoth(h.Name, name)
		}
	}
	w.Notef("%s isolated", name)
}

// cutOff reports whether any way to or from a host is cut.
func (w *World) hasCutLink(h *Host) bool {
	for c := range w.cutLinks {
		if c[0] == h.Name || c[1] == h.Name {
			return true
		}
	}
	return false
}

// Send carries fn to another host: late, lost or repeated as the network will.
func (h *Host) Send(to *Host, fn func()) {
	world := h.world
	if h == to {
		h.After(1, fn)
		return
	}
	n := 1
	if world.DuplicatePermille > 0 && world.Rng.Intn(1000) < world.DuplicatePermille {
		n = 2
	}
	for i := 0; i < n; i++ {
		if world.cutLinks[[2]string{h.Name, to.Name}] || world.LossPermille > 0 && world.Rng.Intn(1000) < world.LossPermille {
			continue
		}
		d := 150 + world.Rng.Int63n(900) + world.linkDelayUS[[2]string{h.Name, to.Name}]
		if world.Rng.Intn(200) == 0 {
			d += world.Rng.Int63n(30_000)
		}
		l := to.process
		world.At(world.now+d, func() { to.runIn(l, fn) })
	}
}

// Call asks another host; exactly one of answer and fail runs, unless the
// asker dies. A call that is answered too late fails.
func Call[Q, A any](h, to *Host, q Q, us int64, serve func(q Q, reply func(A)), answer func(A), fail func()) {
	over, life := false, h.process
	giveUp := func() {
		if !over {
			over = true
			fail()
		}
	}
	h.world.observe("ask", h.Name, to.Name, q)
	h.Send(to, func() {
		serve(q, func(a A) {
			h.world.observe("answer", to.Name, h.Name, a)
			to.Send(h, func() {
				if !over && h.process == life { // an answer to a former life reaches nobody
					over = true
					answer(a)
				}
			})
			if h.world.resetsConnections(h, to) {
				h.After(resetDelay, giveUp)
			}
		})
	})
	if h.world.resetsConnections(h, to) {
		h.After(resetDelay, giveUp)
	}
	h.After(us, giveUp)
}

// resetAfter is how long a caller takes to learn that its connection was reset.
const resetDelay = 1_000

// resets tells whether connections between two hosts are reset.
func (w *World) resetsConnections(a, b *Host) bool {
	return w.resetLinks[[2]string{a.Name, b.Name}] || w.resetLinks[[2]string{b.Name, a.Name}]
}

// Disk is a simulated folder. What no sync covered may be lost with the power,
// whole or in part.
type Disk struct {
	world *World
	files map[string]*diskFile
	// Fail makes writes and syncs fail, Stall makes syncs take long.
	FailAll, Full bool
	SyncDelayUS   int64
}

type diskFile struct {
	disk    *Disk
	name    string
	durable []byte
	cache   []byte
	dirty   [][2]int64
}

// NewDisk makes an empty disk.
func NewDisk(world *World) *Disk { return &Disk{world: world, files: map[string]*diskFile{}} }

var errSimulatedDisk = errors.New("simulated disk problem")

// Size implements wal.FS.
func (d *Disk) Size(name string) (int64, error) {
	if f := d.files[name]; f != nil {
		return int64(len(f.durable)), nil
	}
	return 0, nil
}

// Open implements wal.FS.
func (d *Disk) Open(name string, size int64) (wal.File, error) {
	f := d.files[name]
	if f == nil {
		f = &diskFile{disk: d, name: name, durable: make([]byte, size), cache: make([]byte, size)}
		d.files[name] = f
	}
	return f, nil
}

// ReadAt reads what was written, synced or not.
func (f *diskFile) ReadAt(b []byte, o int64) (int, error) { return copy(b, f.cache[o:]), nil }

// WriteAt writes; a loss of power may undo it until Sync.
func (f *diskFile) WriteAt(b []byte, o int64) (int, error) {
	if f.disk.FailAll {
		return 0, errSimulatedDisk
	}
	f.disk.world.observe("write", f.name, "", diskWrite{o, b})
	copy(f.cache[o:], b)
	f.dirty = append(f.dirty, [2]int64{o, o + int64(len(b))})
	return len(b), nil
}

// Sync makes all that was written last.
func (f *diskFile) Sync() error {
	if f.disk.FailAll {
		return errSimulatedDisk
	}
	f.disk.world.observe("sync", f.name, "", len(f.dirty))
	for _, r := range f.dirty {
		copy(f.durable[r[0]:r[1]], f.cache[r[0]:r[1]])
	}
	f.dirty = nil
	return nil
}

// Close does nothing: a file ends with its disk.
func (f *diskFile) Close() error { return nil }

// diskWrite is what an observer is told of a write.
type diskWrite struct {
	offset int64
	data   []byte
}

const sectorBytes = 512

// PowerLoss keeps what was synced, and of the rest each sector by chance.
func (d *Disk) PowerLoss() {
	for _, f := range d.sorted() {
		for _, r := range f.dirty {
			for o := r[0]; o < r[1]; {
				e := min(r[1], (o/sectorBytes+1)*sectorBytes)
				if d.world.Rng.Intn(2) == 0 {
					copy(f.durable[o:e], f.cache[o:e])
				}
				o = e
			}
		}
		f.dirty = nil
		copy(f.cache, f.durable)
	}
}

// Wipe loses the disk.
func (d *Disk) Wipe() { d.files = map[string]*diskFile{} }

func (d *Disk) sorted() []*diskFile {
	var out []*diskFile
	for i := 0; ; i++ {
		f := d.files[fmt.Sprintf("ring-%03d", i)]
		if f == nil {
			return out
		}
		out = append(out, f)
	}
}

// Hash sums up a text, for seeds and for comparing runs.
func Hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return h.Sum64()
}
