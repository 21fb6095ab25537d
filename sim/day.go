package sim

import (
	"fmt"
	"strings"
)

// Day is a kind of simulated day for a whole fleet.
type Day string

// The days. Each causes its failures again and again and ends with a last one.
const (
	DayCalm        Day = "calm"
	DayGateways    Day = "proxies"    // remisiers and runners killed and frozen
	DayIndex       Day = "index"      // custodians killed, frozen, isolated
	DayControl     Day = "control"    // registrars killed singly and in herds
	DayEngines     Day = "engines"    // engines crash, vanish, are replaced, leave; the store is lost
	DayNetwork     Day = "network"    // cuts, isolated machines, lost and repeated messages
	DayOperators   Day = "operators"  // keys taken, weights named, storms of plans
	DayIsolation   Day = "walls"      // groups walled off, opened, removed and made again
	DayReplacement Day = "roster"     // core machines lost for good with both programs, others put in their place
	DayWeights     Day = "weights"    // named again and again, engines that refuse, are slow, die half turned
	DayReports     Day = "news"       // reports lost, hand-overs fail quietly
	DayAll         Day = "everything" // all of it at once
)

// Days lists them all.
var Days = []Day{DayCalm, DayGateways, DayIndex, DayControl, DayEngines, DayNetwork, DayOperators, DayIsolation, DayReplacement, DayWeights, DayReports, DayAll}

// Result is what a day came to.
type FleetResult struct {
	Tally
	// Back is how long after the last fault was mended a ticket was done.
	RecoveryUS int64
	Violations []string
	Notes      []string
}

const (
	fleetStartUS = 3_000_000 // a fleet starts up before anything is done to it
)

// RunFleet runs one day of so many microseconds.
func RunFleet(seed int64, day Day, us int64, z FleetSize) FleetResult {
	f := NewFleet(seed, z)
	world := f.World
	s := NewFleetOperator(f)
	world.At(1_300_000, func() { s.PutPlan(nil) })
	world.At(fleetStartUS-500_000, func() { f.sendRequests(s, us) })
	world.At(fleetStartUS, func() { f.injectFaults(day, s, us) })
	world.Run(us)
	f.endFaults()
	// Callers go on; service must come back.
	f.checker.lastCompletion = 0
	world.At(us, func() { f.sendRequests(s, us+10_000_000) })
	for world.now < us+10_000_000 && f.checker.lastCompletion == 0 && len(world.violations) == 0 {
		world.Run(world.now + 20_000)
	}
	r := FleetResult{RecoveryUS: world.now - us}
	if f.checker.lastCompletion == 0 && len(world.violations) == 0 {
		world.Violation("not back", "no ticket was done within ten seconds after the last fault")
	}
	for _, p := range f.Gateways {
		if p.up {
			f.Tally.Arrived += p.dispatcher.Counters.Arrived
			f.Tally.Retries += p.dispatcher.Counters.Retries
			f.Tally.Attempts += p.dispatcher.Counters.Attempts
		}
	}
	// A tenth of traffic, and what each proxy's budget may have saved up.
	if t := f.Tally; t.Retries > t.Arrived/10+1 {
		world.Violation("retries", "%d retries for %d tickets", t.Retries, t.Arrived)
	}
	r.Tally, r.Violations, r.Notes = f.Tally, world.violations, world.notes
	return r
}

