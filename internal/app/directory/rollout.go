package directory

import (
	"context"
	"maps"
	"slices"

	"violetthread/internal/clock"
	"violetthread/quorum"
	"violetthread/rollout"
	"violetthread/schema/fb"
)

// RolloutKey is the register that holds the state of the rollout, such as which engines are
// changing their weights.
const RolloutKey = "route/rollout"

// Microseconds.
const (
	// inspectInterval is the minimum time between two inspections of an engine that is changing
	// its weights. Each costs a request on the engine.
	inspectInterval = 300_000
	inspectTimeout  = 500_000
)

// runRollout renews the rollout's lease and takes the next steps of the rollout.
func (d *Directory) runRollout(ctx context.Context) {
	role := d.role
	role.mu.Lock()
	defer role.mu.Unlock()
	if role.leaving {
		return
	}
	now := clock.Now()
	if !d.renewLease(ctx, now) {
		role.scheduler = nil
		return
	}
	now = clock.Now()
	lease := *role.lease.Load() // requests are sent only under the lease that they were decided under
	if now >= lease.ExpiresAt {
		return
	}
	if role.scheduler == nil && !d.newScheduler(ctx, now) {
		return
	}
	if !d.listKnown() {
		return // without the list all engines would seem gone, and earlier requests would be dropped from the state
	}
	d.stepRollout(ctx, now, lease)
}

// stepRollout executes one step of the scheduler: it writes the state, then sends the requests.
func (d *Directory) stepRollout(ctx context.Context, now int64, lease rollout.Lease) {
	role := d.role
	engines := d.engineStates()
	requests, inspect, changed := role.scheduler.Step(now, slices.Collect(maps.Values(engines)))
	d.reportOverdue(now, engines)
	if changed && !d.saveState(ctx, role) {
		return
	}
	for _, request := range requests {
		role.sentAt[request.Engine] = now
	}
	d.sendUpdates(requests, lease.FencingToken)
	for _, id := range inspect {
		if now-role.inspectedAt[id] >= inspectInterval {
			role.inspectedAt[id] = now
			d.group.Go("directory.inspect", func(ctx context.Context) { d.inspect(ctx, engines[id]) })
		}
	}
}

// newScheduler creates a scheduler that continues from the state that the last leader saved.
func (d *Directory) newScheduler(ctx context.Context, now int64) bool {
	response := d.control.ExecuteOnce(ctx, &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: RolloutKey})
	if quorum.Status(response.Status) != quorum.StatusDone {
		return false
	}
	state, err := rollout.UnmarshalState(response.Value)
	if err != nil {
		d.logStateUnreadable(err)
	}
	config := rollout.DefaultConfig(d.settings.Bounds.VersionApplyUS, d.settings.Bounds.LeaseUS)
	role := d.role
	role.scheduler, role.stateRevision = rollout.New(config, now, role.announcedNotBefore, state), response.Revision
	if role.startedAt == 0 {
		role.startedAt = now
	} else {
		role.scheduler.Resume(role.startedAt, role.sentAt)
	}
	return true
}

// engineStates announces the newest versions to the scheduler and returns the state of each engine
// for it, by id.
func (d *Directory) engineStates() map[string]rollout.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, version := range d.newestVersions {
		at, _ := d.announcements.AnnouncedAt(model, version)
		d.role.scheduler.Announce(model, version, at)
	}
	engines := map[string]rollout.Engine{}
	for _, engine := range d.listedEngines {
		engines[engine.ID] = rollout.Engine{
			ID:       engine.ID,
			Addr:     engine.Addr,
			Pool:     engine.Pool,
			Zone:     engine.Zone,
			Draining: engine.Draining,
			Weights:  engine.Weights,
		}
	}
	return engines
}

// listKnown reports whether the list of engines has been read since this directory started.
func (d *Directory) listKnown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listReadAt > 0
}

// saveState writes the rollout's state to its register, before any request that depends on it is
// sent.
func (d *Directory) saveState(ctx context.Context, role *weightsRole) bool {
	value := role.scheduler.State.Marshal()
	response := d.control.Execute(ctx, &fb.OperationRequestT{Type: byte(quorum.OpPut), Key: RolloutKey, Value: value, ExpectedRevision: role.stateRevision})
	if quorum.Status(response.Status) != quorum.StatusDone {
		role.scheduler = nil // the next one starts from the register's content
		return false
	}
	role.stateRevision = response.Revision
	d.publishState(value, response.Revision)
	return true
}

// publishState makes the state that was just written visible to proxies.
func (d *Directory) publishState(value []byte, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, err := rollout.UnmarshalState(value) // a copy, since the scheduler keeps changing its own
	if err != nil || d.rollout.revision >= revision {
		return
	}
	d.rollout = register{true, revision, value, clock.Now()}
	d.rolloutState = state
	d.mapRevision++
	d.notify()
}

// sendUpdates sends requests that were decided under the lease with this fencing token, each in a
// goroutine of its own.
func (d *Directory) sendUpdates(requests []rollout.UpdateRequest, fencingToken uint64) {
	for _, request := range requests {
		d.role.inFlight.Add(1)
		d.group.Go("directory.weight_update", func(ctx context.Context) {
			defer d.role.inFlight.Done()
			d.sendUpdate(ctx, request, fencingToken)
		})
	}
}

// sendUpdate sends one request if the lease is still valid.
func (d *Directory) sendUpdate(ctx context.Context, request rollout.UpdateRequest, fencingToken uint64) {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(rollout.RequestTimeoutUS))
	defer cancel()
	role := d.role
	permit := func() error { return role.lease.Load().Permit(clock.Now(), fencingToken) }
	result := ResultNotSent
	if permit() == nil {
		result = d.platform.UpdateWeights(ctx, UpdateRequest{
			Engine:       request.Engine,
			Addr:         request.Addr,
			Model:        request.Model,
			Version:      request.Version,
			Leader:       role.leaderID,
			FencingToken: fencingToken,
			Permit:       permit,
		})
	}
	d.logWeightUpdate(request, fencingToken, result)
	d.withScheduler(func(scheduler *rollout.Scheduler, now int64) {
		switch result {
		case ResultCurrent:
			scheduler.Observe(request.Engine, request.Model, request.Version)
		case ResultBusy, ResultRefused:
			scheduler.Postpone(now, request.Engine)
		}
	})
}

// inspect asks an engine that is changing its weights which ones it runs, since the platform's
// list lags behind.
func (d *Directory) inspect(ctx context.Context, engine rollout.Engine) {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(inspectTimeout))
	defer cancel()
	weights, updating, err := d.platform.RunningWeights(ctx, engine.Addr)
	if err != nil || updating {
		return
	}
	d.withScheduler(func(scheduler *rollout.Scheduler, _ int64) {
		for model, version := range weights {
			scheduler.Observe(engine.ID, model, version)
		}
	})
}

// withScheduler calls observe with the scheduler, if there still is one.
func (d *Directory) withScheduler(observe func(scheduler *rollout.Scheduler, now int64)) {
	d.role.mu.Lock()
	defer d.role.mu.Unlock()
	if scheduler := d.role.scheduler; scheduler != nil {
		observe(scheduler, clock.Now())
	}
}
