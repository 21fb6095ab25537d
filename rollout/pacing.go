package rollout

import (
	"maps"
	"slices"
	"strings"
)

// usablePermille is the part of Config.ApplyWithinUS within which updates are planned to finish,
// in thousandths; the rest is a reserve for updates that take longer than the average.
const usablePermille = 780

// outdatedEngine is an engine that runs an older version than the target.
type outdatedEngine struct {
	Engine
	model   string // the model whose version is outdated
	version uint64 // the version that it runs
}

// startUpdates starts as many updates as maxConcurrent allows.
func (s *Scheduler) startUpdates(now int64, live map[string]Engine) (changed bool) {
	outdated := s.outdatedEngines(live)
	behind, all, updating := map[string]int{}, map[string]int{}, map[string]int{} // engines by pool
	for _, engine := range live {
		all[engine.Pool]++
	}
	clear(s.outdatedModels)
	for _, engine := range outdated {
		behind[engine.Pool]++
		s.outdatedModels[engine.model] = true
	}
	for id, update := range s.State.Updates {
		if now-update.StartedAt < s.config.SlowAfterUS {
			updating[live[id].Pool]++
		}
	}
	for _, engine := range outdated {
		_, inProgress := s.State.Updates[engine.ID]
		waits := s.formerRequests[engine.ID] && now < s.formerLeaseUntil-s.config.DrainDurationUS
		if inProgress || waits || updating[engine.Pool] >= s.maxConcurrent(now, behind[engine.Pool], all[engine.Pool], engine.model) {
			continue
		}
		s.State.Updates[engine.ID] = Update{Model: engine.model, Version: s.targets[engine.model].version, Phase: PhaseDraining, StartedAt: now}
		updating[engine.Pool]++
		changed = true
	}
	return changed
}

// outdatedEngines lists the engines that run an older version than the target. Those with the
// oldest version come first, because their deadline counts from the oldest announcement; those
// with the same version alternate between zones.
func (s *Scheduler) outdatedEngines(live map[string]Engine) (out []outdatedEngine) {
	byVersion := map[uint64]map[string][]outdatedEngine{} // then by zone
	for _, engine := range live {
		if engine.Draining {
			continue
		}
		outdated := s.mostOutdatedModel(engine)
		if outdated == nil {
			continue
		}
		if byVersion[outdated.version] == nil {
			byVersion[outdated.version] = map[string][]outdatedEngine{}
		}
		byVersion[outdated.version][engine.Zone] = append(byVersion[outdated.version][engine.Zone], *outdated)
	}
	for _, version := range slices.Sorted(maps.Keys(byVersion)) {
		out = append(out, interleaveZones(byVersion[version])...)
	}
	return out
}

// mostOutdatedModel returns the model of which an engine runs the lowest outdated version; nil
// if none is outdated. Versions of different models are not comparable: what matters is how many
// announcements the engine is behind, and the version number is a good enough estimate of that.
func (s *Scheduler) mostOutdatedModel(engine Engine) *outdatedEngine {
	var oldest *outdatedEngine
	for model, reported := range engine.Weights {
		version := s.State.Version(engine.ID, model, reported)
		if version >= s.targets[model].version {
			continue
		}
		if oldest == nil || version < oldest.version || version == oldest.version && model < oldest.model {
			oldest = &outdatedEngine{engine, model, version}
		}
	}
	return oldest
}

// interleaveZones orders engines so that they alternate between zones.
func interleaveZones(zones map[string][]outdatedEngine) (out []outdatedEngine) {
	count := 0
	for _, engines := range zones {
		slices.SortFunc(engines, func(a, b outdatedEngine) int { return strings.Compare(a.ID, b.ID) })
		count += len(engines)
	}
	names := slices.Sorted(maps.Keys(zones))
	for i := 0; len(out) < count; i++ {
		for _, name := range names {
			if i < len(zones[name]) {
				out = append(out, zones[name][i])
			}
		}
	}
	return out
}

// maxConcurrent returns how many updates of a pool must run concurrently so that all finish in
// time: the number of outdated engines times the average duration of an update, divided by the
// remaining time. It never exceeds MaxConcurrentPermille, so that the other engines can carry
// the load. An engine that is late because of this limit gets no new requests; that is costly,
// but updating all engines at once would cost more.
func (s *Scheduler) maxConcurrent(now int64, behind, all int, model string) int {
	limit := (all*s.config.MaxConcurrentPermille + 999) / 1000
	left := s.config.ApplyWithinUS*usablePermille/1000 - (now - s.targets[model].announcedAt)
	if left <= s.averageDuration {
		return limit
	}
	needed := int((int64(behind)*s.averageDuration + left - 1) / left)
	return min(limit, max(s.config.MinConcurrent, needed))
}
