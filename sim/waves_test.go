package sim

import (
	"testing"

	"violetthread/attempt"
)

// TestWaves: new weights reach a fleet of full size in waves over all of it, also
// when the busiest index node dies in the middle; half the engines serve all the
// while, and hardly a ticket fails for it. VT_SEEDS runs more seeds.
func TestWaves(t *testing.T) {
	t.Parallel()
	n := seeds()
	least, worst := 18, int64(0)
	for seed := int64(1); seed <= max(n, 2); seed++ {
		f := NewFleet(seed, FleetSize{Proxies: 9, Engines: 18})
		s := NewScript(f)
		w := f.W
		w.At(1_300_000, func() { s.Put(nil) })
		w.At(2_500_000, func() { f.call(s, 30_000_000) })
		w.At(6_000_000, s.Name)
		w.At(8_000_000, func() { f.Custodians[seed%4].Kill() })
		done, lost := int64(0), map[string]int{}
		f.judge.onTold = func(x *send, o attempt.Outcome) {
			if o != attempt.Done && x.why != "duplicate" {
				lost[x.why]++
			}
		}
		var look func()
		look = func() {
			serving, old := 0, 0
			for _, e := range f.Engines {
				if e.store {
					continue
				}
				if e.turning == "" {
					serving++
				}
				if e.weights != "w2" {
					old++
				}
			}
			least = min(least, serving)
			if old == 0 && done == 0 {
				done = w.now - 6_000_000
			}
			w.At(w.now+20_000, look)
		}
		w.At(6_000_000, look)
		w.Run(32_000_000)
		if len(w.wrong) > 0 {
			t.Fatalf("seed %d: %v", seed, w.wrong)
		}
		if done == 0 || done > 20_000_000 {
			t.Errorf("seed %d: all engines had turned after %d us", seed, done)
		}
		// Callers turned away by engines that turn may use retries up.
		if f.Seen.Refused*100 > f.Seen.Sent || lost["engine-lost"] > 0 {
			t.Errorf("seed %d: of %d tickets %v", seed, f.Seen.Sent, lost)
		}
		worst = max(worst, done)
	}
	t.Logf("at least %d of 18 engines served; all had turned after %.1f s at most", least, float64(worst)/1e6)
	if least < 9 {
		t.Errorf("only %d of 18 engines served", least)
	}
}
