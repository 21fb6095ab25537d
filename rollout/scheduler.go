package rollout

import "sort"

// retryRejectedAfter is how long after a rejected request it is sent again, in
// microseconds.
const retryRejectedAfter = 300_000

// Scheduler works out what the rollout leader has to do. It is not safe for concurrent
// use.
type Scheduler struct {
	// State is to be written to the control state when a step changed it.
	State State

	config  Config
	targets map[string]target // the newest version of each model
	lagging map[string]bool   // models that some engine lags behind in
	// averageDuration is what an update takes, from the request until the version runs.
	averageDuration int64
	notBefore       int64 // announcements count from here at the earliest
	// Engines that a former leader may have sent a request to get none before
	// formerLeaseUntil: two leaders' requests must not come within a lease of each other.
	formerRequests   map[string]bool
	formerLeaseUntil int64
}

// target is the version of a model that engines are to run.
type target struct {
	version     uint64
	announcedAt int64 // of the oldest version that some engine still lags behind
}

// New makes a scheduler that goes on from a state. Announcements count from notBefore at
// the earliest: the bound runs anew when the core was in disorder, as it was if another
// node led.
func New(config Config, now, notBefore int64, state State) *Scheduler {
	s := &Scheduler{
		State:            state,
		config:           config,
		targets:          map[string]target{},
		lagging:          map[string]bool{},
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
		// If a request is out, it was another's: none of ours may follow within the lease.
		update.StartedAt, update.RequestedAt = now, now
		s.State.Updates[id] = update
		s.formerRequests[id] = true
	}
	for id := range s.State.Applied {
		s.formerRequests[id] = true
	}
	return s
}

// Resume tells a new scheduler that its maker has led before under the very same lease,
// since startedAt, and when it last sent a request to each engine. What was requested in
// that time was its own, so that no other leader's lease is to be waited out anew; and a
// request that the state has but that was never sent goes out at once.
func (s *Scheduler) Resume(startedAt int64, sentAt map[string]int64) {
	s.formerLeaseUntil = startedAt + s.config.LeaseDurationUS
	for id, update := range s.State.Updates {
		if update.Phase == PhaseRequested {
			update.RequestedAt = sentAt[id]
			s.State.Updates[id] = update
		}
	}
}

// Announce takes in the newest version of a model, and since when it is known.
func (s *Scheduler) Announce(model string, version uint64, at int64) {
	current := s.targets[model]
	if current.version >= version {
		return
	}
	announcedAt := current.announcedAt
	// Announcements in quick succession start no clock anew: who lags behind an older one
	// is late by that (design §10).
	if !s.lagging[model] {
		announcedAt = max(at, s.notBefore)
	}
	s.targets[model] = target{version, announcedAt}
	s.lagging[model] = true
}

// UpdateRequest asks an engine to change its weights.
type UpdateRequest struct {
	Engine, Addr, Model string
	Version             uint64
}

// Step looks at the engines and returns the requests to send now, by engine, the engines
// to look at closely, and whether the state changed and must be written before any request
// goes out.
func (s *Scheduler) Step(now int64, engines []Engine) (requests []UpdateRequest, inspect []string, changed bool) {
	live := map[string]Engine{}
	for _, engine := range engines {
		live[engine.ID] = engine
	}
	finished := s.finishUpdates(now, live)
	forgotten := s.forgetGone(live)
	started := s.startUpdates(now, live)
	requests, inspect, requested := s.dueRequests(now, live)
	return requests, inspect, finished || forgotten || started || requested
}

// Observe takes in an engine's own word on what it runs, fresher than the list's.
func (s *Scheduler) Observe(id, model string, version uint64) {
	if version > s.State.Applied[id][model] {
		s.recordApplied(id, model, version)
	}
}

// Postpone takes in that an engine rejected its request for now; it is sent again after
// retryRejectedAfter.
func (s *Scheduler) Postpone(now int64, id string) {
	if update, ok := s.State.Updates[id]; ok && update.Phase == PhaseRequested {
		update.RequestedAt = now - s.config.RetryAfterUS + retryRejectedAfter
		s.State.Updates[id] = update
	}
}

// finishUpdates ends the updates of engines that are gone, or that run what they were to.
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

// forgetGone forgets what engines that are gone ran.
func (s *Scheduler) forgetGone(live map[string]Engine) (changed bool) {
	for id := range s.State.Applied {
		if _, ok := live[id]; !ok {
			delete(s.State.Applied, id)
			changed = true
		}
	}
	return changed
}

// dueRequests lists the requests that are due, and the engines whose request is out.
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
			// Nobody knows whether the last request arrived. This one names what is the newest now.
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

func (s *Scheduler) recordApplied(id, model string, version uint64) {
	applied := s.State.Applied[id]
	if applied == nil {
		applied = map[string]uint64{}
		s.State.Applied[id] = applied
	}
	applied[model] = max(applied[model], version)
}