// call sends tickets until a true time, some of them twice at two proxies.
func (f *Fleet) sendRequests(s *FleetOperator, until int64) {
	world := f.World
	if world.now >= until {
		return
	}
	world.At(world.now+5_000+world.Rng.Int63n(40_000), func() { f.sendRequests(s, until) })
	f.requestsSent++
	g := simGroups[world.Rng.Intn(len(simGroups))]
	kind := []string{"check", "confirmation", "tag"}[world.Rng.Intn(3)]
	prompt := fmt.Sprintf("%d", f.requestsSent)
	if kind != "tag" {
		doc := g
		if f.Documents > 0 {
			doc += fmt.Sprint(world.Rng.Intn(f.Documents))
		}
		prompt = strings.Repeat(doc+" shares this much of every prompt. ", 220) + prompt
	}
	due := map[string]int64{"check": 8_000_000, "confirmation": 6_000_000, "tag": 5_000_000}[kind]
	n := 1
	if onceKinds[kind] && world.Rng.Intn(8) == 0 {
		n = 2 + world.Rng.Intn(2)
	}
	key := s.keyNumbers[g]
	if key > 0 && world.Rng.Intn(5) == 0 {
		key-- // a caller that still uses the key that was taken
	}
	era := max(1, f.callerGeneration)
	pace := int64(0)
	if world.Rng.Intn(12) == 0 {
		pace = 200_000 + world.Rng.Int63n(1_300_000) // a long answer: much happens while it runs
	}
	for i := 0; i < n; i++ {
		p := f.Gateways[world.Rng.Intn(len(f.Gateways))]
		x := &callerRequest{group: g, kind: kind, id: fmt.Sprint("t", f.requestsSent), keyDigest: simKey(g, key), gateway: p, generation: era, pieceDelayUS: pace}
		after := int64(i) * world.Rng.Int63n(3_000_000)
		if i > 0 && world.Rng.Intn(4) == 0 {
			after += world.Rng.Int63n(20_000_000) // a resend long after
		}
		world.At(world.now+after, func() {
			f.Tally.Sent++
			x.deadline = world.now + due
			if !p.up {
				f.Tally.Lost++
				return
			}
			l := p.process
			world.At(world.now+300, func() { p.runIn(l, func() { p.admit(x, prompt, due) }) })
		})
	}
}

func (f *Fleet) injectFaults(day Day, s *FleetOperator, until int64) {
	world := f.World
	switch day {
	case DayCalm:
		return
	case DayReports, DayAll:
		f.EventLossPermille, f.TransferFailurePermille = 200, 300
	}
	if day == DayNetwork || day == DayAll {
		world.LossPermille, world.DuplicatePermille = 10, 10
	}
	kinds := []Day{DayGateways, DayIndex, DayControl, DayEngines, DayNetwork, DayOperators, DayIsolation, DayReplacement, DayWeights}
	var next func()
	next = func() {
		if world.now >= until {
			return
		}
		k := day
		if day == DayAll {
			k = kinds[world.Rng.Intn(len(kinds))]
		}
		f.injectFault(k, s)
		world.At(world.now+300_000+world.Rng.Int63n(2_500_000), next)
	}
	next()
	if day != DayOperators {
		var ops func()
		ops = func() {
			if world.now < until {
				f.injectFault(DayOperators, s)
				world.At(world.now+4_000_000+world.Rng.Int63n(4_000_000), ops)
			}
		}
		world.At(world.now+1_000_000, ops)
	}
}

func pick[T any](world *World, xs []T) T { return xs[world.Rng.Intn(len(xs))] }

