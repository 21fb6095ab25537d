package rollout

import (
	"maps"
	"slices"
	"strings"
)

// usableShare is the thousandths of Config.ApplyWithinUS that updates are paced for; the rest
// is for what takes longer than the average.
const usableShare = 780

// laggard is an engine that runs something older than the target.
type laggard struct {
	Engine
	model   string // that it lags behind in
	version uint64 // that it runs
}

// startUpdates starts as many updates as are due.
func (s *Scheduler) startUpdates(now int64, live map[string]Engine) (changed bool) {
	laggards := s.laggards(live)
	behind, all, updating := map[string]int{}, map[string]int{}, map[string]int{} // engines by pool
	for _, engine := range live {
		all[engine.Pool]++
	}
	clear(s.lagging)
	for _, late := range laggards {
		behind[late.Pool]++
		s.lagging[late.model] = true
	}
	for id, update := range s.State.Updates {
		if now-update.StartedAt < s.config.SlowAfterUS {
			updating[live[id].Pool]++
		}
	}
	for _, late := range laggards {
		_, underWay := s.State.Updates[late.ID]
		waits := s.formerRequests[late.ID] && now < s.formerLeaseUntil-s.config.DrainDurationUS
		if underWay || waits || updating[late.Pool] >= s.maxConcurrent(now, behind[late.Pool], all[late.Pool], late.model) {
			continue
		}
		s.State.Updates[late.ID] = Update{Model: late.model, Version: s.targets[late.model].version, Phase: PhaseDraining, StartedAt: now}
		updating[late.Pool]++
		changed = true
	}
	return changed
}

// laggards lists the engines that run something older: those of the oldest version first,
// since they are late by the oldest announcement, and among those of each zone in turn.
func (s *Scheduler) laggards(live map[string]Engine) (out []laggard) {
	byVersion := map[uint64]map[string][]laggard{} // then by zone
	for _, engine := range live {
		if engine.Draining {
			continue
		}
		late := s.worstLag(engine)
		if late == nil {
			continue
		}
		if byVersion[late.version] == nil {
			byVersion[late.version] = map[string][]laggard{}
		}
		byVersion[late.version][engine.Zone] = append(byVersion[late.version][engine.Zone], *late)
	}
	for _, version := range slices.Sorted(maps.Keys(byVersion)) {
		out = append(out, interleaveZones(byVersion[version])...)
	}
	return out
}

// worstLag is the model in which an engine lags behind most; nil if in none. Versions of
// several models can't be compared; what counts is how many announcements an engine lags
// behind, and the version stands for that well enough.
func (s *Scheduler) worstLag(engine Engine) *laggard {
	var late *laggard
	for model, reported := range engine.Weights {
		version := s.State.Version(engine.ID, model, reported)
		if version >= s.targets[model].version {
			continue
		}
		if late == nil || version < late.version || version == late.version && model < late.model {
			late = &laggard{engine, model, version}
		}
	}
	return late
}

// interleaveZones takes one engine of each zone after the other.
func interleaveZones(zones map[string][]laggard) (out []laggard) {
	count := 0
	for _, engines := range zones {
		slices.SortFunc(engines, func(a, b laggard) int { return strings.Compare(a.ID, b.ID) })
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

// maxConcurrent is how many updates of a pool must be under way so that all end in time:
// the time that is left, divided into updates of average duration, for the engines that
// are behind. Never so many that those left can't carry the load: whoever is late then
// gets no new requests, which is costly, but all updating at once costs more.
func (s *Scheduler) maxConcurrent(now int64, behind, all int, model string) int {
	most := (all*s.config.MaxConcurrentPermille + 999) / 1000
	left := s.config.ApplyWithinUS*usableShare/1000 - (now - s.targets[model].announcedAt)
	if left <= s.averageDuration {
		return most
	}
	needed := int((int64(behind)*s.averageDuration + left - 1) / left)
	return min(most, max(s.config.MinConcurrent, needed))
}
