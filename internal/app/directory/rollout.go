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

// RolloutKey is the register that holds which engines are changing their weights.
const RolloutKey = "route/rollout"

// Microseconds.
const (
	// inspectInterval is how often an engine that is changing its weights is asked itself,
	// which costs a request on the engine.
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
	lease := *role.lease.Load() // what is decided goes out under the lease that it was decided under
	if now >= lease.ExpiresAt {
		return
	}
	if role.scheduler == nil && !d.newScheduler(ctx, now) {
		return
	}
	if !d.listKnown() {
		return // without it every engine would look gone, and earlier requests be forgotten
	}
	d.stepRollout(ctx, now, lease)
}

// stepRollout carries one step of the scheduler out: the state first, then the requests.
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

// newScheduler makes a scheduler that goes on where the last leader left off.
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
	role.scheduler, role.stateRevision = rollout.New(config, now, role.countFrom, state), response.Revision
	if role.startedAt == 0 {
		role.startedAt = now
	} else {
		role.scheduler.Resume(role.startedAt, role.sentAt)
	}
	return true
}

// engineStates is what the scheduler has to know of each engine, by id. It announces the
// versions that are wanted to the scheduler on the way.
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

// listKnown reports whether the platform's list was read since this directory started.
func (d *Directory) listKnown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listReadAt > 0
}

// saveState writes the rollout's state before anybody acts on it.
func (d *Directory) saveState(ctx context.Context, role *weightsRole) bool {
	value := role.scheduler.State.Marshal()
	response := d.control.Execute(ctx, &fb.OperationRequestT{Type: byte(quorum.OpPut), Key: RolloutKey, Value: value, ExpectedRevision: role.stateRevision})
	if quorum.Status(response.Status) != quorum.StatusDone {
		role.scheduler = nil // the next one reads what is in the register
		return false
	}
	role.stateRevision = response.Revision
	d.publishState(value, response.Revision)
	return true
}

// publishState shows proxies the state that was just written.
func (d *Directory) publishState(value []byte, revision uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	state, err := rollout.UnmarshalState(value) // a copy: the scheduler goes on changing its own
	if err != nil || d.rollout.revision >= revision {
		return
	}
	d.rollout = register{true, revision, value, clock.Now()}
	d.rolloutState = state
	d.mapRevision++
	d.notify()
}

// sendUpdates sends requests that were decided under the lease with this fencing token.
func (d *Directory) sendUpdates(requests []rollout.UpdateRequest, fencingToken uint64) {
	for _, request := range requests {
		d.role.inFlight.Add(1)
		d.group.Go("directory.weight_update", func(ctx context.Context) {
			defer d.role.inFlight.Done()
			d.sendUpdate(ctx, request, fencingToken)
		})
	}
}

// sendUpdate sends one request, if the lease still permits it.
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

// inspect asks an engine that is changing its weights itself: the platform's list comes
// late.
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

// withScheduler hands the scheduler what an engine said, if there still is one.
func (d *Directory) withScheduler(observe func(scheduler *rollout.Scheduler, now int64)) {
	d.role.mu.Lock()
	defer d.role.mu.Unlock()
	if scheduler := d.role.scheduler; scheduler != nil {
		observe(scheduler, clock.Now())
	}
}
