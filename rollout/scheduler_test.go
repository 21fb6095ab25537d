package rollout

import (
	"fmt"
	"testing"
)

// TestAllWithinBound: after one announcement, in fleets of many sizes, each engine is updated in
// time by exactly one request.
func TestAllWithinBound(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 5, 6, 7, 8, 10, 13, 20, 40, 80, 120, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, int64(n), n, "m")
			f.run(3*second, nil)
			f.announce("m", 5)
			f.run(applyWithin+2*second, nil)
			f.report("one announcement")
			if f.failure == "" && (f.countOutdated() > 0 || f.requests != n) {
				t.Errorf("%d engines are outdated, %d requests were sent to %d engines", f.countOutdated(), f.requests, n)
			}
			if len(f.scheduler.State.Updates) != 0 {
				t.Errorf("%d engines are still being updated", len(f.scheduler.State.Updates))
			}
		})
	}
}

// TestSlowUpdates: all engines are updated in time if they take 1.7 to 1.9 s after the request.
// With the draining before it, that is about the duration that the scheduler expects before it
// has measured any.
func TestSlowUpdates(t *testing.T) {
	for _, n := range []int{1, 2, 3, 4, 5, 6, 7, 10, 20, 40, 200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, int64(n), n, "m")
			f.setBound(12 * second)
			f.updateDuration = func() int64 { return 1700*ms + f.random.Int63n(200*ms) }
			f.run(3*second, nil)
			f.announce("m", 2)
			f.run(f.applyWithin+2*second, nil)
			f.report("slow updates")
		})
	}
}

// TestTwoModels: versions of both models of every engine are announced 500 ms apart.
func TestTwoModels(t *testing.T) {
	for _, n := range []int{3, 10, 40, 150} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, int64(n), n, "m", "n")
			f.setBound(12 * second)
			f.updateDuration = func() int64 { return 400*ms + f.random.Int63n(500*ms) }
			f.run(3*second, nil)
			f.announce("m", 2)
			f.run(500*ms, nil)
			f.announce("n", 2)
			f.run(f.applyWithin+2*second, nil)
			f.report("two models")
		})
	}
}

// TestSmallPool: in a small pool beside a large one, the engines are never all updated at the
// same time.
func TestSmallPool(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		f := newFleet(t, seed, 20, "m")
		var small []*simulatedEngine
		for range 3 {
			engine := f.addEngine("n")
			engine.Pool = "q"
			small = append(small, engine)
		}
		f.announced["n"] = []target{{1, 0}}
		f.refreshList()
		f.run(2*second, nil)
		f.announce([]string{"n", "m"}[seed%2], 2)
		f.announce([]string{"m", "n"}[seed%2], 2)
		f.run(applyWithin, func() {
			updating := 0
			for _, engine := range small {
				if _, ok := f.scheduler.State.Updates[engine.ID]; ok {
					updating++
				}
			}
			if updating == len(small) {
				f.fail("all %d engines of the pool are updated concurrently", updating)
			}
		})
		f.report(fmt.Sprint("seed ", seed))
	}
}

// TestFrequentAnnouncements: if versions are announced faster than engines can be updated, no
// engine is late, and all run the newest version in the end.
func TestFrequentAnnouncements(t *testing.T) {
	for _, n := range []int{4, 10, 40, 200} {
		for _, pause := range []int64{700 * ms, 3 * second, 7 * second} {
			t.Run(fmt.Sprint(n, " every ", pause/ms), func(t *testing.T) {
				f := newFleet(t, int64(n)+pause, n, "m")
				f.run(3*second, nil)
				version := uint64(1)
				for range 30 * second / pause {
					version += 1 + uint64(f.random.Intn(3))
					f.announce("m", version)
					f.run(pause, nil)
				}
				f.run(applyWithin+2*second, nil)
				f.report("storm")
			})
		}
	}
}

