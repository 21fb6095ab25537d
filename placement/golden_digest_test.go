package placement_test

import (
	"fmt"
	"math/rand"
	"slices"
	"testing"

	"violetthread/cacheindex"
	"violetthread/internal/goldendigest"
	"violetthread/placement"
)

// TestGoldenDigest selects engines for random requests in random fleets, with loads, failures
// and hints. The digest does not include the address of the source, since the choice between
// several engines with the same blocks depends on map order.
func TestGoldenDigest(t *testing.T) {
	digest := goldendigest.New()
	for seed := int64(1); seed <= 40; seed++ {
		runGoldenPlacement(digest, rand.New(rand.NewSource(seed)))
	}
	digest.Compare(t)
}

func runGoldenPlacement(digest *goldendigest.Digest, rnd *rand.Rand) {
	zones := []string{"north", "south"}
	hints := cacheindex.NewHolderTable(1 << 12)
	picker := placement.New(zones[0], hints)
	picker.HintsComplete = rnd.Intn(4) > 0
	var engines []*placement.Engine
	for i := range 2 + rnd.Intn(8) {
		engines = append(engines, &placement.Engine{ID: fmt.Sprint("i-", i), Pool: "p", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: zones[i%2], Slots: 8,
			Draining: rnd.Intn(9) == 0, UpdatingWeights: rnd.Intn(6) == 0, Unhealthy: rnd.Intn(8) == 0,
			CacheTokens: 100_000, Weights: map[string]uint64{"m": uint64(1 + rnd.Intn(2))}})
	}
	stores := []placement.Store{{Addr: "10.9.9.9:80", Zone: zones[0]}, {Addr: "10.9.9.8:80", Zone: zones[1], Unhealthy: rnd.Intn(4) == 0}}
	picker.SetFleet(engines, stores)
	now := int64(10_000_000)
	var sent []placement.Choice
	for i := range 80 {
		now += rnd.Int63n(200_000)
		request := goldenRequest(rnd, i)
		choice, ok := picker.Pick(now, request)
		digest.Flag(ok)
		if !ok {
			continue
		}
		digest.Text(choice.Engine.ID)
		digest.Number(int64(choice.Version))
		digest.Text(choice.Salt)
		digest.Text(choice.Destination)
		digest.Flag(choice.Source != "")
		digest.Number(int64(choice.PrefillTokens))
		digest.Number(int64(choice.TransferTokens))
		digest.Number(int64(choice.CachedTokens))
		digest.Number(int64(choice.MemoryTokens))
		for _, key := range choice.BlockKeys {
			digest.Number(int64(key.Hi))
			digest.Number(int64(key.Lo))
			digest.Number(int64(key.Check))
			if rnd.Intn(3) > 0 {
				hints.Put(key, placement.EngineHolderID(choice.Engine.ID))
			}
			if choice.Destination != "" {
				hints.Put(key, placement.StoreHolderID(choice.Destination))
			}
		}
		picker.RequestSent(now, &choice)
		sent = append(sent, choice)
		if k := rnd.Intn(len(sent)); rnd.Intn(2) == 0 {
			started := rnd.Intn(4) > 0
			if started {
				picker.ResponseStarted(now, &sent[k])
			}
			picker.AttemptEnded(&sent[k], started)
			sent = append(sent[:k], sent[k+1:]...)
		}
		engine := engines[rnd.Intn(len(engines))]
		switch rnd.Intn(8) {
		case 0:
			picker.Eject(now, engine.ID, rnd.Int63n(600_000), rnd.Intn(2) == 0)
		case 1:
			rnd.Intn(8) // keeps the number of draws the same as when the digest was recorded
			picker.ReportLoad(now, engine.ID, rnd.Intn(4))
		case 2:
			picker.SetOtherLoads(now, map[uint64]placement.Load{placement.EngineHolderID(engine.ID): {Requests: rnd.Intn(9), PrefillTokens: rnd.Int63n(20_000), MemoryTokens: rnd.Int63n(90_000)}}, false)
		case 3:
			changed := *engine
			changed.Unhealthy = rnd.Intn(2) == 0
			engines = slices.Clone(engines)
			engines[slices.Index(engines, engine)] = &changed
			picker.SetFleet(engines, stores)
		}
		own := picker.OwnLoads(now)
		for _, e := range engines {
			load := own[placement.EngineHolderID(e.ID)]
			digest.Number(int64(load.Requests))
			digest.Number(load.PrefillTokens)
			digest.Number(load.MemoryTokens)
		}
	}
}

func goldenRequest(rnd *rand.Rand, number int) *placement.Request {
	r := &placement.Request{Pool: "p", Model: "m", CacheScope: fmt.Sprint("c", rnd.Intn(2)), TriedEngines: map[string]bool{}, MaxOutputTokens: 50, Misdirected: rnd.Intn(12) == 0}
	if rnd.Intn(4) == 0 {
		r.MinVersion = 2
	}
	if rnd.Intn(6) == 0 {
		r.TriedEngines["i-1"] = true
	}
	document := rnd.Intn(5)
	for i := range rnd.Intn(4) {
		r.Blocks = append(r.Blocks, placement.Block{ID: fmt.Sprint("d", document, "-", i), Tokens: 200 + 100*document})
	}
	r.Blocks = append(r.Blocks, placement.Block{ID: fmt.Sprint("own", number), Tokens: 50 + rnd.Intn(500)})
	for _, block := range r.Blocks {
		r.PromptTokens += block.Tokens
	}
	return r
}
