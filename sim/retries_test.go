package sim

import (
	"testing"

	"violetthread/attempt"
)

// TestRetriesFleetWide runs nine gateways, a faulty engine, and callers that resend what
// failed. Over the whole fleet there may be at most a tenth more attempts than requests. The
// faulty engine must get less than its share of them, and must not be overloaded once it has
// recovered.
func TestRetriesFleetWide(t *testing.T) {
	for _, fault := range []string{"interrupts runs", "refuses", "crashes"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			fleet := NewFleet(21, FleetSize{Gateways: 9, Engines: 6})
			operator := NewFleetOperator(fleet)
			world := fleet.World
			engine := fleet.engineNamed("e03")
			resent := 0
			fleet.checker.onRequestEnded = func(x *callerRequest, outcome attempt.Outcome) {
				if outcome != attempt.Done && !x.probe && x.reason != "duplicate" && world.now < 24_000_000 {
					// The caller resends at once through another gateway, with the same ID.
					resent++
					again := &callerRequest{group: x.group, kind: x.kind, id: x.id, keyDigest: x.keyDigest, generation: x.generation, probe: true}
					again.gateway = fleet.Gateways[world.Rng.Intn(len(fleet.Gateways))]
					fleet.Tally.Sent++
					again.gateway.After(1_000, func() { again.gateway.admit(again, "again", 5_000_000) })
				}
			}
			world.At(1_300_000, func() { operator.PutPlan(nil) })
			world.At(2_500_000, func() {
				for i := 0; i < 8; i++ { // some 300 requests a second
					fleet.sendRequests(operator, 30_000_000)
				}
			})
			count := func(from, to int64) (toEngine, all int) {
				for _, x := range fleet.Engines {
					for _, at := range x.arrivalTimes {
						if at >= from && at < to {
							all++
							if x == engine {
								toEngine++
							}
						}
					}
				}
				return toEngine, all
			}
			world.At(8_000_000, func() {
				switch fault {
				case "interrupts runs":
					engine.interruptsRuns = true
				case "refuses":
					engine.capacity = 0
				default:
					engine.Kill()
				}
			})
			world.At(16_000_000, func() {
				engine.interruptsRuns, engine.capacity = false, 12
				engine.Start()
			})
			world.Run(34_000_000)
			if len(world.violations) > 0 {
				t.Fatal(world.violations)
			}
			var arrived, retries, attempts uint64
			for _, gateway := range fleet.Gateways {
				c := gateway.dispatcher.Counters
				arrived, retries, attempts = arrived+c.Arrived, retries+c.Retries, attempts+c.Attempts
			}
			duringFault, all := count(9_000_000, 16_000_000)
			first, allAfter := count(16_000_000, 18_000_000)
			t.Logf("%d requests (%d of them resent), %d attempts, %d of them retries; the faulty engine got %d of %d attempts, and %d of %d in the 2 s after it recovered",
				arrived, resent, attempts, retries, duringFault, all, first, allAfter)
			if retries*10 > arrived || retries == 0 && fault != "crashes" || attempts > arrived+arrived/10 {
				t.Errorf("%d retries and %d attempts for %d requests", retries, attempts, arrived)
			}
			if duringFault*6 > all {
				t.Errorf("the faulty engine got %d of %d runs, more than its sixth", duringFault, all)
			}
			if first*3 > allAfter || first == 0 {
				t.Errorf("the engine got %d of %d attempts in the 2 s after it recovered, its share is a sixth", first, allAfter)
			}
		})
	}
}
