// Package sim is a seeded simulator that owns time, network and disks and runs
// the very deciding code of the daemons on them, causes the failures of the
// brief, and judges from the outside (docs/simulator.md).
package sim

import (
	"container/heap"
	"fmt"
	"hash/fnv"
	"math/rand"
)

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
func (w *World) Violation(kind, format string, args ...any) {
	if w.violatedKinds[kind] {
		return
	}
	w.violatedKinds[kind] = true
	w.violations = append(w.violations, fmt.Sprintf("t=%d %s: %s", w.now, kind, fmt.Sprintf(format, args...)))
}

// Note records what happened, for the report of a failing seed.
func (w *World) Notef(format string, args ...any) {
	w.notes = append(w.notes, fmt.Sprintf("t=%d ", w.now)+fmt.Sprintf(format, args...))
	if len(w.notes) > 400 {
		w.notes = w.notes[200:]
	}
}

// Notes and Problems are what Note and Wrong gathered.
func (w *World) Notes() []string { return w.notes }

// Problems lists broken promises.
func (w *World) Violations() []string { return w.violations }

// At runs fn at a true time.
func (w *World) At(timeUS int64, task func()) {
	w.lastSequence++
	heap.Push(&w.queue, event{max(timeUS, w.now), w.lastSequence, task})
}

// Run advances until a true time, or until something went wrong.
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
