package sim

// Day is a kind of simulated day of a whole fleet.
type Day string

// Days of a fleet. Each one injects its faults repeatedly until its end.
const (
	DayCalm        Day = "calm"
	DayGateways    Day = "proxies"    // gateways and agents are killed and frozen
	DayIndex       Day = "index"      // index nodes are killed, frozen and isolated
	DayControl     Day = "control"    // control nodes are killed, one at a time or all at once
	DayEngines     Day = "engines"    // engines and the store crash, freeze and restart; engines are drained
	DayNetwork     Day = "network"    // links are cut, machines isolated, messages lost and duplicated
	DayOperators   Day = "operators"  // keys are revoked, weights changed, plans sent in bursts
	DayIsolation   Day = "walls"      // groups are isolated and shared again, removed and added again
	DayReplacement Day = "roster"     // machines of control nodes, and at times index nodes on them, are lost for good and replaced
	DayWeights     Day = "weights"    // weights change repeatedly; engines ignore them, load them slowly, or die while loading
	DayReports     Day = "news"       // engine events are lost, cache transfers fail silently
	DayAll         Day = "everything" // all of these faults
)

// Days lists all days.
var Days = []Day{DayCalm, DayGateways, DayIndex, DayControl, DayEngines, DayNetwork, DayOperators, DayIsolation, DayReplacement, DayWeights, DayReports, DayAll}

// FleetResult is the result of a fleet day.
type FleetResult struct {
	Tally
	// RecoveryUS is the time from the end of the faults to the next completed request.
	RecoveryUS int64
	Violations []string
	Notes      []string
}

// fleetStartUS is the time that a fleet has for its start before faults begin.
const fleetStartUS = 3_000_000

// RunFleet runs one day of the given duration.
func RunFleet(seed int64, day Day, durationUS int64, size FleetSize) FleetResult {
	fleet := NewFleet(seed, size)
	world := fleet.World
	operator := NewFleetOperator(fleet)
	world.At(1_300_000, func() { operator.PutPlan(nil) })
	world.At(fleetStartUS-500_000, func() { fleet.sendRequests(operator, durationUS) })
	world.At(fleetStartUS, func() { fleet.injectFaults(day, operator, durationUS) })
	world.Run(durationUS)
	fleet.endFaults()
	recoveryUS := fleet.awaitService(operator, durationUS)
	fleet.checkRetries()
	return FleetResult{Tally: fleet.Tally, RecoveryUS: recoveryUS, Violations: world.violations, Notes: world.notes}
}

// awaitService lets callers continue until a request completes, and returns how long that
// took.
func (f *Fleet) awaitService(operator *FleetOperator, from int64) (tookUS int64) {
	world := f.World
	end := from + recoveryBoundUS
	f.checker.lastCompletion = 0
	world.At(from, func() { f.sendRequests(operator, end) })
	for world.now < end && f.checker.lastCompletion == 0 && len(world.violations) == 0 {
		world.Run(world.now + 20_000)
	}
	tookUS = world.now - from
	if f.checker.lastCompletion == 0 && len(world.violations) == 0 {
		world.Violation("not back", "no request completed within 10 s of the last fault")
	}
	return tookUS
}

// checkRetries sums the gateways' counters and checks that retries are at most a tenth of all
// requests, plus what each gateway's budget may have accumulated.
func (f *Fleet) checkRetries() {
	tally := &f.Tally
	for _, gateway := range f.Gateways {
		if gateway.up {
			counters := gateway.dispatcher.Counters
			tally.Arrived += counters.Arrived
			tally.Retries += counters.Retries
			tally.Attempts += counters.Attempts
		}
	}
	if tally.Retries > tally.Arrived/10+1 {
		f.World.Violation("retries", "%d retries for %d requests", tally.Retries, tally.Arrived)
	}
}
