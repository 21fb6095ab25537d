package sim

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand"
)

// World is one simulated run: its events, its hosts and the links between them. All of it
// happens on the goroutine that calls Run; a World is not safe for concurrent use.
type World struct {
	Seed   int64
	Rng    *rand.Rand // of all draws; their order is part of a run
	Events uint64     // run so far

	// LossPermille and DuplicatePermille are the parts of all messages that get lost and
	// that arrive twice, in thousandths.
	LossPermille, DuplicatePermille int

	now          int64 // true time, in microseconds from the start of the run
	queue        eventQueue
	lastSequence uint64   // of the events
	invariants   []func() // checked after every event

	hosts       []*Host
	cutLinks    map[link]bool  // nothing passes
	resetLinks  map[link]bool  // calls over them fail at once
	linkDelayUS map[link]int64 // on top of the usual delay

	violations    []string
	violatedKinds map[string]bool
	notes         []string
	observer      observer // nil for none
}

// observer is called for each message, disk write and decision of a world, in order. It
// must not change what it is given, nor keep it.
type observer func(kind, from, to string, value any)

// observeWorld picks the observer of a new world. Tests alone set it, while no world runs.
var observeWorld func(*World) observer

// NewWorld makes an empty world. Runs of one seed that are set up alike are alike.
func NewWorld(seed int64) *World {
	world := &World{Seed: seed, Rng: rand.New(rand.NewSource(seed)), violatedKinds: map[string]bool{}}
	world.HealAll()
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

// Now is true time in microseconds from the start of the run; hosts see their own clocks.
func (w *World) Now() int64 { return w.now }

// Violation records that an invariant was violated, once for each kind of text.
func (w *World) Violation(kind, format string, args ...any) {
	if w.violatedKinds[kind] {
		return
	}
	w.violatedKinds[kind] = true
	w.violations = append(w.violations, fmt.Sprintf("t=%d %s: %s", w.now, kind, fmt.Sprintf(format, args...)))
}

// maxNotes is how many notes a world holds; then the older half goes.
const maxNotes = 400

// Notef records what happened, for the report of a failing seed.
func (w *World) Notef(format string, args ...any) {
	w.notes = append(w.notes, fmt.Sprintf("t=%d ", w.now)+fmt.Sprintf(format, args...))
	if len(w.notes) > maxNotes {
		w.notes = w.notes[maxNotes/2:]
	}
}

// Notes are what Notef recorded last.
func (w *World) Notes() []string { return w.notes }

// Violations lists the violated invariants.
func (w *World) Violations() []string { return w.violations }

// At runs a task at a true time, or as the next event if that is over. Tasks of one time run
// in the order in which they were added.
func (w *World) At(timeUS int64, task func()) {
	w.lastSequence++
	heap.Push(&w.queue, event{max(timeUS, w.now), w.lastSequence, task})
}

// Run advances until a true time, or until an invariant is violated.
func (w *World) Run(until int64) {
	for len(w.queue) > 0 && w.queue[0].time <= until && len(w.violations) == 0 {
		next := heap.Pop(&w.queue).(event)
		w.now = next.time
		w.Events++
		next.run()
		for _, check := range w.invariants {
			check()
		}
	}
	w.now = max(w.now, until)
}

// Hash sums up a text, for seeds and for comparing runs.
func Hash(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum64()
}
