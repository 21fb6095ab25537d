package sim

import (
	"fmt"
	"sort"

	"violetthread/attempt"
)

// RunLast brings one last fault about and asks for service for ten seconds after it:
// a once-only ticket at every proxy every 150 ms, and a plan every 400 ms. It returns
// when the last of them that failed was followed by one that did not, over all proxies
// that live; 0 means that they failed to the end.
func RunFinalFault(seed int64, fault string, size FleetSize) (back int64, wrong []string) {
	fleet := NewFleet(seed, size)
	world := fleet.World
	operator := NewFleetOperator(fleet)
	world.At(1_300_000, func() { operator.PutPlan(nil) })
	at := 6_000_000 + world.Rng.Int63n(1_000_000)
	world.At(3_000_000, func() { fleet.sendRequests(operator, at+10_000_000) })
	world.Run(at)
	if len(world.violations) > 0 {
		return 0, world.violations
	}
	fleet.nameWeights = operator.NameWeights
	FinalFaults[fault](fleet)
	fleet.checker.lastCompletion = 0
	type word struct{ sent, done int64 } // done 0: it failed
	told := map[string][]*word{}
	byID := map[string]*word{}
	n := 0
	prober := world.NewHost("prober", "north", func() {})
	prober.Start()
	prober.Every(150_000, func() {
		for _, gateway := range fleet.Gateways {
			if !gateway.up || gateway.frozen || world.now > at+10_000_000 {
				continue
			}
			n++
			request := &callerRequest{group: "desk", kind: "tag", id: fmt.Sprint("probe", n), keyDigest: simKey("desk", 0), gateway: gateway, generation: max(1, fleet.callerGeneration), probe: true}
			o := &word{sent: world.now - at}
			byID[request.id] = o
			told[gateway.Name] = append(told[gateway.Name], o)
			gateway.After(300, func() { gateway.admit(request, "probe", 5_000_000) })
		}
	})
	prober.Every(400_000, func() {
		if world.now > at+10_000_000 || operator.busy {
			return
		}
		o := &word{sent: world.now - at}
		told["plan"] = append(told["plan"], o)
		operator.PutPlan(func() { o.done = world.now - at })
	})
	fleet.checker.onRequestEnded = func(request *callerRequest, o attempt.Outcome) {
		if request.probe && o == attempt.Done {
			byID[request.id].done = world.now - at
		}
	}
	world.Run(at + 16_000_000)
	for _, name := range sortedNames(told) {
		if host := world.hostNamed(name); host != nil && !host.up {
			continue
		}
		var mine int64
		for _, o := range told[name] {
			switch {
			case o.done == 0:
				mine = 0
			case mine == 0:
				mine = o.done
			}
		}
		if mine == 0 {
			return 0, world.violations
		}
		back = max(back, mine)
	}
	return back, world.violations
}

func sortedNames[V any](byName map[string]V) []string {
	var names []string
	for n := range byName {
		names = append(names, n)
	}
	sort.Strings(names)
	return names
}
