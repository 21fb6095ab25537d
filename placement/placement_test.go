package placement

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"

	"violetthread/cacheindex"
	"violetthread/route"
)

const model = "m"

// testFleet is a Picker with its hints and its fleet.
type testFleet struct {
	*Picker
	hints   *cacheindex.HolderTable
	engines []*Engine
	stores  []Store
}

func newTestFleet(n int) *testFleet {
	f := &testFleet{hints: cacheindex.NewHolderTable(1 << 12)}
	f.Picker = New("north", f.hints)
	f.HintsComplete = true
	for i := range n {
		f.engines = append(f.engines, &Engine{ID: fmt.Sprint("i-", i), Pool: "p", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: []string{"north", "south"}[i%2], Slots: 8,
			CacheTokens: 100_000, Weights: map[string]uint64{model: 1}})
	}
	f.stores = []Store{{Addr: "10.9.9.9:80", Zone: "north"}}
	f.updateFleet()
	return f
}

// updateFleet passes the current engines and stores to the Picker.
func (f *testFleet) updateFleet() { f.SetFleet(f.engines, f.stores) }

// putHints adds hints that a node has blocks cached.
func (f *testFleet) putHints(node uint64, scope string, v uint64, ids ...string) {
	for _, id := range ids {
		f.hints.Put(cacheindex.BlockKey(CacheSalt(scope, v), model, id), node)
	}
}

func request(blocks ...string) *Request {
	r := &Request{Pool: "p", Model: model, CacheScope: "c1", TriedEngines: map[string]bool{}, MaxOutputTokens: 50}
	for _, x := range blocks {
		r.Blocks = append(r.Blocks, Block{x, 1000})
		r.PromptTokens += 1000
	}
	return r
}

// TestNeverPicked checks that an engine that is draining, ejected, already tried, of another pool
// or running too old a version is never selected, whatever it has cached, and that Pick fails if
// no engine is eligible.
func TestNeverPicked(t *testing.T) {
	for seed := int64(1); seed <= 300; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		f := newTestFleet(1 + rnd.Intn(8))
		now := int64(10_000_000)
		r := request("a", "b", "own")
		r.MinVersion = uint64(rnd.Intn(3))
		usable, notUpdating := 0, 0
		ok := map[string]bool{}
		for _, e := range f.engines {
			e.Draining, e.UpdatingWeights, e.Unhealthy = rnd.Intn(5) == 0, rnd.Intn(3) == 0, rnd.Intn(5) == 0
			e.Weights[model] = uint64(1 + rnd.Intn(3))
			if rnd.Intn(6) == 0 {
				e.Pool = "q"
			}
			if rnd.Intn(4) == 0 {
				r.TriedEngines[e.ID] = true
			}
		}
		f.updateFleet()
		for _, e := range f.engines {
			for v := uint64(1); v <= 3; v++ {
				if rnd.Intn(2) == 0 {
					f.putHints(EngineHolderID(e.ID), r.CacheScope, v, "a", "b")
				}
			}
			ejected := rnd.Intn(4) == 0
			if ejected {
				f.Eject(now, e.ID, 100_000, rnd.Intn(2) == 0)
			} else if rnd.Intn(4) == 0 {
				f.Eject(now-2_000_000, e.ID, 100_000, false) // already over
			}
			if !e.Draining && !ejected && !r.TriedEngines[e.ID] && e.Pool == "p" && e.Weights[model] >= r.MinVersion {
				ok[e.ID] = true
				usable++
				if !e.UpdatingWeights {
					notUpdating++
				}
			}
		}
		c, got := f.Pick(now, r)
		switch {
		case got != (usable > 0):
			t.Fatalf("seed %d: engine selected: %v, eligible engines: %d", seed, got, usable)
		case got && !ok[c.Engine.ID]:
			t.Fatalf("seed %d: ineligible engine %+v selected", seed, c.Engine)
		case got && c.Engine.UpdatingWeights && notUpdating > 0:
			t.Fatalf("seed %d: %s selected, which is about to load other weights; %d eligible engines are not", seed, c.Engine.ID, notUpdating)
		case got && (c.Version != c.Engine.Weights[model] || c.Salt != CacheSalt(r.CacheScope, c.Version)):
			t.Fatalf("seed %d: version or salt of %+v does not match engine %+v", seed, c, c.Engine)
		}
		if got {
			for i, k := range BlockKeys(r, c.Salt) {
				if k != c.BlockKeys[i] {
					t.Fatalf("seed %d: block key %d has another salt", seed, i)
				}
			}
			if c.Source == c.Engine.Addr || c.Destination == c.Engine.Addr {
				t.Fatalf("seed %d: %s is its own source or destination", seed, c.Engine.ID)
			}
		}
	}
}