// TestEnginesJoinAndLeave: engines join, drain, leave and crash while versions are announced. No
// engine is late, and the state keeps nothing of engines that are gone.
func TestEnginesJoinAndLeave(t *testing.T) {
	for seed := int64(1); seed <= 5; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 20+int(seed)*8, "m", "n")
			announcedAt := f.now
			f.run(55*second, func() {
				if f.random.Intn(16) == 0 {
					ids := f.engineIDs()
					engine := f.engines[ids[f.random.Intn(len(ids))]]
					switch f.random.Intn(3) {
					case 0:
						f.addEngine("m", "n")
					case 1:
						if engine.drainedAt == 0 {
							engine.drainedAt = f.now
						}
					default:
						if engine.goneAt == 0 && len(ids) > 12 {
							engine.goneAt = f.now
						}
					}
				}
				for _, id := range f.engineIDs() {
					if engine := f.engines[id]; engine.drainedAt > 0 && f.now > engine.drainedAt+4*second {
						delete(f.engines, id)
					}
				}
				if f.now-announcedAt > 14*second && f.now < 140*second {
					announcedAt = f.now
					model := []string{"m", "n"}[f.random.Intn(2)]
					f.announce(model, f.announced[model][len(f.announced[model])-1].version+1)
				}
			})
			f.report("join and leave")
			if f.failure == "" && f.countOutdated() > 0 {
				t.Errorf("%d engines are outdated at the end", f.countOutdated())
			}
			f.stepLeader(false)
			live := map[string]bool{}
			for _, engine := range f.listed {
				live[engine.ID] = true
			}
			state := f.state()
			for id := range state.Updates {
				if !live[id] {
					t.Errorf("%s is gone but still has an update", id)
				}
			}
			for id := range state.Applied {
				if !live[id] {
					t.Errorf("%s is gone but its applied versions are kept", id)
				}
			}
		})
	}
}

// TestLeaderChanges: another leader takes over at random times, also between writing a state
// and sending its requests. No engine is sent requests by two leaders within one lease.
func TestLeaderChanges(t *testing.T) {
	for seed := int64(1); seed <= 20; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			f := newFleet(t, seed, 3+fleetSize(seed), "m")
			f.checkBound = false
			f.run(2*second, nil)
			f.announce("m", 2)
			nextChange := f.now + second
			version := uint64(2)
			f.run(30*second, func() {
				if f.now >= nextChange {
					nextChange = f.now + 500*ms + f.random.Int63n(4*second)
					if f.random.Intn(2) == 0 {
						f.stepLeader(true)
					}
					f.changeLeader()
				}
				if f.random.Intn(60) == 0 {
					version++
					f.announce("m", version)
				}
			})
			f.run(40*second, nil)
			f.report("succession")
			if f.failure == "" && f.countOutdated() > 0 {
				t.Errorf("%d engines are outdated, updates in progress %v", f.countOutdated(), f.scheduler.State.Updates)
			}
		})
	}
}

func fleetSize(seed int64) int { return int(seed*13) % 60 }

// TestLeaderChangesOneAnnouncement: the same without a second announcement.
func TestLeaderChangesOneAnnouncement(t *testing.T) {
	for seed := int64(1); seed <= 15; seed++ {
		f := newFleet(t, seed, 3+fleetSize(seed), "m")
		f.checkBound = false
		f.run(2*second, nil)
		f.announce("m", 2)
		nextChange := f.now + second
		f.run(20*second, func() {
			if f.now >= nextChange {
				nextChange = f.now + 300*ms + f.random.Int63n(3*second)
				if f.random.Intn(2) == 0 {
					f.stepLeader(true)
				}
				f.changeLeader()
			}
		})
		f.run(30*second, nil)
		f.report(fmt.Sprint("seed ", seed))
		if f.failure == "" && f.countOutdated() > 0 {
			t.Errorf("seed %d: %d engines are outdated, updates in progress %v", seed, f.countOutdated(), f.scheduler.State.Updates)
		}
	}
}

// TestRepeatedRequestNamesTheNewestVersion: an unanswered request is repeated for the version
// that is the newest by then, and the state with that version is written first.
func TestRepeatedRequestNamesTheNewestVersion(t *testing.T) {
	config := DefaultConfig(applyWithin, leaseDuration)
	scheduler := New(config, 0, 0, State{})
	engines := []Engine{{ID: "silent", Weights: map[string]uint64{"m": 1}}}
	scheduler.Announce("m", 2, 0)
	scheduler.Step(0, engines)
	sentAt := config.DrainDurationUS
	if requests, _, _ := scheduler.Step(sentAt, engines); len(requests) != 1 || requests[0].Version != 2 {
		t.Fatalf("first requests are %+v, want one for version 2", requests)
	}
	scheduler.Announce("m", 3, sentAt+second)
	requests, _, changed := scheduler.Step(sentAt+config.RetryAfterUS, engines)
	if len(requests) != 1 || requests[0].Version != 3 {
		t.Errorf("repeated requests are %+v, want one for version 3", requests)
	}
	if stored := scheduler.State.Updates["silent"]; !changed || stored.Version != 3 {
		t.Errorf("state has %+v, changed %v, want version 3 to be written before its request", stored, changed)
	}
}
