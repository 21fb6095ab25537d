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

type fix struct {
	*Picker
	h  *cacheindex.HolderTable
	es []*Engine
	ss []Store
}

func fixture(n int) *fix {
	f := &fix{h: cacheindex.NewHolderTable(1 << 12)}
	f.Picker = New("north", f.h)
	f.HintsComplete = true
	for i := range n {
		f.es = append(f.es, &Engine{ID: fmt.Sprint("i-", i), Pool: "p", Addr: fmt.Sprintf("10.0.0.%d:80", i), Zone: []string{"north", "south"}[i%2], Slots: 8,
			CacheTokens: 100_000, Weights: map[string]uint64{model: 1}})
	}
	f.ss = []Store{{Addr: "10.9.9.9:80", Zone: "north"}}
	f.remap()
	return f
}

func (f *fix) remap() { f.SetFleet(f.es, f.ss) }

func (f *fix) keeps(node uint64, wall string, v uint64, ids ...string) {
	for _, id := range ids {
		f.h.Put(cacheindex.BlockKey(CacheSalt(wall, v), model, id), node)
	}
}

func ask(parts ...string) *Request {
	r := &Request{Pool: "p", Model: model, CacheScope: "c1", TriedEngines: map[string]bool{}, MaxOutputTokens: 50}
	for _, x := range parts {
		r.Blocks = append(r.Blocks, Block{x, 1000})
		r.PromptTokens += 1000
	}
	return r
}

// TestNeverPicked: an engine that drains, was tried, rests, is of another pool or runs
// something too old gets nothing, whatever it keeps; none at all is no choice.
func TestNeverPicked(t *testing.T) {
	for seed := int64(1); seed <= 300; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		f := fixture(1 + rnd.Intn(8))
		now := int64(10_000_000)
		r := ask("a", "b", "own")
		r.MinVersion = uint64(rnd.Intn(3))
		left, calm := 0, 0
		ok := map[string]bool{}
		for _, e := range f.es {
			e.Draining, e.UpdatingWeights, e.Unhealthy = rnd.Intn(5) == 0, rnd.Intn(3) == 0, rnd.Intn(5) == 0
			e.Weights[model] = uint64(1 + rnd.Intn(3))
			if rnd.Intn(6) == 0 {
				e.Pool = "q"
			}
			if rnd.Intn(4) == 0 {
				r.TriedEngines[e.ID] = true
			}
		}
		f.remap()
		for _, e := range f.es {
			for v := uint64(1); v <= 3; v++ {
				if rnd.Intn(2) == 0 {
					f.keeps(EngineHolderID(e.ID), r.CacheScope, v, "a", "b")
				}
			}
			rests := rnd.Intn(4) == 0
			if rests {
				f.Eject(now, e.ID, 100_000, rnd.Intn(2) == 0)
			} else if rnd.Intn(4) == 0 {
				f.Eject(now-2_000_000, e.ID, 100_000, false) // over by now
			}
			if !e.Draining && !rests && !r.TriedEngines[e.ID] && e.Pool == "p" && e.Weights[model] >= r.MinVersion {
				ok[e.ID] = true
				left++
				if !e.UpdatingWeights {
					calm++
				}
			}
		}
		c, got := f.Pick(now, r)
		switch {
		case got != (left > 0):
			t.Fatalf("seed %d: a choice: %v, engines that may be used: %d", seed, got, left)
		case got && !ok[c.Engine.ID]:
			t.Fatalf("seed %d: %+v was chosen", seed, c.Engine)
		case got && c.Engine.UpdatingWeights && calm > 0:
			t.Fatalf("seed %d: %s is about to turn, %d are not", seed, c.Engine.ID, calm)
		case got && (c.Version != c.Engine.Weights[model] || c.Salt != CacheSalt(r.CacheScope, c.Version)):
			t.Fatalf("seed %d: %+v at %+v", seed, c, c.Engine)
		}
		if got {
			for i, k := range BlockKeys(r, c.Salt) {
				if k != c.BlockKeys[i] {
					t.Fatalf("seed %d: key %d is of another salt", seed, i)
				}
			}
			if c.Source == c.Engine.Addr || c.Destination == c.Engine.Addr {
				t.Fatalf("seed %d: %s is told to move to itself", seed, c.Engine.ID)
			}
		}
	}
}

