package route

import (
	"maps"
	"slices"
)

// namingsKept is how many versions of a model are kept: who lags behind an older naming
// is late by that one, whatever was named since.
const maxAnnouncedVersions = 8

// Namings holds since when versions of weights are known to be named, in the time of the
// node that keeps it. An age that is too small would let requests begin on weights that
// are out of date, so that within an epoch the earliest time that was heard stays.
//
// An epoch is a hold of the duty of weights. When the duty changes hands the core was
// unsettled, and the bound on weights counts anew from there.
type Announcements struct {
	term   uint64
	models map[string]map[uint64]int64
}

// Epoch is the epoch that the times count in.
func (a *Announcements) Term() uint64 { return a.term }

// Clone is a copy that shares nothing.
func (a *Announcements) Clone() *Announcements {
	c := &Announcements{term: a.term, models: map[string]map[uint64]int64{}}
	for model, versions := range a.models {
		c.models[model] = maps.Clone(versions)
	}
	return c
}

// Hear takes in that a version was named no later than at. The earliest time stays.
func (a *Announcements) Observe(model string, version uint64, at int64) {
	versions := a.models[model]
	if versions == nil {
		versions = map[uint64]int64{}
		if a.models == nil {
			a.models = map[string]map[uint64]int64{}
		}
		a.models[model] = versions
	}
	if known, ok := versions[version]; !ok || at < known {
		versions[version] = at
	}
	if len(versions) > maxAnnouncedVersions {
		delete(versions, slices.Min(slices.Collect(maps.Keys(versions))))
	}
}

// Begin starts a later epoch, which counts nothing from before since. An epoch that is
// not later changes nothing.
func (a *Announcements) StartTerm(term uint64, since int64) {
	if term <= a.term {
		return
	}
	a.term = term
	for _, versions := range a.models {
		for version, at := range versions {
			versions[version] = max(at, since)
		}
	}
}

// Take takes over what another node tells. Its times stand if its epoch is later. From
// an earlier epoch only versions are taken that were not known.
func (a *Announcements) Merge(other *Announcements) {
	switch {
	case other.term > a.term:
		a.term = other.term
		for model, versions := range other.models {
			for version := range versions {
				delete(a.models[model], version)
			}
		}
	case other.term < a.term:
		other = other.Clone()
		for model, versions := range a.models {
			for version := range versions {
				delete(other.models[model], version)
			}
		}
	}
	for model, versions := range other.models {
		for version, at := range versions {
			a.Observe(model, version, at)
		}
	}
}

// At is since when a version is known to be named, and whether it is.
func (a *Announcements) AnnouncedAt(model string, version uint64) (at int64, ok bool) {
	at, ok = a.models[model][version]
	return at, ok
}

// Each hands on every version, models by name and versions rising.
func (a *Announcements) Each(on func(model string, version uint64, at int64)) {
	for _, model := range slices.Sorted(maps.Keys(a.models)) {
		versions := a.models[model]
		for _, version := range slices.Sorted(maps.Keys(versions)) {
			on(model, version, versions[version])
		}
	}
}

// Oldest is the oldest version of a model that may still be begun at a time: the newest
// of those that were named for longer than within.
func (a *Announcements) OldestAllowed(now int64, model string, within int64) (oldest uint64) {
	for version, at := range a.models[model] {
		if now-at > within {
			oldest = max(oldest, version)
		}
	}
	return oldest
}
