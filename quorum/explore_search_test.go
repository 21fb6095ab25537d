package quorum

import "fmt"

// search visits every course of a world that strays from the ordinary one at most so
// many times (delay-bounded scheduling): between any two events something may go wrong
// once more, as long as the budget lasts. Clients change a register before every tick,
// and whatever is broken may be mended for nothing, all at once.
type search struct {
	worldConfig
	cache   *cache
	seen    map[digest]int8 // most strays left with which a state was met
	path    trace
	found   string
	trace   trace // that led to what was found
	steps   int
	deepest int // most events on one course
}

func newSearch(c worldConfig) *search {
	return &search{worldConfig: c, cache: newCache(), seen: map[digest]int8{}}
}

// run explores from the end of a prefix, for so many ticks.
func (s *search) run(prefix trace, ticks, strays int) {
	w := newWorld(s.worldConfig, s.cache)
	w.play(prefix)
	s.path = append(trace{}, prefix...)
	s.visit(w, ticks, strays, 0)
}

// met reports whether the world was met with as many strays left, and notes it.
func (s *search) visited(w *world, ticks, strays int) bool {
	k := w.key()
	k[0] ^= byte(ticks)
	if was, ok := s.seen[k]; ok && int(was) >= strays {
		return true
	}
	s.seen[k] = int8(strays)
	return false
}

// visit goes on from w in every way; w is its to change.
func (s *search) visit(w *world, ticks, strays, depth int) {
	mark := len(s.path)
	defer func() { s.path = s.path[:mark] }()
	for ; s.found == ""; depth++ {
		if s.violates(w) || s.visited(w, ticks, strays) {
			return
		}
		s.deepest = max(s.deepest, depth)
		quiet := w.idle()
		if strays > 0 {
			for _, x := range deviations(w, quiet) {
				s.deviate(w, x, ticks, strays-1, depth)
			}
		}
		if !quiet {
			w.step()
			s.record(action{verb: doStep, a: 1})
			continue
		}
		if ticks == 0 {
			return
		}
		ticks--
		if w.needsRepair() {
			s.visitRepaired(w, ticks, strays, depth)
		}
		s.nextTick(w)
	}
}

// between is what happens in every course between two ticks.
func (s *search) nextTick(w *world) {
	if x, ok := clientTurn(w); ok {
		w.disturb(x)
		s.record(x)
	}
	w.tick()
	s.record(action{verb: doTick, a: 1})
}

func (s *search) deviate(w *world, x action, ticks, strays, depth int) {
	c := w.copied()
	c.disturb(x)
	s.record(x)
	s.visit(c, ticks, strays, depth+1)
	s.path = s.path[:len(s.path)-1]
}

// mended goes on with everything repaired before the next tick.
func (s *search) visitRepaired(w *world, ticks, strays, depth int) {
	mark := len(s.path)
	c := w.copied()
	for _, x := range repairs(c) {
		c.disturb(x)
		s.record(x)
	}
	s.nextTick(c)
	s.visit(c, ticks, strays, depth+1)
	s.path = s.path[:mark]
}

func (s *search) record(x action) {
	s.steps++
	s.path = append(s.path, x)
}

func (s *search) violates(w *world) bool {
	w.checker.check(w)
	if w.checker.violation == "" {
		return false
	}
	s.found = w.checker.violation
	s.trace = append(trace{}, s.path...)
	return true
}

// settled reports whether nothing is left to do before the next tick.
func (w *world) idle() bool {
	for i := range w.worldConfig.machines {
		if m := &w.machines[i]; w.running(i) && !m.stalled && len(m.unsynced) > 0 {
			return false
		}
	}
	return w.next() < 0
}

func (w *world) needsRepair() bool { return len(repairs(w)) > 0 }

// repairs are the actions that mend all that is broken.
func repairs(w *world) trace {
	var t trace
	for i := range w.worldConfig.voters {
		switch m := &w.machines[i]; {
		case !m.up:
			t = append(t, action{verb: doStart, a: i})
		case m.frozen:
			t = append(t, action{verb: doThaw, a: i})
		case m.stalled:
			t = append(t, action{verb: doFlow, a: i})
		}
	}
	if w.links != [maxMachines][maxMachines]link{} {
		t = append(t, action{verb: doHealAll})
	}
	return t
}

// strayings are all that may go wrong now: something with the message due next, a loss
// of power before a sync, and between ticks whatever befalls a machine or a wire.
func deviations(w *world, quiet bool) trace {
	var t trace
	if w.next() >= 0 {
		t = append(t, action{verb: doDrop}, action{verb: doRepeat}, action{verb: doPostpone})
	}
	for i := range w.worldConfig.machines {
		if n := len(w.machines[i].unsynced); n > 0 {
			t = append(t, action{doPower, i, 0})
			if n > 1 {
				t = append(t, action{doPower, i, n - 1})
			}
		}
	}
	if !quiet {
		return t
	}
	for i := range w.worldConfig.machines {
		if !w.running(i) {
			continue
		}
		for _, v := range []verb{doKill, doFreeze, doStall, doLeave, doIsolate} {
			t = append(t, action{verb: v, a: i})
		}
		for j := range w.worldConfig.machines {
			if i != j && w.links[i][j] == linkUp && w.machines[j].up {
				t = append(t, action{doCut, i, j}, action{doHold, i, j})
			}
		}
	}
	return t
}

// clientTurn is a change of a register at the node that answers for it, each in turn.
func clientTurn(w *world) (action, bool) {
	register := int(w.now/tickInterval) % len(w.checker.registers)
	for i := range w.worldConfig.machines {
		if !w.running(i) {
			continue
		}
		if _, ok := w.machines[i].node.ReadUnderLease(w.now, w.checker.registers[register].key); ok {
			return action{doPut, i, register}, true
		}
	}
	return action{}, false
}

func (s *search) String() string {
	return fmt.Sprintf("%d states, %d events, courses of up to %d events; %d states of a node, %d inputs decided",
		len(s.seen), s.steps, s.deepest, len(s.cache.states), s.cache.inputsRun)
}
