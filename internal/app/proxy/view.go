package proxy

import (
	"violetthread/internal/codec"
	"violetthread/route"
	"violetthread/schema/fb"
)

const (
	// staleRegisterUS is the age in microseconds of a node's register data beyond which the node
	// counts as cut off from the register's leader; another node is polled then.
	staleRegisterUS = 1_000_000
	// pendingMapWaitUS is how long a map whose list of engines is older than the one in use waits
	// for its node to read a newer list. After that it is used anyway: the platform may be down.
	pendingMapWaitUS = 3_000_000
	// unknownAgeUS is the age of a configuration that is not known.
	unknownAgeUS = 1 << 50
)

// view is the state of the fleet as the proxy knows it. It is immutable once published. Times are
// monotonic microseconds.
type view struct {
	table       *route.Table // nil until a configuration is known
	revision    uint64       // of the configuration register
	configAt    int64        // when the configuration was last known to be in force
	configKnown bool
	announced   *route.Announcements // of weights; nil until a node has reported them
	proxies     int                  // number in the fleet, including this one

	mapIncarnation uint64 // of the node whose map is in use
	listedAt       int64  // when the list of engines in that map was read from the platform
	pending        *pendingMap
}

// pendingMap is a fleet map that is not used yet, since its list of engines is older than the one
// in use.
type pendingMap struct {
	incarnation uint64 // of the node that sent it
	engines     []*fb.MapEngineT
	receivedAt  int64
}

// age returns for how long the configuration has not been confirmed to be in force, in
// microseconds.
func (v *view) age(now int64) int64 {
	if !v.configKnown {
		return unknownAgeUS
	}
	return now - v.configAt
}

// minVersion returns the oldest version of a model that an attempt may still start on. 0 means any.
func (v *view) minVersion(now int64, model string, limits route.VersionLimits) uint64 {
	if v.announced == nil {
		return 0
	}
	return v.announced.OldestAllowed(now, model, limits)
}

// usableUntil returns the time after which no attempt may start on a version of a model, and whether
// there is such a time.
func (v *view) usableUntil(model string, version uint64, limits route.VersionLimits) (until int64, superseded bool) {
	if v.announced == nil {
		return 0, false
	}
	return v.announced.UsableUntil(model, version, limits)
}

// merge applies the fleet state that a node reported; the node sent it no sooner than at. It
// returns the engines to use from now on, if they are to be replaced.
func (v *view) merge(state *fb.MapResponseT, at int64) (engines []*fb.MapEngineT, use bool) {
	// An isolated node no longer counts proxies that still exist. A lower count from such a node
	// is ignored, since it would raise each proxy's share of the retry allowance.
	if proxies := max(1, int(state.Proxies)); !isIsolated(state) || proxies > v.proxies {
		v.proxies = proxies
	}
	if state.FullMap {
		announced := &route.Announcements{}
		if v.announced != nil {
			announced = v.announced.Clone()
		}
		announced.Merge(codec.UnpackVersionAges(state, at))
		v.announced = announced
		v.pending = &pendingMap{state.Incarnation, state.Engines, at}
	}
	return v.mergeMap(state.Incarnation, at, state.ListAge)
}

// mergeConfig applies the configuration that a node reported, and returns whether it has changed.
// The revision never decreases within this proxy's incarnation, and an age counts only for the
// revision in use.
func (v *view) mergeConfig(state *fb.MapResponseT, at int64, parse func(value []byte, revision uint64) *route.Table) (changed bool) {
	if !state.Known || state.Revision < v.revision {
		return false
	}
	if state.Revision > v.revision && len(state.Config) > 0 {
		if table := parse(state.Config, state.Revision); table != nil {
			v.table, v.revision, changed = table, state.Revision, true
		}
	}
	if state.Revision == v.revision {
		v.configKnown, v.configAt = true, max(v.configAt, at-state.Age)
	}
	return changed
}

// mergeMap applies the age of the list of engines in a node's latest map, and returns that map's
// engines if they are to be used from now on: at once if the list is not older than the one in use,
// or if the map in use is from the same node; otherwise once the node has read a newer list from
// the platform, or after pendingMapWaitUS. A node that has just started and has not read a list yet
// knows no engines, so its map is not used.
func (v *view) mergeMap(incarnation uint64, at, listAge int64) (engines []*fb.MapEngineT, use bool) {
	if listAge >= codec.AgeNeverRead {
		return nil, false
	}
	listedAt := at - listAge
	same := incarnation == v.mapIncarnation
	if pending := v.pending; pending != nil && pending.incarnation == incarnation {
		use = same || listedAt >= v.listedAt || at-pending.receivedAt > pendingMapWaitUS
		if use {
			engines, v.pending, v.mapIncarnation, v.listedAt = pending.engines, nil, incarnation, listedAt
		}
		return engines, use
	}
	v.pending = nil // another node is polled now
	if same {
		v.listedAt = max(v.listedAt, listedAt)
	}
	return nil, false
}

// isIsolated reports whether a node is cut off from the leader of a register. A node that restarted
// while cut off knows no configuration at all.
func isIsolated(state *fb.MapResponseT) bool {
	return !state.Known || state.Age > staleRegisterUS || state.AnnouncedAge > staleRegisterUS
}
