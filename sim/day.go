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
func RunFleet(seed int64, day Day, durationUS int64, size FleetSize) FleetResult {
	fleet := NewFleet(seed, size)
	world := fleet.World
	operator := NewFleetOperator(fleet)
	world.At(1_300_000, func() { operator.PutPlan(nil) })
	world.At(fleetStartUS-500_000, func() { fleet.sendRequests(operator, durationUS) })
	world.At(fleetStartUS, func() { fleet.injectFaults(day, operator, durationUS) })
	world.Run(durationUS)
	fleet.endFaults()
	// Callers go on; service must come back.
	fleet.checker.lastCompletion = 0
	world.At(durationUS, func() { fleet.sendRequests(operator, durationUS+10_000_000) })
	for world.now < durationUS+10_000_000 && fleet.checker.lastCompletion == 0 && len(world.violations) == 0 {
		world.Run(world.now + 20_000)
	}
	result := FleetResult{RecoveryUS: world.now - durationUS}
	if fleet.checker.lastCompletion == 0 && len(world.violations) == 0 {
		world.Violation("not back", "no ticket was done within ten seconds after the last fault")
	}
	for _, gateway := range fleet.Gateways {
		if gateway.up {
			fleet.Tally.Arrived += gateway.dispatcher.Counters.Arrived
			fleet.Tally.Retries += gateway.dispatcher.Counters.Retries
			fleet.Tally.Attempts += gateway.dispatcher.Counters.Attempts
		}
	}
	// A tenth of traffic, and what each proxy's budget may have saved up.
	if t := fleet.Tally; t.Retries > t.Arrived/10+1 {
		world.Violation("retries", "%d retries for %d tickets", t.Retries, t.Arrived)
	}
	result.Tally, result.Violations, result.Notes = fleet.Tally, world.violations, world.notes
	return result
}

// call sends tickets until a true time, some of them twice at two proxies.
func (f *Fleet) sendRequests(operator *FleetOperator, until int64) {
	world := f.World
	if world.now >= until {
		return
	}
	world.At(world.now+5_000+world.Rng.Int63n(40_000), func() { f.sendRequests(operator, until) })
	f.requestsSent++
	group := simGroups[world.Rng.Intn(len(simGroups))]
	kind := []string{"check", "confirmation", "tag"}[world.Rng.Intn(3)]
	prompt := fmt.Sprintf("%d", f.requestsSent)
	if kind != "tag" {
		doc := group
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
	key := operator.keyNumbers[group]
	if key > 0 && world.Rng.Intn(5) == 0 {
		key-- // a caller that still uses the key that was taken
	}
	era := max(1, f.callerGeneration)
	pace := int64(0)
	if world.Rng.Intn(12) == 0 {
		pace = 200_000 + world.Rng.Int63n(1_300_000) // a long answer: much happens while it runs
	}
	for i := 0; i < n; i++ {
		gateway := f.Gateways[world.Rng.Intn(len(f.Gateways))]
		request := &callerRequest{group: group, kind: kind, id: fmt.Sprint("t", f.requestsSent), keyDigest: simKey(group, key), gateway: gateway, generation: era, pieceDelayUS: pace}
		after := int64(i) * world.Rng.Int63n(3_000_000)
		if i > 0 && world.Rng.Intn(4) == 0 {
			after += world.Rng.Int63n(20_000_000) // a resend long after
		}
		world.At(world.now+after, func() {
			f.Tally.Sent++
			request.deadline = world.now + due
			if !gateway.up {
				f.Tally.Lost++
				return
			}
			l := gateway.process
			world.At(world.now+300, func() { gateway.runIn(l, func() { gateway.admit(request, prompt, due) }) })
		})
	}
}

func (f *Fleet) injectFaults(day Day, operator *FleetOperator, until int64) {
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
		f.injectFault(k, operator)
		world.At(world.now+300_000+world.Rng.Int63n(2_500_000), next)
	}
	next()
	if day != DayOperators {
		var ops func()
		ops = func() {
			if world.now < until {
				f.injectFault(DayOperators, operator)
				world.At(world.now+4_000_000+world.Rng.Int63n(4_000_000), ops)
			}
		}
		world.At(world.now+1_000_000, ops)
	}
}