// TestSourceJoins checks that the blocks of a source are combined with those of the engine,
// including the engine's blocks after the ones that only the source has.
func TestSourceJoins(t *testing.T) {
	f := newTestFleet(2)
	own, other := f.engines[0], f.engines[1]
	other.Draining = true // so that it can only be a source
	f.updateFleet()
	f.putHints(EngineHolderID(own.ID), "c1", 1, "a", "c")
	f.putHints(EngineHolderID(other.ID), "c1", 1, "b")
	f.stores = nil
	f.updateFleet()
	c, ok := f.Pick(1, request("a", "b", "c", "own"))
	if !ok || c.Engine != own || c.Source != other.Addr || c.CachedTokens != 2000 || c.TransferTokens != 1000 || c.PrefillTokens != 1000 {
		t.Fatalf("choice with a source for the missing block: %v %+v", ok, c)
	}
	// Without the source the engine computes everything from the missing block on.
	other.Unhealthy = true
	if c, _ = f.Pick(1, request("a", "b", "c", "own")); c.Source != "" || c.CachedTokens != 1000 || c.TransferTokens != 0 || c.PrefillTokens != 3000 {
		t.Fatalf("unhealthy source used: %+v", c)
	}
}

// TestSourceOfAnotherScope checks that blocks of another cache scope or of other weights are not
// used.
func TestSourceOfAnotherScope(t *testing.T) {
	f := newTestFleet(2)
	f.stores = nil
	f.engines[1].Draining = true
	f.updateFleet()
	f.putHints(EngineHolderID(f.engines[1].ID), "w2", 1, "a", "b")
	f.putHints(EngineHolderID(f.engines[1].ID), "c1", 2, "a", "b")
	f.putHints(EngineHolderID(f.engines[0].ID), "w2", 1, "a", "b")
	if c, _ := f.Pick(1, request("a", "b", "own")); c.Source != "" || c.CachedTokens+c.TransferTokens != 0 || c.PrefillTokens != 3000 {
		t.Fatalf("blocks of another scope or version used: %+v", c)
	}
}

// TestStore checks in which cases the store is named as source and as destination.
func TestStore(t *testing.T) {
	store := "10.9.9.9:80"
	type c struct {
		name         string
		set          func(f *testFleet)
		blocks       []string
		source, dest string
	}
	engineHolds := func(f *testFleet, ids ...string) { f.putHints(EngineHolderID("i-0"), "c1", 1, ids...) }
	storeHolds := func(f *testFleet, ids ...string) { f.putHints(StoreHolderID(store), "c1", 1, ids...) }
	for _, x := range []c{
		{"no blocks cached", func(*testFleet) {}, []string{"a", "b", "own"}, store, store},
		{"hints not complete", func(f *testFleet) { f.HintsComplete = false }, []string{"a", "b", "own"}, store, ""},
		{"store unhealthy", func(f *testFleet) { f.stores[0].Unhealthy = true }, []string{"a", "b", "own"}, "", ""},
		{"unhealthy store has the blocks", func(f *testFleet) { f.stores[0].Unhealthy = true; storeHolds(f, "a", "b") }, []string{"a", "b", "own"}, "", ""},
		{"no store", func(f *testFleet) { f.stores = nil }, []string{"a", "b", "own"}, "", ""},
		{"the store has all shared blocks", func(f *testFleet) { storeHolds(f, "a", "b") }, []string{"a", "b", "own"}, store, ""},
		{"the store has the first block", func(f *testFleet) { storeHolds(f, "a") }, []string{"a", "b", "own"}, store, store},
		{"the engine has all shared blocks", func(f *testFleet) { engineHolds(f, "a", "b") }, []string{"a", "b", "own"}, store, ""},
		{"the engine has the first block, the store the second", func(f *testFleet) { engineHolds(f, "a"); storeHolds(f, "b") }, []string{"a", "b", "own"}, store, ""},
		{"no shared blocks", func(*testFleet) {}, []string{"own"}, "", ""},
		{"the store has blocks of other weights", func(f *testFleet) { f.putHints(StoreHolderID(store), "c1", 2, "a", "b") }, []string{"a", "b", "own"}, store, store},
		{"the store has blocks of another scope", func(f *testFleet) { f.putHints(StoreHolderID(store), "w2", 1, "a", "b") }, []string{"a", "b", "own"}, store, store},
	} {
		f := newTestFleet(1)
		x.set(f)
		f.updateFleet()
		g, ok := f.Pick(1, request(x.blocks...))
		if !ok || g.Source != x.source || g.Destination != x.dest {
			t.Errorf("%s: source %q, want %q; destination %q, want %q", x.name, g.Source, x.source, g.Destination, x.dest)
		}
	}
}