func (f *Fleet) injectFault(k Day, s *FleetOperator) {
	world := f.World
	harm := func(h *Host, most int64) {
		d := 50_000 + world.Rng.Int63n(most)
		switch world.Rng.Intn(3) {
		case 0:
			h.Freeze()
			world.At(world.now+d, h.Thaw)
		default:
			h.Kill()
			world.At(world.now+d, h.Start)
		}
	}
	switch k {
	case DayGateways:
		if world.Rng.Intn(2) == 0 {
			harm(pick(world, f.Gateways).Host, 3_000_000)
		} else {
			harm(pick(world, f.Agents).Host, 6_000_000)
		}
	case DayIndex:
		if world.Rng.Intn(6) == 0 {
			for _, c := range f.IndexNodes {
				harm(c.Host, 1_500_000)
			}
			return
		}
		c := pick(world, f.IndexNodes)
		if world.Rng.Intn(4) == 0 {
			world.Isolate(c.Name)
			world.At(world.now+world.Rng.Int63n(4_000_000), world.HealAll)
			return
		}
		harm(c.Host, 5_000_000)
	case DayControl:
		switch world.Rng.Intn(8) {
		case 0:
			f.Cluster.injectFault(FaultKillAll)
		case 1:
			f.Cluster.injectFault(FaultPowerLoss)
		case 2:
			f.Cluster.injectFault(FaultFreeze)
		default:
			f.Cluster.injectFault(FaultKill)
		}
	case DayEngines:
		e := pick(world, f.Engines)
		switch world.Rng.Intn(4) {
		case 0:
			if !e.store {
				s.DrainEngine(e.Name, 2_000_000+world.Rng.Int63n(8_000_000))
			}
		case 1:
			e.Freeze()
			world.At(world.now+world.Rng.Int63n(2_000_000), e.Thaw)
		default:
			e.Kill()
			world.At(world.now+50_000+world.Rng.Int63n(4_000_000), e.Start)
		}
	case DayNetwork:
		switch world.Rng.Intn(4) {
		case 0:
			f.Cluster.injectFault(FaultPartition)
		case 1:
			f.Cluster.injectFault(FaultOneWay)
		default:
			world.Isolate(pick(world, world.hosts).Name)
		}
		world.At(world.now+200_000+world.Rng.Int63n(3_000_000), world.HealAll)
	case DayWeights:
		e := pick(world, f.Engines)
		switch world.Rng.Intn(7) {
		case 0, 1, 2:
			s.NameWeights()
		case 3:
			e.ignoresWeights = true
			world.At(world.now+2_000_000+world.Rng.Int63n(20_000_000), func() { e.ignoresWeights = false })
		case 4:
			e.loadDelayUS = world.Rng.Int63n(4_000_000)
		case 5:
			// It dies half turned, or at once, and comes back with what it had.
			world.At(world.now+world.Rng.Int63n(1_500_000), e.Kill)
			world.At(world.now+2_000_000+world.Rng.Int63n(2_000_000), e.Start)
		default:
			c := pick(world, f.IndexNodes)
			c.Kill()
			world.At(world.now+100_000+world.Rng.Int63n(3_000_000), c.Start)
		}
	case DayReplacement:
		n := len(f.Cluster.Nodes)
		f.Cluster.replaceVoter()
		if len(f.Cluster.Nodes) > n && world.Rng.Intn(2) == 0 {
			// The machine's other program goes with it, and starts on the new one.
			c := pick(world, f.IndexNodes)
			c.Kill()
			world.At(world.now+1_000_000+world.Rng.Int63n(3_000_000), c.Start)
		} else if world.Rng.Intn(3) == 0 {
			f.injectFault(DayControl, s)
		}
	case DayIsolation:
		g := pick(world, simGroups)
		switch world.Rng.Intn(6) {
		case 0:
			s.NameWeights()
		case 1, 2:
			s.ToggleGroup(g)
		default:
			s.ToggleIsolation(g)
		}
	case DayOperators:
		switch world.Rng.Intn(4) {
		case 0:
			s.NameWeights()
		case 1:
			for i := int64(0); i < 10; i++ {
				world.At(world.now+i*30_000, func() { s.PutPlan(nil) })
			}
		default:
			s.RevokeKey(pick(world, simGroups))
		}
	}
}

// mend ends all faults.
func (f *Fleet) endFaults() {
	world := f.World
	world.LossPermille, world.DuplicatePermille = 0, 0
	f.EventLossPermille, f.TransferFailurePermille = 0, 0
	f.Cluster.powerLossArmed = false
	world.HealAll()
	lost := map[*Host]bool{}
	for _, r := range f.Cluster.Nodes {
		lost[r.Host] = r.removed
	}
	for _, h := range world.hosts {
		h.Thaw()
		if !lost[h] {
			h.Start()
		}
	}
	for _, r := range f.Cluster.Nodes {
		r.Disk.SyncDelayUS = 0
	}
}
