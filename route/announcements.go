package route

import (
	"maps"
	"slices"
)

// MaxAnnouncedVersions is how many versions of a model are remembered: an engine that lags
// behind an older version is late by that one, whatever was announced since. Directories
// announce as many to proxies.
const MaxAnnouncedVersions = 8

// announcement is since when a version is known to be announced.
type announcement struct {
	at    int64 // as it counts in the present term
	first int64 // whatever the term; at is never earlier
}

// Announcements tell since when versions of weights are known to be announced, in the time of
// the node that keeps it (monotonic microseconds). An age that is too small would let requests
// begin on outdated weights, so that within a term the earliest time that was observed stays.
//
// A term is one lease of the singleton role that leads the rollout of weights. While the role
// changes hands the core has no leader, and the bound on weights counts anew from there. Since
// when a version is known at all is kept beside that: the bound on all terms together.
//
// The zero value knows no versions.
type Announcements struct {
	term   uint64
	models map[string]map[uint64]announcement // by model and version
}

// Term is the term that the times count in. A term is here the revision of the rollout role's
// register, not a slot's term.
func (a *Announcements) Term() uint64 { return a.term }

// Clone is a copy that shares nothing.
func (a *Announcements) Clone() *Announcements {
	clone := &Announcements{term: a.term, models: map[string]map[uint64]announcement{}}
	for model, versions := range a.models {
		clone.models[model] = maps.Clone(versions)
	}
	return clone
}

// Observe takes in that a version was announced no later than at. The earliest time stays.
func (a *Announcements) Observe(model string, version uint64, at int64) {
	a.ObserveInTerm(model, version, at, at)
}

// ObserveInTerm takes in that a version counts from at in this term, and was announced no later
// than first. The earliest times stay.
func (a *Announcements) ObserveInTerm(model string, version uint64, at, first int64) {
	versions := a.models[model]
	if versions == nil {
		versions = map[uint64]announcement{}
		if a.models == nil {
			a.models = map[string]map[uint64]announcement{}
		}
		a.models[model] = versions
	}
	first = min(first, at)
	if known, ok := versions[version]; ok {
		at, first = min(at, known.at), min(first, known.first)
	}
	versions[version] = announcement{at, first}
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
		for version, known := range versions {
			versions[version] = announcement{max(known.at, since), known.first}
		}
	}
}

// Merge takes over what another node knows. Its times replace those here if its term is later.
// From an earlier term only versions are taken that were not known, and since when others were
// known at all.
func (a *Announcements) Merge(other *Announcements) {
	earlier, later := other, a
	if other.term > a.term {
		earlier, later = a, other
	}
	merged := later.Clone()
	for model, versions := range earlier.models {
		for version, known := range versions {
			at := known.at
			if current, ok := merged.models[model][version]; ok && earlier.term < later.term {
				at = current.at
			}
			merged.ObserveInTerm(model, version, at, known.first)
		}
	}
	*a = *merged
}

// AnnouncedAt is since when a version is known to be announced, and whether it is.
func (a *Announcements) AnnouncedAt(model string, version uint64) (at int64, ok bool) {
	known, ok := a.models[model][version]
	return known.at, ok
}

// Each hands on every version, models by name and versions rising: from when it counts in this
// term, and since when it is known at all.
func (a *Announcements) Each(on func(model string, version uint64, at, first int64)) {
	for _, model := range slices.Sorted(maps.Keys(a.models)) {
		versions := a.models[model]
		for _, version := range slices.Sorted(maps.Keys(versions)) {
			on(model, version, versions[version].at, versions[version].first)
		}
	}
}

// VersionLimits bound for how long a request may still begin on a version after a newer one was
// announced, in microseconds.
type VersionLimits struct {
	PerTermUS int64 // within a term
	TotalUS   int64 // over all terms; 0 for none
}

// ReducedBy are the limits less a slack.
func (l VersionLimits) ReducedBy(slackUS int64) VersionLimits {
	l.PerTermUS -= slackUS
	if l.TotalUS > 0 {
		l.TotalUS -= slackUS
	}
	return l
}

// Shortest is the shorter of the limits.
func (l VersionLimits) Shortest() int64 {
	if l.TotalUS == 0 {
		return l.PerTermUS
	}
	return min(l.PerTermUS, l.TotalUS)
}

// end is the time from which on a request must not begin on anything older.
func (l VersionLimits) end(known announcement) int64 {
	if l.TotalUS == 0 {
		return known.at + l.PerTermUS
	}
	return min(known.at+l.PerTermUS, known.first+l.TotalUS)
}

// OldestAllowed is the oldest version of a model on which a request may still begin at the
// time now: the newest of those whose limits have passed; 0 if there is none.
func (a *Announcements) OldestAllowed(now int64, model string, limits VersionLimits) (oldest uint64) {
	for version, known := range a.models[model] {
		if now > limits.end(known) {
			oldest = max(oldest, version)
		}
	}
	return oldest
}

// UsableUntil is the time from which on no request may begin on a version, since a newer one was
// announced, and whether there is such a time.
func (a *Announcements) UsableUntil(model string, version uint64, limits VersionLimits) (until int64, superseded bool) {
	for newer, known := range a.models[model] {
		if end := limits.end(known); newer > version && (!superseded || end < until) {
			until, superseded = end, true
		}
	}
	return until, superseded
}