// TestSalts checks that different cache scopes and versions have different salts.
func TestSalts(t *testing.T) {
	table := route.Compile(route.Config{Tenants: []route.Tenant{{Name: "a", Isolated: true}, {Name: "b", Isolated: true}, {Name: "c"}, {Name: "d"}}}, 1)
	seen := map[string]string{}
	for _, n := range []string{"a", "b", "c"} {
		for _, v := range []uint64{0, 1, 2, 10, 11, 12, 1 << 60} {
			s, who := CacheSalt(table.CacheScope(n), v), fmt.Sprint(n, "/", v)
			if o, ok := seen[s]; ok {
				t.Errorf("%s and %s have the same salt %s", o, who, s)
			}
			seen[s] = who
			if !strings.HasSuffix(s, fmt.Sprint(v)) {
				t.Errorf("salt %s of version %d does not end in the version", s, v)
			}
		}
	}
	if CacheSalt(table.CacheScope("c"), 1) != CacheSalt(table.CacheScope("d"), 1) {
		t.Error("tenants without isolation have different salts")
	}
}

// TestEjectionEnds checks that the ejection time doubles with repeated failures, and that an
// ejected engine is used again within sixteen times the base duration.
func TestEjectionEnds(t *testing.T) {
	f := newTestFleet(1)
	now := int64(1_000_000)
	for range 10 {
		f.Eject(now, "i-0", 400_000, true)
	}
	if _, ok := f.Pick(now+400_000, request("own")); ok {
		t.Fatal("ejection was not extended after repeated failures")
	}
	if _, ok := f.Pick(now+16*400_000, request("own")); !ok {
		t.Fatal("engine still ejected after the longest ejection")
	}
}

// TestLoadReturns checks that the counted load matches the attempts in flight through random
// attempts and fleet changes, and is zero after all attempts have ended.
func TestLoadReturns(t *testing.T) {
	for seed := int64(1); seed <= 100; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		f := newTestFleet(4)
		all := f.engines
		type inFlightAttempt struct {
			c       Choice
			started bool
		}
		var inFlight []inFlightAttempt
		now := int64(1_000_000)
		for step := 0; step < 400 || len(inFlight) > 0; step++ {
			now += rnd.Int63n(50_000)
			switch x := rnd.Intn(10); {
			case x < 4 && step < 400:
				if c, ok := f.Pick(now, request("a", fmt.Sprint("b", rnd.Intn(4)), "own")); ok {
					f.RequestSent(now, &c)
					inFlight = append(inFlight, inFlightAttempt{c: c})
				}
			case x < 6 && len(inFlight) > 0:
				if u := &inFlight[rnd.Intn(len(inFlight))]; !u.started {
					f.ResponseStarted(now, &u.c)
					u.started = true
				}
			case x < 9 && len(inFlight) > 0:
				i := rnd.Intn(len(inFlight))
				f.AttemptEnded(&inFlight[i].c, inFlight[i].started)
				inFlight = append(inFlight[:i], inFlight[i+1:]...)
			default:
				f.engines = nil
				for _, e := range all {
					if rnd.Intn(4) > 0 {
						f.engines = append(f.engines, e)
					}
				}
				f.updateFleet()
			}
			n := 0
			for _, l := range f.OwnLoads(now) {
				n += l.Requests
			}
			if n != len(inFlight) {
				t.Fatalf("seed %d: %d attempts in flight, %d counted", seed, len(inFlight), n)
			}
		}
		for id, s := range f.states {
			if s.own != (Load{}) {
				t.Fatalf("seed %d: %s still has load %+v", seed, id, s.own)
			}
		}
		if len(f.OwnLoads(now)) != 0 {
			t.Fatalf("seed %d: load %v reported without attempts", seed, f.OwnLoads(now))
		}
	}
}

// TestMisdirectedGoesWhereOneAnswered checks that after an address turned out to belong to
// another engine, the next attempt is sent to an engine with a recent load report, even if
// others have less load.
func TestMisdirectedGoesWhereOneAnswered(t *testing.T) {
	f := newTestFleet(6)
	now := int64(10_000_000)
	reported := f.engines[4].ID
	f.ReportLoad(now-500_000, reported, 4) // busy
	f.ReportLoad(now-recentReportUS, f.engines[5].ID, 0)
	r := request("a", "own")
	if c, ok := f.Pick(now, r); !ok || c.Engine.ID == reported {
		t.Fatalf("precondition failed, the engine is selected without Misdirected: %v, %+v", ok, c.Engine)
	}
	r.Misdirected = true
	if c, ok := f.Pick(now, r); !ok || c.Engine.ID != reported {
		t.Errorf("engine with the recent report not selected: %v, %+v", ok, c.Engine)
	}
	r.TriedEngines[reported] = true
	if c, ok := f.Pick(now, r); !ok || c.Engine.ID == reported {
		t.Errorf("no untried engine has a recent report, but no other one was selected: %v, %+v", ok, c.Engine)
	}
}
