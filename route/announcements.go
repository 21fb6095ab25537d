package route

import (
	"maps"
	"slices"
)

// MaxAnnouncedVersions is how many versions of a model are remembered: an engine that lags
// behind an older version is late by that one, whatever was announced since. Directories
// announce as many to proxies.
const MaxAnnouncedVersions = 8

// Announcements tell since when versions of weights are known to be announced, in the time of
// the node that keeps it (monotonic microseconds). An age that is too small would let requests
// begin on outdated weights, so that within a term the earliest time that was observed stays.
//
// A term is one lease of the singleton role that leads the rollout of weights. While the role
// changes hands the core has no leader, and the bound on weights counts anew from there.
//
// The zero value knows no versions.
type Announcements struct {
	term   uint64
	models map[string]map[uint64]int64 // announcement time by model and version
}

// Term is the term that the times count in. A term is here the revision of the rollout role's
// register, not a slot's term.
func (a *Announcements) Term() uint64 { return a.term }

// Clone is a copy that shares nothing.
func (a *Announcements) Clone() *Announcements {
	clone := &Announcements{term: a.term, models: map[string]map[uint64]int64{}}
	for model, versions := range a.models {
		clone.models[model] = maps.Clone(versions)
	}
	return clone
}

// Observe takes in that a version was announced no later than at. The earliest time stays.
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
	if len(versions) > MaxAnnouncedVersions {
		delete(versions, slices.Min(slices.Collect(maps.Keys(versions))))
	}
}

// StartTerm starts a later term, which counts nothing from before since. A term that is not
// later changes nothing.
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

// Merge takes over what another node knows. Its times replace those here if its term is later.
// From an earlier term only versions are taken that were not known.
func (a *Announcements) Merge(other *Announcements) {
	switch {
	case other.term > a.term:
		a.term = other.term
		a.forget(other)
	case other.term < a.term:
		other = other.Clone()
		other.forget(a)
	}
	for model, versions := range other.models {
		for version, at := range versions {
			a.Observe(model, version, at)
		}
	}
}

// forget drops the versions that other knows.
func (a *Announcements) forget(other *Announcements) {
	for model, versions := range other.models {
		for version := range versions {
			delete(a.models[model], version)
		}
	}
}

// AnnouncedAt is since when a version is known to be announced, and whether it is.
func (a *Announcements) AnnouncedAt(model string, version uint64) (at int64, ok bool) {
	at, ok = a.models[model][version]
	return at, ok
}

// SupersededAt is the earliest time at which a version newer than the given one was announced,
// and whether there is one. The bound on the given version counts from there.
func (a *Announcements) SupersededAt(model string, version uint64) (at int64, ok bool) {
	for newer, announcedAt := range a.models[model] {
		if newer > version && (!ok || announcedAt < at) {
			at, ok = announcedAt, true
		}
	}
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

// OldestAllowed is the oldest version of a model on which a request may still begin at the
// time now: the newest of those that were announced longer than within microseconds ago; 0 if
// there is none.
func (a *Announcements) OldestAllowed(now int64, model string, within int64) (oldest uint64) {
	for version, at := range a.models[model] {
		if now-at > within {
			oldest = max(oldest, version)
		}
	}
	return oldest
}
