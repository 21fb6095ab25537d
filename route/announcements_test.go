package route

import (
	"math/rand/v2"
	"testing"
)

// announced makes the Announcements of a term, with the times at which versions of model "m"
// were announced.
func announced(term uint64, at map[uint64]int64) *Announcements {
	a := &Announcements{}
	a.StartTerm(term, 0)
	for version, t := range at {
		a.Observe("m", version, t)
	}
	return a
}

func TestAnnouncementsMerge(t *testing.T) {
	for _, c := range []struct {
		name        string
		mine, other *Announcements
		term        uint64
		want        map[uint64]int64
	}{
		{"later time in the same term", announced(3, map[uint64]int64{1: 100}), announced(3, map[uint64]int64{1: 900}), 3, map[uint64]int64{1: 100}},
		{"earlier time in the same term", announced(3, map[uint64]int64{1: 900}), announced(3, map[uint64]int64{1: 100}), 3, map[uint64]int64{1: 100}},
		{"another version", announced(3, map[uint64]int64{1: 100}), announced(3, map[uint64]int64{2: 50}), 3, map[uint64]int64{1: 100, 2: 50}},
		{"later term", announced(3, map[uint64]int64{1: 100}), announced(4, map[uint64]int64{1: 500, 2: 600}), 4, map[uint64]int64{1: 500, 2: 600}},
		{"later term without one version", announced(3, map[uint64]int64{2: 100}), announced(4, map[uint64]int64{1: 500}), 4, map[uint64]int64{1: 500, 2: 100}},
		{"earlier term", announced(4, map[uint64]int64{1: 500}), announced(3, map[uint64]int64{1: 100, 2: 200}), 4, map[uint64]int64{1: 500, 2: 200}},
		{"merging an empty one", announced(4, map[uint64]int64{1: 500}), &Announcements{}, 4, map[uint64]int64{1: 500}},
		{"merging into an empty one", &Announcements{}, announced(4, map[uint64]int64{1: 500}), 4, map[uint64]int64{1: 500}},
	} {
		c.mine.Merge(c.other)
		if c.mine.Term() != c.term {
			t.Errorf("%s: got term %d, want %d", c.name, c.mine.Term(), c.term)
		}
		count := 0
		c.mine.Each(func(_ string, version uint64, at, _ int64) {
			count++
			if c.want[version] != at {
				t.Errorf("%s: version %d announced at %d, want %d", c.name, version, at, c.want[version])
			}
		})
		if count != len(c.want) {
			t.Errorf("%s: got %d versions, want %d", c.name, count, len(c.want))
		}
	}
}

func TestAnnouncementsStartTerm(t *testing.T) {
	a := announced(3, map[uint64]int64{1: 100, 2: 900})
	a.StartTerm(4, 500)
	a.StartTerm(4, 800) // the same lease, observed again
	a.StartTerm(2, 950)
	for version, want := range map[uint64]int64{1: 500, 2: 900} {
		if at, ok := a.AnnouncedAt("m", version); !ok || at != want {
			t.Errorf("version %d counts from %d, want %d", version, at, want)
		}
	}
	if got := a.OldestAllowed(1_000, "m", VersionLimits{PerTermUS: 400}); got != 1 {
		t.Errorf("oldest allowed version is %d, want 1", got)
	}
}

// TestAnnouncementsNeverGrowYounger: whichever nodes a proxy merges announcements from, in
// whatever order, within a term the time of a version never moves later, and it is never later
// than the earliest time merged; the time of first announcement never moves later at all.
func TestAnnouncementsNeverGrowYounger(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		proxy := &Announcements{}
		for range 60 {
			other := &Announcements{}
			other.StartTerm(1+uint64(r.IntN(3)), 0)
			for version := uint64(1); version <= 5; version++ {
				if r.IntN(2) == 0 {
					other.Observe("m", version, r.Int64N(1_000))
				}
			}
			before := proxy.Clone()
			proxy.Merge(other)
			proxy.Each(func(model string, version uint64, at, first int64) {
				previous, known := before.AnnouncedAt(model, version)
				if known && at > previous && proxy.Term() == before.Term() {
					t.Fatalf("seed %d: version %d counted from %d, now from %d", seed, version, previous, at)
				}
				if known && first > before.models[model][version].first {
					t.Fatalf("seed %d: version %d was first announced at %d, now at %d", seed, version, before.models[model][version].first, first)
				}
				if merged, ok := other.AnnouncedAt(model, version); ok && other.Term() == proxy.Term() && at > merged {
					t.Fatalf("seed %d: version %d was merged with time %d, counts from %d", seed, version, merged, at)
				}
			})
		}
	}
}

func TestAnnouncementsAreBounded(t *testing.T) {
	a := &Announcements{}
	for version := uint64(1); version <= 3*MaxAnnouncedVersions; version++ {
		a.Observe("m", version, int64(version))
	}
	count := 0
	a.Each(func(string, uint64, int64, int64) { count++ })
	if _, ok := a.AnnouncedAt("m", 3*MaxAnnouncedVersions); count != MaxAnnouncedVersions || !ok {
		t.Errorf("%d versions are kept, newest among them %v", count, ok)
	}
}

// TestUsableUntil: of all newer versions, the one whose limits end first counts, by the earlier
// of its two limits. The limit over all terms is not restarted by a new term.
func TestUsableUntil(t *testing.T) {
	const later = 5_000
	for _, c := range []struct {
		name   string
		limits VersionLimits
		want   map[uint64]int64 // by version; 0 if usable without limit
	}{
		{"limit per term only", VersionLimits{PerTermUS: 100}, map[uint64]int64{1: later + 100, 3: later + 100, 4: later + 100, 5: 0, 6: 0}},
		{"total limit ends later", VersionLimits{PerTermUS: 100, TotalUS: 9_000}, map[uint64]int64{1: later + 100, 5: 0}},
		{"total limit ends first", VersionLimits{PerTermUS: 100, TotalUS: 3_000}, map[uint64]int64{1: 3_400, 2: 3_400, 3: 3_900, 4: 3_900, 5: 0}},
		{"reduced by a slack", VersionLimits{PerTermUS: 100, TotalUS: 3_000}.ReducedBy(30), map[uint64]int64{1: 3_370}},
		{"limit per term only, reduced by a slack", VersionLimits{PerTermUS: 100}.ReducedBy(30), map[uint64]int64{1: later + 70}},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := announced(3, map[uint64]int64{2: 700, 3: 400, 5: 900})
			a.StartTerm(4, later)
			for version, want := range c.want {
				until, superseded := a.UsableUntil("m", version, c.limits)
				if until != want || superseded != (want > 0) {
					t.Errorf("version %d is usable until %d, superseded %v, want %d", version, until, superseded, want)
				}
				if want > 0 && (a.OldestAllowed(want, "m", c.limits) > version || a.OldestAllowed(want+1, "m", c.limits) <= version) {
					t.Errorf("version %d: OldestAllowed disagrees with UsableUntil, which is %d", version, want)
				}
			}
			if _, superseded := a.UsableUntil("other", 1, c.limits); superseded {
				t.Error("a model without announcements is superseded")
			}
		})
	}
}

// TestShortest: a total limit of 0 means that there is none.
func TestShortest(t *testing.T) {
	for limits, want := range map[VersionLimits]int64{{PerTermUS: 5}: 5, {PerTermUS: 5, TotalUS: 9}: 5, {PerTermUS: 5, TotalUS: 3}: 3} {
		if got := limits.Shortest(); got != want {
			t.Errorf("%+v: got %d", limits, got)
		}
	}
}
