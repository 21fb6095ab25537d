package rollout

import "sort"

// retryRejectedAfter is the time after which a rejected request is sent again, in microseconds.
const retryRejectedAfter = 300_000

// Scheduler decides the actions of the rollout leader. It is not safe for concurrent use.
type Scheduler struct {
	// State must be written to the control state whenever Step reports that it changed.
	State State

	config         Config
	targets        map[string]target // by model: the newest version
	outdatedModels map[string]bool   // models of which some engine runs an older version
	// averageDuration is the moving average of the duration of an update, in microseconds, from
	// the start of its draining until the engine runs the version.
	averageDuration int64
	notBefore       int64 // earliest time that announcements count from
	// Engines that a former leader may have sent a request to are sent none before
	// formerLeaseUntil: requests of two leaders must be at least one lease apart.
	formerRequests   map[string]bool
	formerLeaseUntil int64
}

// target is the version of a model that all engines are to run.
type target struct {
	version     uint64
	announcedAt int64 // when the oldest version that some engine does not run yet was announced
}

// New makes a scheduler that continues from a state. Announcements count from notBefore at the
// earliest: the bound on outdated weights restarts after a failure of the control plane, which
// a change of the leader implies.
func New(config Config, now, notBefore int64, state State) *Scheduler {
	s := &Scheduler{
		State:            state,
		config:           config,
		targets:          map[string]target{},
		outdatedModels:   map[string]bool{},
		averageDuration:  config.ExpectedDurationUS,
		notBefore:        notBefore,
		formerRequests:   map[string]bool{},
		formerLeaseUntil: now + config.LeaseDurationUS,
	}
	if s.State.Updates == nil {
		s.State.Updates = map[string]Update{}
	}
	if s.State.Applied == nil {
		s.State.Applied = map[string]map[string]uint64{}
	}
	for id, update := range s.State.Updates {
		// A former leader may have sent the request: send none before its lease has expired.
		update.StartedAt, update.RequestedAt = now, now
		s.State.Updates[id] = update
		s.formerRequests[id] = true
	}
	for id := range s.State.Applied {
		s.formerRequests[id] = true
	}
	return s
}

// Resume tells a new scheduler that its owner has been the leader under the same lease since
// startedAt, and when it last sent a request to each engine. Since those requests were its own,
// the wait for a former leader's lease counts from startedAt, and requests that are in the state
// but were never sent are sent without delay.
func (s *Scheduler) Resume(startedAt int64, sentAt map[string]int64) {
	s.formerLeaseUntil = startedAt + s.config.LeaseDurationUS
	for id, update := range s.State.Updates {
		if update.Phase == PhaseRequested {
			update.RequestedAt = sentAt[id]
			s.State.Updates[id] = update
		}
	}
}

// Announce records the newest version of a model and the time since when it is known. It
// ignores a version that is not newer.
func (s *Scheduler) Announce(model string, version uint64, at int64) {
	current := s.targets[model]
	if current.version >= version {
		return
	}
	announcedAt := current.announcedAt
	// While some engine runs an older version, a further announcement does not restart the
	// time limit: that engine is late by the older announcement (docs/design.md §10).
	if !s.outdatedModels[model] {
		announcedAt = max(at, s.notBefore)
	}
	s.targets[model] = target{version, announcedAt}
	s.outdatedModels[model] = true
}

// UpdateRequest is a request to an engine to load another version of a model's weights.
type UpdateRequest struct {
	Engine, Addr, Model string
	Version             uint64
}

// Step updates the state from the list of engines. It returns the requests to send now, sorted
// by engine; the engines to query for the version that they run, because their request was
// sent; and whether the state changed, in which case it must be written before any request is
// sent.
func (s *Scheduler) Step(now int64, engines []Engine) (requests []UpdateRequest, inspect []string, changed bool) {
	live := map[string]Engine{}
	for _, engine := range engines {
		live[engine.ID] = engine
	}
	finished := s.finishUpdates(now, live)
	removed := s.removeGone(live)
	started := s.startUpdates(now, live)
	requests, inspect, requested := s.dueRequests(now, live)
	return requests, inspect, finished || removed || started || requested
}

// Observe records the version that an engine itself reports, which is more recent than the list
// of engines.
func (s *Scheduler) Observe(id, model string, version uint64) {
	if version > s.State.Applied[id][model] {
		s.recordApplied(id, model, version)
	}
}

// Postpone records that an engine temporarily rejected its request, which is sent again after
// retryRejectedAfter.
func (s *Scheduler) Postpone(now int64, id string) {
	if update, ok := s.State.Updates[id]; ok && update.Phase == PhaseRequested {
		update.RequestedAt = now - s.config.RetryAfterUS + retryRejectedAfter
		s.State.Updates[id] = update
	}
}

// finishUpdates ends the updates of engines that are gone or run the requested version.
func (s *Scheduler) finishUpdates(now int64, live map[string]Engine) (changed bool) {
	for id, update := range s.State.Updates {
		engine, ok := live[id]
		switch {
		case !ok:
			delete(s.State.Updates, id)
			changed = true
		case s.State.Version(id, update.Model, engine.Weights[update.Model]) >= update.Version:
			s.recordApplied(id, update.Model, update.Version)
			if update.Phase == PhaseRequested {
				s.averageDuration += (now - update.StartedAt - s.averageDuration) / 4
			}
			delete(s.State.Updates, id)
			changed = true
		}
	}
	return changed
}

// removeGone removes the applied versions of engines that are gone.
func (s *Scheduler) removeGone(live map[string]Engine) (changed bool) {
	for id := range s.State.Applied {
		if _, ok := live[id]; !ok {
			delete(s.State.Applied, id)
			changed = true
		}
	}
	return changed
}

// dueRequests lists the requests that are due, and the engines whose request was sent.
func (s *Scheduler) dueRequests(now int64, live map[string]Engine) (requests []UpdateRequest, inspect []string, changed bool) {
	for id, update := range s.State.Updates {
		newest := s.targets[update.Model].version
		switch {
		case s.formerRequests[id] && now < s.formerLeaseUntil:
		case update.Phase == PhaseDraining && now-update.StartedAt >= s.config.DrainDurationUS:
			update.Phase, update.Version, update.RequestedAt = PhaseRequested, max(newest, update.Version), now
			s.State.Updates[id] = update
			changed = true
			requests = append(requests, UpdateRequest{id, live[id].Addr, update.Model, update.Version})
		case update.Phase == PhaseRequested && now-update.RequestedAt >= s.config.RetryAfterUS:
			// It is unknown whether the last request arrived. The repetition names the version
			// that is the newest now.
			changed = changed || newest > update.Version
			update.Version, update.RequestedAt = max(newest, update.Version), now
			s.State.Updates[id] = update
			requests = append(requests, UpdateRequest{id, live[id].Addr, update.Model, update.Version})
		}
		if update.Phase == PhaseRequested {
			inspect = append(inspect, id)
		}
	}
	sort.Slice(requests, func(i, j int) bool { return requests[i].Engine < requests[j].Engine })
	sort.Strings(inspect)
	return requests, inspect, changed
}

// recordApplied records that an engine runs at least a version.
func (s *Scheduler) recordApplied(id, model string, version uint64) {
	applied := s.State.Applied[id]
	if applied == nil {
		applied = map[string]uint64{}
		s.State.Applied[id] = applied
	}
	applied[model] = max(applied[model], version)
}