// TestSourceJoins: what a source keeps counts together with what the engine keeps, behind
// the gap as well.
func TestSourceJoins(t *testing.T) {
	f := fixture(2)
	own, other := f.es[0], f.es[1]
	other.Draining = true // so that it can only be a source
	f.remap()
	f.keeps(EngineHolderID(own.ID), "c1", 1, "a", "c")
	f.keeps(EngineHolderID(other.ID), "c1", 1, "b")
	f.ss = nil
	f.remap()
	c, ok := f.Pick(1, ask("a", "b", "c", "own"))
	if !ok || c.Engine != own || c.Source != other.Addr || c.CachedTokens != 2000 || c.TransferTokens != 1000 || c.PrefillTokens != 1000 {
		t.Fatalf("%v %+v", ok, c)
	}
	// Without it the engine reads from the gap on.
	other.Unhealthy = true
	if c, _ = f.Pick(1, ask("a", "b", "c", "own")); c.Source != "" || c.CachedTokens != 1000 || c.TransferTokens != 0 || c.PrefillTokens != 3000 {
		t.Fatalf("a dead source is named or counted: %+v", c)
	}
}

// TestSourceOfAnotherWall: neither another tenant's parts nor those of other weights count.
func TestSourceOfAnotherWall(t *testing.T) {
	f := fixture(2)
	f.ss = nil
	f.es[1].Draining = true
	f.remap()
	f.keeps(EngineHolderID(f.es[1].ID), "w2", 1, "a", "b")
	f.keeps(EngineHolderID(f.es[1].ID), "c1", 2, "a", "b")
	f.keeps(EngineHolderID(f.es[0].ID), "w2", 1, "a", "b")
	if c, _ := f.Pick(1, ask("a", "b", "own")); c.Source != "" || c.CachedTokens+c.TransferTokens != 0 || c.PrefillTokens != 3000 {
		t.Fatalf("%+v", c)
	}
}

// TestStore names the store as source and as destination only where it should be.
func TestStore(t *testing.T) {
	store := "10.9.9.9:80"
	type c struct {
		name         string
		set          func(f *fix)
		parts        []string
		source, dest string
	}
	at := func(f *fix, ids ...string) { f.keeps(EngineHolderID("i-0"), "c1", 1, ids...) }
	in := func(f *fix, ids ...string) { f.keeps(StoreHolderID(store), "c1", 1, ids...) }
	for _, x := range []c{
		{"nobody keeps it", func(*fix) {}, []string{"a", "b", "own"}, store, store},
		{"not complete", func(f *fix) { f.HintsComplete = false }, []string{"a", "b", "own"}, store, ""},
		{"store down", func(f *fix) { f.ss[0].Unhealthy = true }, []string{"a", "b", "own"}, "", ""},
		{"store down that has it", func(f *fix) { f.ss[0].Unhealthy = true; in(f, "a", "b") }, []string{"a", "b", "own"}, "", ""},
		{"no store", func(f *fix) { f.ss = nil }, []string{"a", "b", "own"}, "", ""},
		{"the store has all that is shared", func(f *fix) { in(f, "a", "b") }, []string{"a", "b", "own"}, store, ""},
		{"the store has the first", func(f *fix) { in(f, "a") }, []string{"a", "b", "own"}, store, store},
		{"the engine has all that is shared", func(f *fix) { at(f, "a", "b") }, []string{"a", "b", "own"}, store, ""},
		{"the engine has the first, the store the second", func(f *fix) { at(f, "a"); in(f, "b") }, []string{"a", "b", "own"}, store, ""},
		{"nothing is shared", func(*fix) {}, []string{"own"}, "", ""},
		{"the store has it under other weights", func(f *fix) { f.keeps(StoreHolderID(store), "c1", 2, "a", "b") }, []string{"a", "b", "own"}, store, store},
		{"the store has it of another wall", func(f *fix) { f.keeps(StoreHolderID(store), "w2", 1, "a", "b") }, []string{"a", "b", "own"}, store, store},
	} {
		f := fixture(1)
		x.set(f)
		f.remap()
		g, ok := f.Pick(1, ask(x.parts...))
		if !ok || g.Source != x.source || g.Destination != x.dest {
			t.Errorf("%s: source %q, not %q; destination %q, not %q", x.name, g.Source, x.source, g.Destination, x.dest)
		}
	}
}

