package quorum

import "math/rand"

// walk runs one random walk of a cluster: mostly normal progress, with occasional faults, and
// repairs so that there is something left to break.
func walk(size clusterConfig, seed int64, length int) (trace, *cluster) {
	walker := &walker{Rand: rand.New(rand.NewSource(seed)), cl: newCluster(size, nil)}
	walker.betweenMessages = walker.Intn(2) == 0
	actions := trace{{verb: doTick, a: 4}}
	walker.cl.apply(actions[0])
	for len(actions) < length && walker.cl.checker.violation == "" {
		action := walker.draw()
		actions = append(actions, action)
		walker.cl.apply(action)
	}
	return actions, walker.cl
}

type walker struct {
	*rand.Rand
	cl              *cluster
	betweenMessages bool // cause faults between messages as well, not only between ticks
}

func (g *walker) machine() int { return g.Intn(g.cl.clusterConfig.machines) }

// leader returns a machine that serves a register, or a random one if none does.
func (g *walker) leader(register int) int {
	for i := range g.cl.clusterConfig.machines {
		if g.cl.running(i) {
			if _, ok := g.cl.machines[i].node.ReadUnderLease(g.cl.now, g.cl.checker.registers[register].key); ok {
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
	register := g.Intn(len(g.cl.checker.registers))
	at := g.leader(register)
	if g.Intn(6) == 0 {
		at = g.machine()
	}
	if g.cl.clusterConfig.machines > g.cl.clusterConfig.voters && g.Intn(5) == 0 {
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

// operator requests a change of the voter set, sometimes one that is not a valid step.
func (g *walker) operator() action {
	at := g.leader(0)
	if g.Intn(4) == 0 {
		return action{doVoterSet, at, g.Intn(1 << (2 * maxMachines))}
	}
	added, removed := 1<<(maxMachines+g.machine()), 1<<g.machine()
	return action{doVoterSet, at, []int{added, removed, added | removed}[g.Intn(3)]}
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
		if g.cl.clusterConfig.machines > g.cl.clusterConfig.voters {
			return action{verb: doWipe, a: i}
		}
	}
	return action{doPower, g.leader(g.Intn(len(g.cl.checker.registers))), g.Intn(3)}
}

func (g *walker) networkFault() action {
	a, b := g.machine(), g.machine()
	if g.cl.lateMessages && g.Intn(2) == 0 {
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

// repair repairs one broken thing, if there is any.
func (g *walker) repair() action {
	if late := len(g.cl.setAside); late > 0 && g.Intn(3) == 0 {
		return action{verb: doRelease, a: g.Intn(late)}
	}
	for _, i := range g.Perm(g.cl.clusterConfig.machines) {
		switch host := &g.cl.machines[i]; {
		case !host.up:
			return action{verb: doStart, a: i}
		case host.frozen:
			return action{verb: doThaw, a: i}
		case host.stalled:
			return action{verb: doFlow, a: i}
		}
		for j := range g.cl.clusterConfig.machines {
			if g.cl.links[i][j] == linkUp {
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
