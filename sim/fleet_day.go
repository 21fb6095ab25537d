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
	DayGateways    Day = "proxies"    // gateways and agents killed and frozen
	DayIndex       Day = "index"      // index nodes killed, frozen, isolated
	DayControl     Day = "control"    // control nodes killed singly and in herds
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

// FleetResult is what a day came to.
type FleetResult struct {
	Tally
	// Back is how long after the last fault was mended a request was done.
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
	// A tenth of traffic, and what each gateway's budget may have saved up.
	if t := fleet.Tally; t.Retries > t.Arrived/10+1 {
		world.Violation("retries", "%d retries for %d tickets", t.Retries, t.Arrived)
	}
	result.Tally, result.Violations, result.Notes = fleet.Tally, world.violations, world.notes
	return result
}

// sendRequests sends requests until a true time, some of them twice at two gateways.
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
