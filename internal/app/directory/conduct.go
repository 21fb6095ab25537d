package directory

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"violetthread/internal/clock"
	"violetthread/quorum"
	"violetthread/rollout"
	"violetthread/schema/fb"
)

// WeightsDuty is the lease of the one who brings engines to new weights. Its
// register's revision is the fence of every order (design §15).
const WeightsRoleKey = "duty/weights"

// unsettledFor is how long before a change of the duty's holder the core may have
// been settled again: a lease runs out a while after its holder was lost.
const takeoverWindow = 4_000_000

const leaseSlack = 300_000 // the holder stops this much before its lease ends

// inspectEvery is how often a turning engine is asked itself, which has its price.
const inspectInterval = 300_000

// dutyHolder is this node's hold on the duty, and its conductor while it holds it.
type weightsRole struct {
	mu            sync.Mutex
	inspectedAt   map[string]int64
	leaderID      string
	lease         atomic.Pointer[rollout.Lease] // read where conduct may hold the lock for long
	leaving       bool                          // the duty is given back and not asked for again
	inFlight      sync.WaitGroup                // orders under way
	heldSince     int64                         // when this node came to hold it
	startedAt     int64                         // when it first conducted under this hold
	sentAt        map[string]int64              // when an engine was last sent an order under this hold
	scheduler     *rollout.Scheduler
	stateRevision uint64 // of the roll-out's register as written here
}

// conduct renews the duty's lease and takes the next steps of a roll-out.
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
		return // without it every engine would look gone, and who was ordered be forgotten
	}
	engines := d.engineStates()
	orders, inspect, changed := role.scheduler.Step(now, slices.Collect(maps.Values(engines)))
	if changed && !d.saveState(ctx, role) {
		return
	}
	for _, o := range orders {
		role.sentAt[o.Engine] = now
	}
	d.sendUpdates(orders, lease.FencingToken)
	for _, id := range inspect {
		if now-role.inspectedAt[id] >= inspectInterval {
			role.inspectedAt[id] = now
			d.group.Go("directory.inspect", func(ctx context.Context) { d.inspect(ctx, engines[id]) })
		}
	}
}

// newConductor makes a conductor that goes on where the last one left off.
func (d *Directory) newScheduler(ctx context.Context, now int64) bool {
	a := d.control.ExecuteOnce(ctx, &fb.OpAskT{Kind: byte(quorum.OpGet), Key: RolloutKey})
	if quorum.Status(a.Status) != quorum.StatusDone {
		return false
	}
	state, err := rollout.UnmarshalState(a.Val)
	if err != nil {
		d.log.Info("rollout_unreadable", "cause", err.Error())
	}
	figures := rollout.DefaultConfig(d.settings.Bounds.VersionApplyUS, d.settings.Bounds.LeaseUS)
	role := d.role
	role.scheduler, role.stateRevision = rollout.New(figures, now, role.heldSince, state), a.Rev
	if role.startedAt == 0 {
		role.startedAt = now
	} else {
		role.scheduler.Resume(role.startedAt, role.sentAt)
	}
	return true
}

// engineStates is what the conductor has to know of each engine by id. It is told the
// versions that are wanted on the way.
func (d *Directory) engineStates() map[string]rollout.Engine {
	d.mu.Lock()
	defer d.mu.Unlock()
	for model, version := range d.newestVersions {
		at, _ := d.namings.AnnouncedAt(model, version)
		d.role.scheduler.Announce(model, version, at)
	}
	engines := map[string]rollout.Engine{}
	for _, e := range d.listedEngines {
		engines[e.ID] = rollout.Engine{ID: e.ID, Addr: e.Addr, Pool: e.Pool, Zone: e.Zone, Draining: e.Draining, Weights: e.Weights}
	}
	return engines
}

// send sends orders that were decided under the lease with this fence.
func (d *Directory) sendUpdates(orders []rollout.UpdateRequest, fence uint64) {
	for _, o := range orders {
		d.role.inFlight.Add(1)
		d.group.Go("directory.order", func(ctx context.Context) {
			defer d.role.inFlight.Done()
			d.sendUpdate(ctx, o, fence)
		})
	}
}

