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
const WeightsDuty = "duty/weights"

// unsettledFor is how long before a change of the duty's holder the core may have
// been settled again: a lease runs out a while after its holder was lost.
const unsettledFor = 4_000_000

const leaseSlack = 300_000 // the holder stops this much before its lease ends

// inspectEvery is how often a turning engine is asked itself, which has its price.
const inspectEvery = 300_000

// dutyHolder is this node's hold on the duty, and its conductor while it holds it.
type dutyHolder struct {
	mu          sync.Mutex
	inspectedAt map[string]int64
	holder      string
	lease       atomic.Pointer[rollout.Lease] // read where conduct may hold the lock for long
	leaving     bool                          // the duty is given back and not asked for again
	sending     sync.WaitGroup                // orders under way
	since       int64                         // when this node came to hold it
	began       int64                         // when it first conducted under this hold
	sent        map[string]int64              // when an engine was last sent an order under this hold
	conductor   *rollout.Conductor
	stateRev    uint64 // of the roll-out's register as written here
}

// conduct renews the duty's lease and takes the next steps of a roll-out.
func (t *Directory) conduct(ctx context.Context) {
	d := t.duty
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.leaving {
		return
	}
	now := clock.Now()
	if !t.renewDuty(ctx, now) {
		d.conductor = nil
		return
	}
	now = clock.Now()
	lease := *d.lease.Load() // what is decided goes out under the lease that it was decided under
	if now >= lease.Until {
		return
	}
	if d.conductor == nil && !t.newConductor(ctx, now) {
		return
	}
	if !t.listKnown() {
		return // without it every engine would look gone, and who was ordered be forgotten
	}
	engines := t.engineStates()
	orders, inspect, changed := d.conductor.Step(now, slices.Collect(maps.Values(engines)))
	if changed && !t.saveState(ctx, d) {
		return
	}
	for _, o := range orders {
		d.sent[o.Engine] = now
	}
	t.send(orders, lease.Fence)
	for _, id := range inspect {
		if now-d.inspectedAt[id] >= inspectEvery {
			d.inspectedAt[id] = now
			t.group.Go("directory.inspect", func(ctx context.Context) { t.inspect(ctx, engines[id]) })
		}
	}
}

// newConductor makes a conductor that goes on where the last one left off.
func (t *Directory) newConductor(ctx context.Context, now int64) bool {
	a := t.control.Once(ctx, &fb.OpAskT{Kind: byte(quorum.OpGet), Key: RolloutKey})
	if quorum.Status(a.Status) != quorum.Done {
		return false
	}
	state, err := rollout.Read(a.Val)
	if err != nil {
		t.log.Info("rollout_unreadable", "cause", err.Error())
	}
	figures := rollout.Defaults(t.settings.Bounds.VersionApplyUS, t.settings.Bounds.LeaseUS)
	d := t.duty
	d.conductor, d.stateRev = rollout.New(figures, now, d.since, state), a.Rev
	if d.began == 0 {
		d.began = now
	} else {
		d.conductor.Resume(d.began, d.sent)
	}
	return true
}

// engineStates is what the conductor has to know of each engine by id. It is told the
// versions that are wanted on the way.
func (t *Directory) engineStates() map[string]rollout.Engine {
	t.mu.Lock()
	defer t.mu.Unlock()
	for model, version := range t.newest {
		at, _ := t.namings.AnnouncedAt(model, version)
		t.duty.conductor.Name(model, version, at)
	}
	engines := map[string]rollout.Engine{}
	for _, e := range t.listed {
		engines[e.ID] = rollout.Engine{ID: e.ID, Addr: e.Addr, Pool: e.Pool, Site: e.Site, Draining: e.Draining, Weights: e.Weights}
	}
	return engines
}

// send sends orders that were decided under the lease with this fence.
func (t *Directory) send(orders []rollout.Order, fence uint64) {
	for _, o := range orders {
		t.duty.sending.Add(1)
		t.group.Go("directory.order", func(ctx context.Context) {
			defer t.duty.sending.Done()
			t.order(ctx, o, fence)
		})
	}
}

