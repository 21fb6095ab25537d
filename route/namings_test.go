package route

import (
	"math/rand/v2"
	"testing"
)

// namings makes one in an epoch, of one model.
func namings(epoch uint64, at map[uint64]int64) *Announcements {
	n := &Announcements{}
	n.StartTerm(epoch, 0)
	for version, t := range at {
		n.Observe("m", version, t)
	}
	return n
}

func TestNamingsTake(t *testing.T) {
	for _, c := range []struct {
		name       string
		mine, told *Announcements
		epoch      uint64
		want       map[uint64]int64
	}{
		{"who heard late", namings(3, map[uint64]int64{1: 100}), namings(3, map[uint64]int64{1: 900}), 3, map[uint64]int64{1: 100}},
		{"who heard earlier", namings(3, map[uint64]int64{1: 900}), namings(3, map[uint64]int64{1: 100}), 3, map[uint64]int64{1: 100}},
		{"of another version", namings(3, map[uint64]int64{1: 100}), namings(3, map[uint64]int64{2: 50}), 3, map[uint64]int64{1: 100, 2: 50}},
		{"of a later epoch", namings(3, map[uint64]int64{1: 100}), namings(4, map[uint64]int64{1: 500, 2: 600}), 4, map[uint64]int64{1: 500, 2: 600}},
		{"of a later epoch, unheard", namings(3, map[uint64]int64{2: 100}), namings(4, map[uint64]int64{1: 500}), 4, map[uint64]int64{1: 500, 2: 100}},
		{"of an earlier epoch", namings(4, map[uint64]int64{1: 500}), namings(3, map[uint64]int64{1: 100, 2: 200}), 4, map[uint64]int64{1: 500, 2: 200}},
		{"of nothing", namings(4, map[uint64]int64{1: 500}), &Announcements{}, 4, map[uint64]int64{1: 500}},
		{"into nothing", &Announcements{}, namings(4, map[uint64]int64{1: 500}), 4, map[uint64]int64{1: 500}},
	} {
		c.mine.Merge(c.told)
		if c.mine.Term() != c.epoch {
			t.Errorf("%s: epoch %d, not %d", c.name, c.mine.Term(), c.epoch)
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
	n.StartTerm(4, 500)
	n.StartTerm(4, 800) // the same hold, noticed again
	n.StartTerm(2, 950)
	for version, want := range map[uint64]int64{1: 500, 2: 900} {
		if at, ok := n.AnnouncedAt("m", version); !ok || at != want {
			t.Errorf("version %d counts from %d, not %d", version, at, want)
		}
	}
	if got := n.OldestAllowed(1_000, "m", 400); got != 1 {
		t.Errorf("%d is the oldest that may be begun", got)
	}
}

// Whoever a proxy asks, in whatever order, and whenever each of them heard: within an
// epoch no version's age falls, and none is kept for less than the earliest that was told.
func TestNamingsNeverGrowYounger(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		proxy := &Announcements{}
		for range 60 {
			told := &Announcements{}
			told.StartTerm(1+uint64(r.IntN(3)), 0)
			for version := uint64(1); version <= 5; version++ {
				if r.IntN(2) == 0 {
					told.Observe("m", version, r.Int64N(1_000))
				}
			}
			before := proxy.Clone()
			proxy.Merge(told)
			proxy.Each(func(model string, version uint64, at int64) {
				was, known := before.AnnouncedAt(model, version)
				if known && at > was && proxy.Term() == before.Term() {
					t.Fatalf("seed %d: version %d counted from %d, now from %d", seed, version, was, at)
				}
				if now, ok := told.AnnouncedAt(model, version); ok && told.Term() == proxy.Term() && at > now {
					t.Fatalf("seed %d: version %d was told from %d, counts from %d", seed, version, now, at)
				}
			})
		}
	}
}

func TestNamingsAreBounded(t *testing.T) {
	n := &Announcements{}
	for version := uint64(1); version <= 3*maxAnnouncedVersions; version++ {
		n.Observe("m", version, int64(version))
	}
	count := 0
	n.Each(func(string, uint64, int64) { count++ })
	if _, ok := n.AnnouncedAt("m", 3*maxAnnouncedVersions); count != maxAnnouncedVersions || !ok {
		t.Errorf("%d versions are kept, the newest %v", count, ok)
	}
}
