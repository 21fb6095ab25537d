package sim

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
	DayReports     Day = "news"       // reports lost, cache transfers fail quietly
	DayAll         Day = "everything" // all of it at once
)

// Days lists them all.
var Days = []Day{DayCalm, DayGateways, DayIndex, DayControl, DayEngines, DayNetwork, DayOperators, DayIsolation, DayReplacement, DayWeights, DayReports, DayAll}

// FleetResult is what a day came to.
type FleetResult struct {
	Tally
	// RecoveryUS is how long after the last fault was mended a request was done.
	RecoveryUS int64
	Violations []string
	Notes      []string
}

// fleetStartUS is how long a fleet has to start up before anything is done to it.
const fleetStartUS = 3_000_000

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
	recoveryUS := fleet.awaitService(operator, durationUS)
	fleet.checkRetries()
	return FleetResult{Tally: fleet.Tally, RecoveryUS: recoveryUS, Violations: world.violations, Notes: world.notes}
}

// awaitService has callers go on until a request is done, and returns how long that took.
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
		world.Violation("not back", "no ticket was done within ten seconds after the last fault")
	}
	return tookUS
}

// checkRetries adds up the gateways' counters and checks that retries are at most a tenth
// of all requests, and what each gateway's budget may have saved up.
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
		f.World.Violation("retries", "%d retries for %d tickets", tally.Retries, tally.Arrived)
	}
}
