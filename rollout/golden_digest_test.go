package rollout_test

import (
	"fmt"
	"math/rand"
	"testing"

	"violetthread/internal/goldendigest"
	"violetthread/rollout"
)

// TestGoldenDigest rolls out one version after another to engines that drain, disappear, reject
// requests and are slow, with a scheduler that is now and then restored from its state, and
// compares the decisions with the stored digest.
func TestGoldenDigest(t *testing.T) {
	digest := goldendigest.New()
	for seed := int64(1); seed <= 6; seed++ {
		runGoldenRollout(digest, rand.New(rand.NewSource(seed)))
	}
	digest.Compare(t)
}

func runGoldenRollout(digest *goldendigest.Digest, rnd *rand.Rand) {
	config := rollout.DefaultConfig(12_000_000, 3_000_000)
	scheduler := rollout.New(config, 0, 0, rollout.State{})
	var engines []rollout.Engine
	for i := range 12 {
		engines = append(engines, rollout.Engine{ID: fmt.Sprint("e", i), Addr: fmt.Sprint("10.0.0.", i), Pool: []string{"p", "q"}[i%2], Zone: []string{"north", "south"}[i/2%2],
			Weights: map[string]uint64{"m": 1}})
	}
	runsAt := map[string]int64{}
	requested := map[string]uint64{}
	version := uint64(1)
	for now := int64(0); now < 90_000_000; now += 100_000 {
		if rnd.Intn(150) == 0 {
			version++
			scheduler.Announce("m", version, now)
			digest.Number(int64(version))
		}
		if rnd.Intn(200) == 0 {
			engines[rnd.Intn(len(engines))].Draining = rnd.Intn(2) == 0
		}
		if rnd.Intn(300) == 0 {
			state, err := rollout.UnmarshalState(scheduler.State.Marshal())
			digest.Flag(err == nil)
			scheduler = rollout.New(config, now, now-rnd.Int63n(2_000_000), state)
			scheduler.Announce("m", version, now)
		}
		live := engines
		if now/1_000_000%20 == 7 {
			live = engines[1:] // one engine is missing for a second
		}
		requests, inspect, changed := scheduler.Step(now, live)
		digest.Flag(changed)
		for _, request := range requests {
			digest.Number(now)
			digest.Text(request.Engine)
			digest.Text(request.Addr)
			digest.Text(request.Model)
			digest.Number(int64(request.Version))
			if rnd.Intn(8) > 0 && runsAt[request.Engine] == 0 {
				runsAt[request.Engine], requested[request.Engine] = now+1_000_000+rnd.Int63n(3_000_000), request.Version
			}
		}
		for _, id := range inspect {
			digest.Text(id)
		}
		if changed {
			digest.Text(string(scheduler.State.Marshal()))
		}
		for i := range engines {
			e := &engines[i]
			if at := runsAt[e.ID]; at > 0 && now >= at {
				e.Weights = map[string]uint64{"m": requested[e.ID]}
				runsAt[e.ID] = 0
			}
		}
	}
}