// TestSalts: a salt stands for one wall and one version.
func TestSalts(t *testing.T) {
	tab := route.Compile(route.Config{Tenants: []route.Tenant{{Name: "a", Isolated: true}, {Name: "b", Isolated: true}, {Name: "c"}, {Name: "d"}}}, 1)
	seen := map[string]string{}
	for _, n := range []string{"a", "b", "c"} {
		for _, v := range []uint64{0, 1, 2, 10, 11, 12, 1 << 60} {
			s, who := CacheSalt(tab.CacheScope(n), v), fmt.Sprint(n, "/", v)
			if o, ok := seen[s]; ok {
				t.Errorf("%s and %s share %s", o, who, s)
			}
			seen[s] = who
			if !strings.HasSuffix(s, fmt.Sprint(v)) {
				t.Errorf("%s stands for version %d", s, v)
			}
		}
	}
	if CacheSalt(tab.CacheScope("c"), 1) != CacheSalt(tab.CacheScope("d"), 1) {
		t.Error("tenants that share everything have two salts")
	}
}

// TestRestEnds: an engine comes back into use, and a success ends the doubling.
func TestRestEnds(t *testing.T) {
	f := fixture(1)
	now := int64(1_000_000)
	for range 10 {
		f.Eject(now, "i-0", 400_000, true)
	}
	if _, ok := f.Pick(now+400_000, ask("own")); ok {
		t.Fatal("a rest that doubles did not")
	}
	if _, ok := f.Pick(now+16*400_000, ask("own")); !ok {
		t.Fatal("an engine that failed is out of use for good")
	}
}

// TestLoadReturns: whatever happens to attempts and to the map, once all have ended
// nothing is left under way.
func TestLoadReturns(t *testing.T) {
	for seed := int64(1); seed <= 100; seed++ {
		rnd := rand.New(rand.NewSource(seed))
		f := fixture(4)
		all := f.es
		type on struct {
			c     Choice
			began bool
		}
		var under []on
		now := int64(1_000_000)
		for step := 0; step < 400 || len(under) > 0; step++ {
			now += rnd.Int63n(50_000)
			switch x := rnd.Intn(10); {
			case x < 4 && step < 400:
				if c, ok := f.Pick(now, ask("a", fmt.Sprint("b", rnd.Intn(4)), "own")); ok {
					f.RequestSent(&c)
					under = append(under, on{c: c})
				}
			case x < 6 && len(under) > 0:
				if u := &under[rnd.Intn(len(under))]; !u.began {
					f.ResponseStarted(&u.c)
					u.began = true
				}
			case x < 9 && len(under) > 0:
				i := rnd.Intn(len(under))
				f.AttemptEnded(&under[i].c, under[i].began)
				under = append(under[:i], under[i+1:]...)
			default:
				f.es = nil
				for _, e := range all {
					if rnd.Intn(4) > 0 {
						f.es = append(f.es, e)
					}
				}
				f.remap()
			}
			n := 0
			for _, l := range f.OwnLoads() {
				n += l.Requests
			}
			if n != len(under) {
				t.Fatalf("seed %d: %d are under way, %d are counted", seed, len(under), n)
			}
		}
		for id, s := range f.states {
			if s.own != (Load{}) {
				t.Fatalf("seed %d: %s is left with %+v", seed, id, s.own)
			}
		}
		if len(f.OwnLoads()) != 0 {
			t.Fatalf("seed %d: %v is told", seed, f.OwnLoads())
		}
	}
}

// TestMisdirectedGoesWhereOneAnswered: once an address turned out to be another engine's,
// the next attempt goes to an engine that answered lately, however idle others look.
func TestMisdirectedGoesWhereOneAnswered(t *testing.T) {
	f := fixture(6)
	now := int64(10_000_000)
	heard := f.es[4].ID
	f.ReportLoad(now-500_000, heard, 8, 4, 8) // busy
	f.ReportLoad(now-reportedLatelyUS, f.es[5].ID, 0, 0, 8)
	r := ask("a", "own")
	if c, ok := f.Pick(now, r); !ok || c.Engine.ID == heard {
		t.Fatalf("the case shows nothing: %v, %+v", ok, c.Engine)
	}
	r.Misdirected = true
	if c, ok := f.Pick(now, r); !ok || c.Engine.ID != heard {
		t.Errorf("%v, %+v", ok, c.Engine)
	}
	r.TriedEngines[heard] = true
	if c, ok := f.Pick(now, r); !ok || c.Engine.ID == heard {
		t.Errorf("no engine has answered lately, and any other will do: %v, %+v", ok, c.Engine)
	}
}