// saveState writes the roll-out's state before anybody acts on it.
func (d *Directory) saveState(ctx context.Context, role *weightsRole) bool {
	val := role.scheduler.State.Marshal()
	a := d.control.Execute(ctx, &fb.OpAskT{Kind: byte(quorum.OpPut), Key: RolloutKey, Val: val, Expect: role.stateRevision})
	if quorum.Status(a.Status) != quorum.StatusDone {
		role.scheduler = nil // read anew what stands there
		return false
	}
	role.stateRevision = a.Rev
	d.mu.Lock()
	s, err := rollout.UnmarshalState(val) // a copy, which stays as it is
	if err == nil && d.rollout.revision < a.Rev {
		d.rollout = register{true, a.Rev, val, clock.Now()}
		d.rolloutState = s
		d.mapRevision++
		d.notify()
	}
	d.mu.Unlock()
	return true
}

// renewDuty asks for the duty's lease, or for more of it.
func (d *Directory) renewLease(ctx context.Context, now int64) bool {
	role := d.role
	lease := *role.lease.Load()
	term := d.settings.Bounds.LeaseUS + 500_000
	if lease.ExpiresAt-now > term*2/3 {
		return true
	}
	ctx, stop := context.WithTimeout(ctx, clock.Duration(800_000))
	defer stop()
	a := d.control.ExecuteOnce(ctx, &fb.OpAskT{Kind: byte(quorum.OpAcquire), Key: WeightsRoleKey, Holder: role.leaderID, Term: term})
	if quorum.Status(a.Status) != quorum.StatusDone {
		return now < lease.ExpiresAt
	}
	if a.Rev != lease.FencingToken {
		role.scheduler, role.heldSince = nil, now-takeoverWindow
		role.startedAt, role.sentAt = 0, map[string]int64{}
		d.log.Info("duty", "key", WeightsRoleKey, "fence", a.Rev)
	}
	role.lease.Store(&rollout.Lease{FencingToken: a.Rev, ExpiresAt: now + term - leaseSlack})
	return true
}

// listKnown reports whether the platform's list was ever read in this life.
func (d *Directory) listKnown() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listReadAt > 0
}

// order sends an order that was decided under the lease with this fence.
func (d *Directory) sendUpdate(ctx context.Context, o rollout.UpdateRequest, fence uint64) {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(rollout.RequestTimeout))
	defer stop()
	role := d.role
	permit := func() error { return role.lease.Load().Permit(clock.Now(), fence) }
	answer := ResultNotSent
	if permit() == nil {
		answer = d.platform.UpdateWeights(ctx, UpdateRequest{o.Engine, o.Addr, o.Model, o.Version, role.leaderID, fence, permit})
	}
	d.log.Info("order", "engine", o.Engine, "model", o.Model, "version", o.Version, "fence", fence, "answer", answer.String())
	d.withScheduler(func(c *rollout.Scheduler, now int64) {
		switch answer {
		case ResultCurrent:
			c.Observe(o.Engine, o.Model, o.Version)
		case ResultBusy, ResultRefused:
			c.Postpone(now, o.Engine)
		}
	})
}

// inspect asks a turning engine itself: the platform's list comes late.
func (d *Directory) inspect(ctx context.Context, e rollout.Engine) {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(500_000))
	defer stop()
	w, busy, err := d.platform.RunningWeights(ctx, e.Addr)
	if err != nil || busy {
		return
	}
	d.withScheduler(func(c *rollout.Scheduler, _ int64) {
		for m, v := range w {
			c.Observe(e.ID, m, v)
		}
	})
}

// withConductor hands the conductor what an engine said, if there still is one.
func (d *Directory) withScheduler(f func(c *rollout.Scheduler, now int64)) {
	d.role.mu.Lock()
	defer d.role.mu.Unlock()
	if c := d.role.scheduler; c != nil {
		f(c, clock.Now())
	}
}

// Leave gives the duty back, so that another need not wait its lease out. It waits for
// orders that are under way: the next holder's must not come close behind them.
func (d *Directory) Leave(ctx context.Context) {
	role := d.role
	role.mu.Lock()
	lease := *role.lease.Load()
	role.lease.Store(&rollout.Lease{})
	role.leaving, role.scheduler = true, nil
	role.mu.Unlock()
	if clock.Now() >= lease.ExpiresAt {
		return
	}
	role.inFlight.Wait()
	d.control.ExecuteOnce(ctx, &fb.OpAskT{Kind: byte(quorum.OpRelease), Key: WeightsRoleKey, Holder: role.leaderID, Expect: lease.FencingToken})
}