func pick[T any](world *World, list []T) T { return list[world.Rng.Intn(len(list))] }

func (f *Fleet) injectFault(day Day, operator *FleetOperator) {
	world := f.World
	harm := func(host *Host, most int64) {
		d := 50_000 + world.Rng.Int63n(most)
		switch world.Rng.Intn(3) {
		case 0:
			host.Freeze()
			world.At(world.now+d, host.Thaw)
		default:
			host.Kill()
			world.At(world.now+d, host.Start)
		}
	}
	switch day {
	case DayGateways:
		if world.Rng.Intn(2) == 0 {
			harm(pick(world, f.Gateways).Host, 3_000_000)
		} else {
			harm(pick(world, f.Agents).Host, 6_000_000)
		}
	case DayIndex:
		if world.Rng.Intn(6) == 0 {
			for _, indexNode := range f.IndexNodes {
				harm(indexNode.Host, 1_500_000)
			}
			return
		}
		indexNode := pick(world, f.IndexNodes)
		if world.Rng.Intn(4) == 0 {
			world.Isolate(indexNode.Name)
			world.At(world.now+world.Rng.Int63n(4_000_000), world.HealAll)
			return
		}
		harm(indexNode.Host, 5_000_000)
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
		engine := pick(world, f.Engines)
		switch world.Rng.Intn(4) {
		case 0:
			if !engine.store {
				operator.DrainEngine(engine.Name, 2_000_000+world.Rng.Int63n(8_000_000))
			}
		case 1:
			engine.Freeze()
			world.At(world.now+world.Rng.Int63n(2_000_000), engine.Thaw)
		default:
			engine.Kill()
			world.At(world.now+50_000+world.Rng.Int63n(4_000_000), engine.Start)
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
		engine := pick(world, f.Engines)
		switch world.Rng.Intn(7) {
		case 0, 1, 2:
			operator.NameWeights()
		case 3:
			engine.ignoresWeights = true
			world.At(world.now+2_000_000+world.Rng.Int63n(20_000_000), func() { engine.ignoresWeights = false })
		case 4:
			engine.loadDelayUS = world.Rng.Int63n(4_000_000)
		case 5:
			// It dies half turned, or at once, and comes back with what it had.
			world.At(world.now+world.Rng.Int63n(1_500_000), engine.Kill)
			world.At(world.now+2_000_000+world.Rng.Int63n(2_000_000), engine.Start)
		default:
			indexNode := pick(world, f.IndexNodes)
			indexNode.Kill()
			world.At(world.now+100_000+world.Rng.Int63n(3_000_000), indexNode.Start)
		}
	case DayReplacement:
		n := len(f.Cluster.Nodes)
		f.Cluster.replaceVoter()
		if len(f.Cluster.Nodes) > n && world.Rng.Intn(2) == 0 {
			// The machine's other program goes with it, and starts on the new one.
			indexNode := pick(world, f.IndexNodes)
			indexNode.Kill()
			world.At(world.now+1_000_000+world.Rng.Int63n(3_000_000), indexNode.Start)
		} else if world.Rng.Intn(3) == 0 {
			f.injectFault(DayControl, operator)
		}
	case DayIsolation:
		group := pick(world, simGroups)
		switch world.Rng.Intn(6) {
		case 0:
			operator.NameWeights()
		case 1, 2:
			operator.ToggleGroup(group)
		default:
			operator.ToggleIsolation(group)
		}
	case DayOperators:
		switch world.Rng.Intn(4) {
		case 0:
			operator.NameWeights()
		case 1:
			for i := int64(0); i < 10; i++ {
				world.At(world.now+i*30_000, func() { operator.PutPlan(nil) })
			}
		default:
			operator.RevokeKey(pick(world, simGroups))
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
	for _, node := range f.Cluster.Nodes {
		lost[node.Host] = node.removed
	}
	for _, host := range world.hosts {
		host.Thaw()
		if !lost[host] {
			host.Start()
		}
	}
	for _, node := range f.Cluster.Nodes {
		node.Disk.SyncDelayUS = 0
	}
}
