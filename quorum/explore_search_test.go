package quorum

import "fmt"

// search visits every run of a world that deviates from the ordinary one at most so
// many times (delay-bounded scheduling): between any two events something may go wrong
// once more, as long as the budget lasts. Clients change a register before every tick,
// and whatever is broken may be repaired for nothing, all at once.
type search struct {
	worldConfig
	cache   *cache
	seen    map[digest]int8 // most deviations left with which a state was met
	path    trace
	found   string
	trace   trace // that led to what was found
	steps   int
	deepest int // most events in one run
}

func newSearch(size worldConfig) *search {
	return &search{worldConfig: size, cache: newCache(), seen: map[digest]int8{}}
}

// run explores from the end of a prefix, for so many ticks.
func (s *search) run(prefix trace, ticks, deviations int) {
	w := newWorld(s.worldConfig, s.cache)
	w.play(prefix)
	s.path = append(trace{}, prefix...)
	s.visit(w, ticks, deviations, 0)
}

// visited reports whether the world was met with as many deviations left, and notes it.
func (s *search) visited(w *world, ticks, deviationsLeft int) bool {
	key := w.key()
	key[0] ^= byte(ticks)
	if was, ok := s.seen[key]; ok && int(was) >= deviationsLeft {
		return true
	}
	s.seen[key] = int8(deviationsLeft)
	return false
}

// visit goes on from w in every way; w is its to change.
func (s *search) visit(w *world, ticks, deviationsLeft, depth int) {
	mark := len(s.path)
	defer func() { s.path = s.path[:mark] }()
	for ; s.found == ""; depth++ {
		if s.violates(w) || s.visited(w, ticks, deviationsLeft) {
			return
		}
		s.deepest = max(s.deepest, depth)
		quiet := w.idle()
		if deviationsLeft > 0 {
			for _, action := range deviations(w, quiet) {
				s.deviate(w, action, ticks, deviationsLeft-1, depth)
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
			s.visitRepaired(w, ticks, deviationsLeft, depth)
		}
		s.nextTick(w)
	}
}

// nextTick is what happens in every run between two ticks.
func (s *search) nextTick(w *world) {
	if action, ok := clientTurn(w); ok {
		w.disturb(action)
		s.record(action)
	}
	w.tick()
	s.record(action{verb: doTick, a: 1})
}

func (s *search) deviate(w *world, action action, ticks, deviationsLeft, depth int) {
	copied := w.copied()
	copied.disturb(action)
	s.record(action)
	s.visit(copied, ticks, deviationsLeft, depth+1)
	s.path = s.path[:len(s.path)-1]
}

// visitRepaired goes on with everything repaired before the next tick.
func (s *search) visitRepaired(w *world, ticks, deviationsLeft, depth int) {
	mark := len(s.path)
	copied := w.copied()
	for _, action := range repairs(copied) {
		copied.disturb(action)
		s.record(action)
	}
	s.nextTick(copied)
	s.visit(copied, ticks, deviationsLeft, depth+1)
	s.path = s.path[:mark]
}

func (s *search) record(action action) {
	s.steps++
	s.path = append(s.path, action)
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

// idle reports whether nothing is left to do before the next tick.
func (w *world) idle() bool {
	for i := range w.worldConfig.machines {
		if host := &w.machines[i]; w.running(i) && !host.stalled && len(host.unsynced) > 0 {
			return false
		}
	}
	return w.next() < 0
}

func (w *world) needsRepair() bool { return len(repairs(w)) > 0 }

// repairs are the actions that repair all that is broken.
func repairs(w *world) trace {
	var actions trace
	for i := range w.worldConfig.voters {
		switch host := &w.machines[i]; {
		case !host.up:
			actions = append(actions, action{verb: doStart, a: i})
		case host.frozen:
			actions = append(actions, action{verb: doThaw, a: i})
		case host.stalled:
			actions = append(actions, action{verb: doFlow, a: i})
		}
	}
	if w.links != [maxMachines][maxMachines]link{} {
		actions = append(actions, action{verb: doHealAll})
	}
	return actions
}

// deviations are all that may go wrong now: something with the message due next, a loss
// of power before a sync, and between ticks whatever befalls a machine or a link.
func deviations(w *world, quiet bool) trace {
	var actions trace
	if w.next() >= 0 {
		actions = append(actions, action{verb: doDrop}, action{verb: doRepeat}, action{verb: doPostpone})
	}
	for i := range w.worldConfig.machines {
		if unsynced := len(w.machines[i].unsynced); unsynced > 0 {
			actions = append(actions, action{doPower, i, 0})
			if unsynced > 1 {
				actions = append(actions, action{doPower, i, unsynced - 1})
			}
		}
	}
	if !quiet {
		return actions
	}
	for i := range w.worldConfig.machines {
		if !w.running(i) {
			continue
		}
		for _, verb := range []verb{doKill, doFreeze, doStall, doLeave, doIsolate} {
			actions = append(actions, action{verb: verb, a: i})
		}
		for j := range w.worldConfig.machines {
			if i != j && w.links[i][j] == linkUp && w.machines[j].up {
				actions = append(actions, action{doCut, i, j}, action{doHold, i, j})
			}
		}
	}
	return actions
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
	return fmt.Sprintf("%d states, %d events, runs of up to %d events; %d states of a node, %d inputs decided",
		len(s.seen), s.steps, s.deepest, len(s.cache.states), s.cache.inputsRun)
}
