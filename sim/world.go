package sim

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand"
)

// World is one simulated run: its events, its hosts and the links between them. Everything
// runs on the goroutine that calls Run; a World is not safe for concurrent use.
type World struct {
	Seed   int64
	Rng    *rand.Rand // source of all draws, whose order is part of a run
	Events uint64     // number run so far

	// LossPermille and DuplicatePermille are the fractions of all messages that are lost and
	// that are delivered twice, in thousandths.
	LossPermille, DuplicatePermille int

	now          int64 // true time, in microseconds from the start of the run
	queue        eventQueue
	lastSequence uint64   // of the events
	invariants   []func() // checked after every event

	hosts       []*Host
	cutLinks    map[link]bool  // nothing passes
	resetLinks  map[link]bool  // calls over them fail at once
	linkDelayUS map[link]int64 // in addition to the usual delay

	violations    []string
	violatedKinds map[string]bool
	notes         []string
	observer      observer // may be nil
}

// observer is called for each message, disk write and decision of a world, in order. It must
// neither change nor keep the value.
type observer func(kind, from, to string, value any)

// observeWorld returns the observer of a new world. Only tests set it, and only while no world
// runs.
var observeWorld func(*World) observer

// NewWorld makes an empty world. Two worlds with the same seed and the same setup behave the
// same.
func NewWorld(seed int64) *World {
	world := &World{Seed: seed, Rng: rand.New(rand.NewSource(seed)), violatedKinds: map[string]bool{}}
	world.HealAll()
	if observeWorld != nil {
		world.observer = observeWorld(world)
	}
	return world
}

// observe calls the observer, if there is one.
func (w *World) observe(kind, from, to string, value any) {
	if w.observer != nil {
		w.observer(kind, from, to, value)
	}
}

// Now returns true time in microseconds from the start of the run. Hosts see their own clocks.
func (w *World) Now() int64 { return w.now }

// Violation records that an invariant was violated, once for each kind.
func (w *World) Violation(kind, format string, args ...any) {
	if w.violatedKinds[kind] {
		return
	}
	w.violatedKinds[kind] = true
	w.violations = append(w.violations, fmt.Sprintf("t=%d %s: %s", w.now, kind, fmt.Sprintf(format, args...)))
}

// maxNotes limits the notes that a world keeps; above it the older half is dropped.
const maxNotes = 400

// Notef records an event for the report of a failing seed.
func (w *World) Notef(format string, args ...any) {
	w.notes = append(w.notes, fmt.Sprintf("t=%d ", w.now)+fmt.Sprintf(format, args...))
	if len(w.notes) > maxNotes {
		w.notes = w.notes[maxNotes/2:]
	}
}

// Notes returns the most recent notes.
func (w *World) Notes() []string { return w.notes }

// Violations returns the violated invariants.
func (w *World) Violations() []string { return w.violations }

// At runs a task at a true time, or as soon as possible if that time is over. Tasks of the
// same time run in the order in which they were added.
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

// Hash returns a hash of a text, for seeds and for comparing runs.
func Hash(text string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(text))
	return hash.Sum64()
}
