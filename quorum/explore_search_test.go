package quorum

import "fmt"

// search visits every run of a cluster with at most the given number of deviations from the
// fault-free run (delay-bounded scheduling): between any two events, one more thing may go
// wrong while the budget lasts. Clients write a register before every tick. Everything that is
// broken may be repaired at once, which costs nothing.
type search struct {
	clusterConfig
	cache   *cache
	seen    map[digest]int8 // most deviations left with which a state was visited
	path    trace
	found   string
	trace   trace // the trace that led to found
	steps   int
	deepest int // most events in one run
}

func newSearch(size clusterConfig) *search {
	return &search{clusterConfig: size, cache: newCache(), seen: map[digest]int8{}}
}

// run searches from the end of a prefix, for the given number of ticks.
func (s *search) run(prefix trace, ticks, deviations int) {
	cl := newCluster(s.clusterConfig, s.cache)
	cl.play(prefix)
	s.path = append(trace{}, prefix...)
	s.visit(cl, ticks, deviations, 0)
}

// visited reports whether the state was visited with at least as many deviations left, and
// records the visit.
func (s *search) visited(cl *cluster, ticks, deviationsLeft int) bool {
	key := cl.key()
	key[0] ^= byte(ticks)
	if was, ok := s.seen[key]; ok && int(was) >= deviationsLeft {
		return true
	}
	s.seen[key] = int8(deviationsLeft)
	return false
}

// visit continues from cl in every way; it may modify cl.
func (s *search) visit(cl *cluster, ticks, deviationsLeft, depth int) {
	pathLength := len(s.path)
	defer func() { s.path = s.path[:pathLength] }()
	for ; s.found == ""; depth++ {
		if s.violates(cl) || s.visited(cl, ticks, deviationsLeft) {
			return
		}
		s.deepest = max(s.deepest, depth)
		idle := cl.idle()
		if deviationsLeft > 0 {
			for _, action := range deviations(cl, idle) {
				s.deviate(cl, action, ticks, deviationsLeft-1, depth)
			}
		}
		if !idle {
			cl.step()
			s.record(action{verb: doStep, a: 1})
			continue
		}
		if ticks == 0 {
			return
		}
		ticks--
		if cl.needsRepair() {
			s.visitRepaired(cl, ticks, deviationsLeft, depth)
		}
		s.nextTick(cl)
	}
}

// nextTick is what every run does between two ticks.
func (s *search) nextTick(cl *cluster) {
	if action, ok := clientTurn(cl); ok {
		cl.disturb(action)
		s.record(action)
	}
	cl.tick()
	s.record(action{verb: doTick, a: 1})
}

func (s *search) deviate(cl *cluster, action action, ticks, deviationsLeft, depth int) {
	clone := cl.clone()
	clone.disturb(action)
	s.record(action)
	s.visit(clone, ticks, deviationsLeft, depth+1)
	s.path = s.path[:len(s.path)-1]
}

// visitRepaired continues with everything repaired before the next tick.
func (s *search) visitRepaired(cl *cluster, ticks, deviationsLeft, depth int) {
	pathLength := len(s.path)
	clone := cl.clone()
	for _, action := range repairs(clone) {
		clone.disturb(action)
		s.record(action)
	}
	s.nextTick(clone)
	s.visit(clone, ticks, deviationsLeft, depth+1)
	s.path = s.path[:pathLength]
}

func (s *search) record(action action) {
	s.steps++
	s.path = append(s.path, action)
}

func (s *search) violates(cl *cluster) bool {
	cl.checker.check(cl)
	if cl.checker.violation == "" {
		return false
	}
	s.found = cl.checker.violation
	s.trace = append(trace{}, s.path...)
	return true
}

// idle reports whether nothing is left to do before the next tick.
func (cl *cluster) idle() bool {
	for i := range cl.clusterConfig.machines {
		if host := &cl.machines[i]; cl.running(i) && !host.stalled && len(host.unsynced) > 0 {
			return false
		}
	}
	return cl.next() < 0
}

func (cl *cluster) needsRepair() bool { return len(repairs(cl)) > 0 }

// repairs returns the actions that repair everything that is broken.
func repairs(cl *cluster) trace {
	var actions trace
	for i := range cl.clusterConfig.voters {
		switch host := &cl.machines[i]; {
		case !host.up:
			actions = append(actions, action{verb: doStart, a: i})
		case host.frozen:
			actions = append(actions, action{verb: doThaw, a: i})
		case host.stalled:
			actions = append(actions, action{verb: doFlow, a: i})
		}
	}
	if cl.links != [maxMachines][maxMachines]link{} {
		actions = append(actions, action{verb: doHealAll})
	}
	return actions
}

// deviations returns everything that may go wrong now: the next message, a power loss before a
// sync, and between ticks faults of machines and links.
func deviations(cl *cluster, idle bool) trace {
	var actions trace
	if cl.next() >= 0 {
		actions = append(actions, action{verb: doDrop}, action{verb: doRepeat}, action{verb: doPostpone})
	}
	for i := range cl.clusterConfig.machines {
		if unsynced := len(cl.machines[i].unsynced); unsynced > 0 {
			actions = append(actions, action{doPower, i, 0})
			if unsynced > 1 {
				actions = append(actions, action{doPower, i, unsynced - 1})
			}
		}
	}
	if !idle {
		return actions
	}
	for i := range cl.clusterConfig.machines {
		if !cl.running(i) {
			continue
		}
		for _, verb := range []verb{doKill, doFreeze, doStall, doLeave, doIsolate} {
			actions = append(actions, action{verb: verb, a: i})
		}
		for j := range cl.clusterConfig.machines {
			if i != j && cl.links[i][j] == linkUp && cl.machines[j].up {
				actions = append(actions, action{doCut, i, j}, action{doHold, i, j})
			}
		}
	}
	return actions
}

// clientTurn returns a write of a register at the node that serves it; the registers take
// turns.
func clientTurn(cl *cluster) (action, bool) {
	register := int(cl.now/tickInterval) % len(cl.checker.registers)
	for i := range cl.clusterConfig.machines {
		if !cl.running(i) {
			continue
		}
		if _, ok := cl.machines[i].node.ReadUnderLease(cl.now, cl.checker.registers[register].key); ok {
			return action{doPut, i, register}, true
		}
	}
	return action{}, false
}

func (s *search) String() string {
	return fmt.Sprintf("%d states, %d events, runs of up to %d events; %d states of a node, %d inputs decided",
		len(s.seen), s.steps, s.deepest, len(s.cache.states), s.cache.inputsRun)
}
