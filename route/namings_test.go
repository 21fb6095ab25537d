package route

import (
	"math/rand/v2"
	"testing"
)

// namings makes one in an epoch, of one model.
func namings(epoch uint64, at map[uint64]int64) *Namings {
	n := &Namings{}
	n.Begin(epoch, 0)
	for version, t := range at {
		n.Hear("m", version, t)
	}
	return n
}

func TestNamingsTake(t *testing.T) {
	for _, c := range []struct {
		name       string
		mine, told *Namings
		epoch      uint64
		want       map[uint64]int64
	}{
		{"who heard late", namings(3, map[uint64]int64{1: 100}), namings(3, map[uint64]int64{1: 900}), 3, map[uint64]int64{1: 100}},
		{"who heard earlier", namings(3, map[uint64]int64{1: 900}), namings(3, map[uint64]int64{1: 100}), 3, map[uint64]int64{1: 100}},
		{"of another version", namings(3, map[uint64]int64{1: 100}), namings(3, map[uint64]int64{2: 50}), 3, map[uint64]int64{1: 100, 2: 50}},
		{"of a later epoch", namings(3, map[uint64]int64{1: 100}), namings(4, map[uint64]int64{1: 500, 2: 600}), 4, map[uint64]int64{1: 500, 2: 600}},
		{"of a later epoch, unheard", namings(3, map[uint64]int64{2: 100}), namings(4, map[uint64]int64{1: 500}), 4, map[uint64]int64{1: 500, 2: 100}},
		{"of an earlier epoch", namings(4, map[uint64]int64{1: 500}), namings(3, map[uint64]int64{1: 100, 2: 200}), 4, map[uint64]int64{1: 500, 2: 200}},
		{"of nothing", namings(4, map[uint64]int64{1: 500}), &Namings{}, 4, map[uint64]int64{1: 500}},
		{"into nothing", &Namings{}, namings(4, map[uint64]int64{1: 500}), 4, map[uint64]int64{1: 500}},
	} {
		c.mine.Take(c.told)
		if c.mine.Epoch() != c.epoch {
			t.Errorf("%s: epoch %d, not %d", c.name, c.mine.Epoch(), c.epoch)
		}
		count := 0
		c.mine.Each(func(_ string, version uint64, at int64) {
			count++
			if c.want[version] != at {
				t.Errorf("%s: version %d since %d, not %d", c.name, version, at, c.want[version])
			}
		})
		if count != len(c.want) {
			t.Errorf("%s: %d versions, not %d", c.name, count, len(c.want))
		}
	}
}

func TestNamingsBegin(t *testing.T) {
	n := namings(3, map[uint64]int64{1: 100, 2: 900})
	n.Begin(4, 500)
	n.Begin(4, 800) // the same hold, noticed again
	n.Begin(2, 950)
	for version, want := range map[uint64]int64{1: 500, 2: 900} {
		if at, ok := n.At("m", version); !ok || at != want {
			t.Errorf("version %d counts from %d, not %d", version, at, want)
		}
	}
	if got := n.Oldest(1_000, "m", 400); got != 1 {
		t.Errorf("%d is the oldest that may be begun", got)
	}
}

// Whoever a proxy asks, in whatever order, and whenever each of them heard: within an
// epoch no version's age falls, and none is kept for less than the earliest that was told.
func TestNamingsNeverGrowYounger(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		proxy := &Namings{}
		for range 60 {
			told := &Namings{}
			told.Begin(1+uint64(r.IntN(3)), 0)
			for version := uint64(1); version <= 5; version++ {
				if r.IntN(2) == 0 {
					told.Hear("m", version, r.Int64N(1_000))
				}
			}
			before := proxy.Clone()
			proxy.Take(told)
			proxy.Each(func(model string, version uint64, at int64) {
				was, known := before.At(model, version)
				if known && at > was && proxy.Epoch() == before.Epoch() {
					t.Fatalf("seed %d: version %d counted from %d, now from %d", seed, version, was, at)
				}
				if now, ok := told.At(model, version); ok && told.Epoch() == proxy.Epoch() && at > now {
					t.Fatalf("seed %d: version %d was told from %d, counts from %d", seed, version, now, at)
				}
			})
		}
	}
}

func TestNamingsAreBounded(t *testing.T) {
	n := &Namings{}
	for version := uint64(1); version <= 3*namingsKept; version++ {
		n.Hear("m", version, int64(version))
	}
	count := 0
	n.Each(func(string, uint64, int64) { count++ })
	if _, ok := n.At("m", 3*namingsKept); count != namingsKept || !ok {
		t.Errorf("%d versions are kept, the newest %v", count, ok)
	}
}