// saveState writes the roll-out's state before anybody acts on it.
func (t *Directory) saveState(ctx context.Context, d *dutyHolder) bool {
	val := d.conductor.S.Bytes()
	a := t.control.Op(ctx, &fb.OpAskT{Kind: byte(quorum.OpPut), Key: RolloutKey, Val: val, Expect: d.stateRev})
	if quorum.Status(a.Status) != quorum.Done {
		d.conductor = nil // read anew what stands there
		return false
	}
	d.stateRev = a.Rev
	t.mu.Lock()
	s, err := rollout.Read(val) // a copy, which stays as it is
	if err == nil && t.rollout.rev < a.Rev {
		t.rollout = register{true, a.Rev, val, clock.Now()}
		t.state = s
		t.mapRev++
		t.notify()
	}
	t.mu.Unlock()
	return true
}

// renewDuty asks for the duty's lease, or for more of it.
func (t *Directory) renewDuty(ctx context.Context, now int64) bool {
	d := t.duty
	lease := *d.lease.Load()
	term := t.settings.Bounds.LeaseUS + 500_000
	if lease.Until-now > term*2/3 {
		return true
	}
	ctx, stop := context.WithTimeout(ctx, clock.Micros(800_000))
	defer stop()
	a := t.control.Once(ctx, &fb.OpAskT{Kind: byte(quorum.OpHold), Key: WeightsDuty, Holder: d.holder, Term: term})
	if quorum.Status(a.Status) != quorum.Done {
		return now < lease.Until
	}
	if a.Rev != lease.Fence {
		d.conductor, d.since = nil, now-unsettledFor
		d.began, d.sent = 0, map[string]int64{}
		t.log.Info("duty", "key", WeightsDuty, "fence", a.Rev)
	}
	d.lease.Store(&rollout.Lease{Fence: a.Rev, Until: now + term - leaseSlack})
	return true
}

// listKnown reports whether the platform's list was ever read in this life.
func (t *Directory) listKnown() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.listAt > 0
}

// order sends an order that was decided under the lease with this fence.
func (t *Directory) order(ctx context.Context, o rollout.Order, fence uint64) {
	ctx, stop := context.WithTimeout(ctx, clock.Micros(rollout.OrderTime))
	defer stop()
	d := t.duty
	permit := func() error { return d.lease.Load().Permit(clock.Now(), fence) }
	answer := Withheld
	if permit() == nil {
		answer = t.platform.Order(ctx, Order{o.Engine, o.Addr, o.Model, o.Version, d.holder, fence, permit})
	}
	t.log.Info("order", "engine", o.Engine, "model", o.Model, "version", o.Version, "fence", fence, "answer", answer.String())
	t.withConductor(func(c *rollout.Conductor, now int64) {
		switch answer {
		case Holds:
			c.Seen(o.Engine, o.Model, o.Version)
		case Busy, Refused:
			c.Refused(now, o.Engine)
		}
	})
}

// inspect asks a turning engine itself: the platform's list comes late.
func (t *Directory) inspect(ctx context.Context, e rollout.Engine) {
	ctx, stop := context.WithTimeout(ctx, clock.Micros(500_000))
	defer stop()
	w, busy, err := t.platform.Running(ctx, e.Addr)
	if err != nil || busy {
		return
	}
	t.withConductor(func(c *rollout.Conductor, _ int64) {
		for m, v := range w {
			c.Seen(e.ID, m, v)
		}
	})
}

// withConductor hands the conductor what an engine said, if there still is one.
func (t *Directory) withConductor(f func(c *rollout.Conductor, now int64)) {
	t.duty.mu.Lock()
	defer t.duty.mu.Unlock()
	if c := t.duty.conductor; c != nil {
		f(c, clock.Now())
	}
}

// Leave gives the duty back, so that another need not wait its lease out. It waits for
// orders that are under way: the next holder's must not come close behind them.
func (t *Directory) Leave(ctx context.Context) {
	d := t.duty
	d.mu.Lock()
	lease := *d.lease.Load()
	d.lease.Store(&rollout.Lease{})
	d.leaving, d.conductor = true, nil
	d.mu.Unlock()
	if clock.Now() >= lease.Until {
		return
	}
	d.sending.Wait()
	t.control.Once(ctx, &fb.OpAskT{Kind: byte(quorum.OpFree), Key: WeightsDuty, Holder: d.holder, Expect: lease.Fence})
}
