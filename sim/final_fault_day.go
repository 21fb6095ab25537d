package sim

import (
	"fmt"
	"sort"

	"violetthread/attempt"
)

const (
	// finalProbesUS is how long probes are sent after a final fault.
	finalProbesUS = 10_000_000
	// finalAnswersUS is the time after the fault at which the run ends, with every probe
	// finished.
	finalAnswersUS = 16_000_000

	finalRequestIntervalUS = 150_000
	finalPlanIntervalUS    = 400_000
)

// RunFinalFault injects one final fault and probes the service for ten seconds after it: a
// once-only request at every gateway every 150 ms, and a plan every 400 ms. It returns the
// time after the fault, in microseconds, at which service was back for good: when the first
// probe after the last failed one succeeded, at the slowest of the gateways that are up and
// the plan. 0 means that service did not come back.
func RunFinalFault(seed int64, fault string, size FleetSize) (recoveryUS int64, violations []string) {
	fleet := NewFleet(seed, size)
	world := fleet.World
	operator := NewFleetOperator(fleet)
	world.At(1_300_000, func() { operator.PutPlan(nil) })
	at := 6_000_000 + world.Rng.Int63n(1_000_000)
	world.At(3_000_000, func() { fleet.sendRequests(operator, at+finalProbesUS) })
	world.Run(at)
	if len(world.violations) > 0 {
		return 0, world.violations
	}
	fleet.changeWeights = operator.ChangeWeights
	FinalFaults[fault](fleet)
	fleet.checker.lastCompletion = 0
	p := newServiceProbes(fleet, operator, at)
	p.start()
	world.Run(at + finalAnswersUS)
	return p.recoveryUS(), world.violations
}

// serviceProbe is a request or plan that was sent to check whether service is back.
type serviceProbe struct {
	doneUS int64 // microseconds after the fault, 0 if the probe failed
}

// serviceProbes probes the service of a fleet after a fault.
type serviceProbes struct {
	fleet       *Fleet
	operator    *FleetOperator
	faultAt     int64                      // true time
	byTarget    map[string][]*serviceProbe // by name of the gateway, or "plan"
	byRequestID map[string]*serviceProbe
}

func newServiceProbes(fleet *Fleet, operator *FleetOperator, faultAt int64) *serviceProbes {
	return &serviceProbes{
		fleet: fleet, operator: operator, faultAt: faultAt,
		byTarget:    map[string][]*serviceProbe{},
		byRequestID: map[string]*serviceProbe{},
	}
}

func (p *serviceProbes) start() {
	prober := p.fleet.World.NewHost("prober", "north", func() {})
	prober.Start()
	prober.Every(finalRequestIntervalUS, p.sendRequests)
	prober.Every(finalPlanIntervalUS, p.putPlan)
	p.fleet.checker.onRequestEnded = func(request *callerRequest, outcome attempt.Outcome) {
		if request.probe && outcome == attempt.Done {
			p.byRequestID[request.id].doneUS = p.sinceFault()
		}
	}
}

func (p *serviceProbes) sinceFault() int64 { return p.fleet.World.now - p.faultAt }

func (p *serviceProbes) add(target string) *serviceProbe {
	probe := &serviceProbe{}
	p.byTarget[target] = append(p.byTarget[target], probe)
	return probe
}

func (p *serviceProbes) sendRequests() {
	for _, gateway := range p.fleet.Gateways {
		if !gateway.up || gateway.frozen || p.sinceFault() > finalProbesUS {
			continue
		}
		request := &callerRequest{
			group: "desk", kind: "tag", id: fmt.Sprint("probe", len(p.byRequestID)+1), keyDigest: simKey("desk", 0),
			gateway: gateway, generation: max(1, p.fleet.callerGeneration), probe: true,
		}
		p.byRequestID[request.id] = p.add(gateway.Name)
		gateway.After(300, func() { gateway.admit(request, "probe", 5_000_000) })
	}
}

func (p *serviceProbes) putPlan() {
	if p.sinceFault() > finalProbesUS || p.operator.busy {
		return
	}
	probe := p.add("plan")
	p.operator.PutPlan(func() { probe.doneUS = p.sinceFault() })
}

// recoveryUS returns when service was back for good at all targets that are up, 0 if it was
// not.
func (p *serviceProbes) recoveryUS() (latest int64) {
	for _, target := range sortedNames(p.byTarget) {
		if host := p.fleet.World.hostNamed(target); host != nil && !host.up {
			continue
		}
		recovered := lastRecovery(p.byTarget[target])
		if recovered == 0 {
			return 0
		}
		latest = max(latest, recovered)
	}
	return latest
}

// lastRecovery returns when the first probe after the last failed one succeeded, 0 for none.
func lastRecovery(probes []*serviceProbe) (recoveredUS int64) {
	for _, probe := range probes {
		switch {
		case probe.doneUS == 0:
			recoveredUS = 0
		case recoveredUS == 0:
			recoveredUS = probe.doneUS
		}
	}
	return recoveredUS
}

func sortedNames[V any](byName map[string]V) []string {
	var names []string
	for name := range byName {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
