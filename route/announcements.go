package route

import (
	"maps"
	"slices"
)

// MaxAnnouncedVersions is how many versions of a model are kept. Several are kept because an
// engine that lags behind several versions is late since the oldest of them was announced.
// Directories announce as many to proxies.
const MaxAnnouncedVersions = 8

// announcement holds since when a version is known to be announced, in monotonic microseconds.
type announcement struct {
	at    int64 // as counted in the current term
	first int64 // in any term; at is never earlier
}

// Announcements record since when versions of weights are known to be announced, in the local
// time of the node that keeps them (monotonic microseconds). A time that is too late would let
// requests start on outdated weights, so within a term the earliest observed time is kept.
//
// A term is one lease of the singleton role that leads the rollout of weights. While the role
// changes hands the core has no leader, so the limit per term restarts from there. The time at
// which a version was first announced in any term is kept as well, for the limit over all terms.
//
// The zero value holds no versions.
type Announcements struct {
	term   uint64
	models map[string]map[uint64]announcement // by model and version
}

// Term is the term in which the times count. It is the revision of the rollout role's register,
// and unrelated to the term of a consensus slot.
func (a *Announcements) Term() uint64 { return a.term }

// Clone returns a deep copy.
func (a *Announcements) Clone() *Announcements {
	clone := &Announcements{term: a.term, models: map[string]map[uint64]announcement{}}
	for model, versions := range a.models {
		clone.models[model] = maps.Clone(versions)
	}
	return clone
}

// Observe records that a version was announced no later than at. The earliest time is kept.
func (a *Announcements) Observe(model string, version uint64, at int64) {
	a.ObserveInTerm(model, version, at, at)
}

// ObserveInTerm records that a version counts from at in this term, and was first announced no
// later than first. The earliest times are kept.
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

// StartTerm starts a later term, in which no version counts from before since. A term that is
// not later is ignored.
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

// Merge adds what another node knows. The times of the later term take precedence; in the same
// term the earliest time is kept. The earlier term contributes only versions that the later one
// does not know, and earlier times of first announcement.
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

// AnnouncedAt returns since when a version counts as announced in this term, and whether it is
// known at all.
func (a *Announcements) AnnouncedAt(model string, version uint64) (at int64, ok bool) {
	known, ok := a.models[model][version]
	return known.at, ok
}

// Each calls visit for every version, sorted by model and version, with the time from which it
// counts in this term and the time at which it was first announced in any term.
func (a *Announcements) Each(visit func(model string, version uint64, at, first int64)) {
	for _, model := range slices.Sorted(maps.Keys(a.models)) {
		versions := a.models[model]
		for _, version := range slices.Sorted(maps.Keys(versions)) {
			visit(model, version, versions[version].at, versions[version].first)
		}
	}
}

// VersionLimits limit how long requests may still start on a version after a newer one was
// announced, in microseconds.
type VersionLimits struct {
	PerTermUS int64 // counted within a term
	TotalUS   int64 // counted over all terms; 0 for no such limit
}

// ReducedBy returns the limits, each shortened by slackUS.
func (l VersionLimits) ReducedBy(slackUS int64) VersionLimits {
	l.PerTermUS -= slackUS
	if l.TotalUS > 0 {
		l.TotalUS -= slackUS
	}
	return l
}

// Shortest returns the shorter of the two limits.
func (l VersionLimits) Shortest() int64 {
	if l.TotalUS == 0 {
		return l.PerTermUS
	}
	return min(l.PerTermUS, l.TotalUS)
}

// end is the time after which no request may start on an older version than the one announced.
func (l VersionLimits) end(known announcement) int64 {
	if l.TotalUS == 0 {
		return known.at + l.PerTermUS
	}
	return min(known.at+l.PerTermUS, known.first+l.TotalUS)
}

// OldestAllowed returns the oldest version of a model on which a request may still start at the
// time now: the newest version whose limits have passed, or 0 if there is none.
func (a *Announcements) OldestAllowed(now int64, model string, limits VersionLimits) (oldest uint64) {
	for version, known := range a.models[model] {
		if now > limits.end(known) {
			oldest = max(oldest, version)
		}
	}
	return oldest
}

// UsableUntil returns the time after which no request may start on a version because a newer
// one was announced, and whether there is such a time.
func (a *Announcements) UsableUntil(model string, version uint64, limits VersionLimits) (until int64, superseded bool) {
	for newer, known := range a.models[model] {
		if end := limits.end(known); newer > version && (!superseded || end < until) {
			until, superseded = end, true
		}
	}
	return until, superseded
}
