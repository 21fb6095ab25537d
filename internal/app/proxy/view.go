package proxy

import (
	"violetthread/internal/codec"
	"violetthread/route"
	"violetthread/schema/fb"
)

const (
	// staleRegisterUS is the age in microseconds beyond which a node's knowledge shows that it
	// is cut off from the leader of a register; another one is asked then.
	staleRegisterUS = 1_000_000
	// pendingMapWaitUS is for how long a map whose list of engines is older than that of the
	// map in use waits for its node to read a newer list: the platform may be down.
	pendingMapWaitUS = 3_000_000
	// unknownAgeUS is the age of a configuration that is not known.
	unknownAgeUS = 1 << 50
)

// view is what the proxy knows of the fleet. It never changes once published. Times are
// monotonic microseconds.
type view struct {
	table       *route.Table // nil until a configuration is known
	revision    uint64       // of the configuration's register
	configAt    int64        // when the configuration was last known to be in force
	configKnown bool
	announced   *route.Announcements // of weights; nil until a node has said so
	proxies     int                  // of the fleet, this one included

	mapIncarnation uint64 // of the node whose map is in use
	listedAt       int64  // when the list of engines in that map was read off the platform
	pending        *pendingMap
}

// pendingMap is a map of the fleet that is not used yet, since the list of engines in it is
// older than the one in use.
type pendingMap struct {
	incarnation uint64 // of its node
	engines     []*fb.MapEngineT
	receivedAt  int64
}

// age is how long ago the configuration was known to be in force, in microseconds.
func (v *view) age(now int64) int64 {
	if !v.configKnown {
		return unknownAgeUS
	}
	return now - v.configAt
}

// minVersion is the oldest version of a model that an attempt may still begin on. 0 is any.
func (v *view) minVersion(now int64, model string, limits route.VersionLimits) uint64 {
	if v.announced == nil {
		return 0
	}
	return v.announced.OldestAllowed(now, model, limits)
}

// usableUntil is the time from which on nothing may begin on a version of a model, and whether
// there is one.
func (v *view) usableUntil(model string, version uint64, limits route.VersionLimits) (until int64, superseded bool) {
	if v.announced == nil {
		return 0, false
	}
	return v.announced.UsableUntil(model, version, limits)
}

// merge takes in the fleet's state as a node knows it, which left the node no sooner than at.
// It returns the map to be used from now on, if that is another one.
func (v *view) merge(state *fb.MapResponseT, at int64) (engines []*fb.MapEngineT, use bool) {
	// A node that is cut off has lost sight of other proxies, and does not know that they are
	// still there: what each may spend must not grow by that.
	if proxies := max(1, int(state.Proxies)); !outOfTouch(state) || proxies > v.proxies {
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

// mergeConfig takes in the configuration that a node knows, and returns whether it is another
// one. A revision never goes back within this proxy's incarnation; an age counts only for the
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

// mergeMap takes in how old the list of engines in a node's newest map is, and returns that
// map if it is to be used from now on: at once if its list is not older than that of the map
// in use, else once the node has read the platform's list again. A node that has just started
// and read no list knows of no engines.
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
	v.pending = nil // another node is asked now
	if same {
		v.listedAt = max(v.listedAt, listedAt)
	}
	return nil, false
}

// outOfTouch reports whether a node is cut off from the leader of a register. One that was
// restarted while it is cut off knows no configuration at all.
func outOfTouch(state *fb.MapResponseT) bool {
	return !state.Known || state.Age > staleRegisterUS || state.AnnouncedAge > staleRegisterUS
}
