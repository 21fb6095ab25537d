package quorum

import "math/rand"

// walk draws one random run of a world: mostly what happens by itself, with now and
// then a disturbance, and repairs so that there is something left to disturb.
func walk(size worldConfig, seed int64, actions int) (trace, *world) {
	walker := &walker{Rand: rand.New(rand.NewSource(seed)), w: newWorld(size, nil)}
	walker.betweenMessages = walker.Intn(2) == 0
	course := trace{{verb: doTick, a: 4}}
	walker.w.apply(course[0])
	for len(course) < actions && walker.w.checker.violation == "" {
		action := walker.draw()
		course = append(course, action)
		walker.w.apply(action)
	}
	return course, walker.w
}

type walker struct {
	*rand.Rand
	w               *world
	betweenMessages bool // disturbs between messages as well, not only between ticks
}

func (g *walker) machine() int { return g.Intn(g.w.worldConfig.machines) }

// leader is a machine that answers for a register, or any if none does.
func (g *walker) leader(register int) int {
	for i := range g.w.worldConfig.machines {
		if g.w.running(i) {
			if _, ok := g.w.machines[i].node.ReadUnderLease(g.w.now, g.w.checker.registers[register].key); ok {
				return i
			}
		}
	}
	return g.machine()
}

func (g *walker) draw() action {
	switch p := g.Intn(100); {
	case p < 45:
		return action{verb: doTick, a: 1 + g.Intn(1+g.Intn(6))}
	case p < 55 && g.betweenMessages:
		return action{verb: doStep, a: 1 + g.Intn(8)}
	case p < 67:
		return g.client()
	case p < 82:
		return g.repair()
	case p < 92:
		return g.fault()
	default:
		return g.networkFault()
	}
}

func (g *walker) client() action {
	register := g.Intn(len(g.w.checker.registers))
	at := g.leader(register)
	if g.Intn(6) == 0 {
		at = g.machine()
	}
	if g.w.worldConfig.machines > g.w.worldConfig.voters && g.Intn(5) == 0 {
		return g.operator()
	}
	switch p := g.Intn(20); {
	case p < 13:
		return action{doPut, at, register}
	case p < 15:
		return action{doGet, at, register}
	case p < 17:
		return action{doAcquire, at, g.Intn(3)}
	default:
		return action{doClaim, at, 1 + g.Intn(2)}
	}
}

// operator asks for a change of the voter set, now and then for one that is no step.
func (g *walker) operator() action {
	at := g.leader(0)
	if g.Intn(4) == 0 {
		return action{doVoterSet, at, g.Intn(1 << (2 * maxMachines))}
	}
	come, gone := 1<<(maxMachines+g.machine()), 1<<g.machine()
	return action{doVoterSet, at, []int{come, gone, come | gone}[g.Intn(3)]}
}

func (g *walker) fault() action {
	i := g.machine()
	switch g.Intn(12) {
	case 0, 1:
		return action{verb: doKill, a: i}
	case 2, 3, 4:
		return action{doPower, i, g.Intn(3)}
	case 5:
		return action{verb: doFreeze, a: i}
	case 6:
		return action{verb: doStall, a: i}
	case 7:
		return action{verb: doLeave, a: i}
	case 8:
		return action{verb: doCheckpoint, a: i}
	case 9:
		if g.w.worldConfig.machines > g.w.worldConfig.voters {
			return action{verb: doWipe, a: i}
		}
	}
	return action{doPower, g.leader(g.Intn(len(g.w.checker.registers))), g.Intn(3)}
}

func (g *walker) networkFault() action {
	a, b := g.machine(), g.machine()
	if g.w.lateMessages && g.Intn(2) == 0 {
		return action{verb: doLate}
	}
	switch g.Intn(8) {
	case 0, 1:
		return action{doCut, a, b}
	case 2, 3:
		return action{doHold, a, b}
	case 4:
		return action{verb: doIsolate, a: a}
	case 5:
		return action{verb: doDrop}
	case 6:
		return action{verb: doRepeat}
	}
	return action{verb: doPostpone}
}

// repair repairs one thing that is broken, if any is.
func (g *walker) repair() action {
	if late := len(g.w.setAside); late > 0 && g.Intn(3) == 0 {
		return action{verb: doRelease, a: g.Intn(late)}
	}
	for _, i := range g.Perm(g.w.worldConfig.machines) {
		switch host := &g.w.machines[i]; {
		case !host.up:
			return action{verb: doStart, a: i}
		case host.frozen:
			return action{verb: doThaw, a: i}
		case host.stalled:
			return action{verb: doFlow, a: i}
		}
		for j := range g.w.worldConfig.machines {
			if g.w.links[i][j] == linkUp {
				continue
			}
			if g.Intn(3) == 0 {
				return action{verb: doHealAll}
			}
			return action{doHeal, i, j}
		}
	}
	return action{verb: doTick, a: 1}
}
