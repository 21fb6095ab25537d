package directory

import (
	"context"
	"sync"

	"violetthread/internal/clock"
	"violetthread/quorum"
	"violetthread/rollout"
	"violetthread/schema/fb"
)

// WeightsDuty is the lease of the one who brings engines to new weights. Its
// register's revision is the fence of every order (design §15).
const WeightsDuty = "duty/weights"

// orderMost is how long an order may be on its way; none is sent so shortly before the
// lease ends.
const orderMost = 800_000

const leaseSlack = 300_000 // the holder stops this much before its lease ends

// lookEvery is how often a turning engine is asked itself, which has its price.
const lookEvery = 300_000

// dealer is this node's hold on the duty, and its conductor while it holds it.
type dealer struct {
	mu     sync.Mutex
	looked map[string]int64
	holder string
	fence  uint64
	until  int64 // by this node's clock, counted from before it asked
	since  int64 // when this node came to hold it
	con    *rollout.Conductor
	rev    uint64 // of the roll-out's register as written here
}

// conduct renews the duty's lease and takes the next steps of a roll-out.
func (t *Directory) conduct(ctx context.Context) {
	d := t.dealer
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	if !t.hold(ctx, now) {
		d.con = nil
		return
	}
	now = clock.Now()
	if now >= d.until {
		return
	}
	if d.con == nil {
		a := t.ctl.Once(ctx, &fb.OpAskT{Kind: byte(quorum.OpGet), Key: RolloutKey})
		if quorum.Status(a.Status) != quorum.Done {
			return
		}
		s, err := rollout.Read(a.Val)
		if err != nil {
			t.log.Info("rollout_unreadable", "cause", err.Error())
		}
		d.con, d.rev = rollout.New(rollout.Defaults(t.s.Bounds.VersionApplyUS, t.s.Bounds.LeaseUS), now, d.since, s), a.Rev
	}
	var es []rollout.Engine
	t.mu.Lock()
	for m, w := range t.wanted {
		d.con.Name(m, w, t.first[m][w])
	}
	for _, e := range t.listed {
		es = append(es, rollout.Engine{ID: e.ID, Addr: e.Addr, Pool: e.Pool, Site: e.Site, Draining: e.Draining, Weights: e.Weights, At: t.listAt})
	}
	t.mu.Unlock()
	orders, look, changed := d.con.Step(now, es)
	if changed && !t.keep(ctx, d) {
		return
	}
	for _, o := range orders {
		t.group.Go("steward.order", func(ctx context.Context) { t.order(ctx, o, d.fence) })
	}
	for _, id := range look {
		for _, e := range es {
			if e.ID == id && now-d.looked[id] >= lookEvery {
				d.looked[id] = now
				t.group.Go("steward.look", func(ctx context.Context) { t.look(ctx, e) })
			}
		}
	}
}

// keep writes the roll-out's state before anybody acts on it.
func (t *Directory) keep(ctx context.Context, d *dealer) bool {
	a := t.ctl.Op(ctx, &fb.OpAskT{Kind: byte(quorum.OpPut), Key: RolloutKey, Val: d.con.S.Bytes(), Expect: d.rev})
	if quorum.Status(a.Status) != quorum.Done {
		d.con = nil // read anew what stands there
		return false
	}
	d.rev = a.Rev
	t.mu.Lock()
	s, err := rollout.Read(d.con.S.Bytes())
	if err == nil && t.roll.rev < a.Rev {
		t.roll = register{true, a.Rev, d.con.S.Bytes(), clock.Now()}
		t.state = s
		t.mapRev++
		t.ring()
	}
	t.mu.Unlock()
	return true
}

// hold asks for the duty's lease, or for more of it.
func (t *Directory) hold(ctx context.Context, now int64) bool {
	d := t.dealer
	term := t.s.Bounds.LeaseUS + 500_000
	if d.until-now > term*2/3 {
		return true
	}
	ctx, stop := context.WithTimeout(ctx, clock.Micros(800_000))
	defer stop()
	a := t.ctl.Once(ctx, &fb.OpAskT{Kind: byte(quorum.OpHold), Key: WeightsDuty, Holder: d.holder, Term: term})
	if quorum.Status(a.Status) != quorum.Done {
		return now < d.until
	}
	if a.Rev != d.fence {
		d.fence, d.con, d.since = a.Rev, nil, now-unsettledFor
		t.log.Info("duty", "key", WeightsDuty, "fence", a.Rev)
	}
	d.until = now + term - leaseSlack
	return true
}

func (t *Directory) order(ctx context.Context, o rollout.Order, fence uint64) {
	ctx, stop := context.WithTimeout(ctx, clock.Micros(orderMost))
	defer stop()
	d := t.dealer
	d.mu.Lock()
	mine := clock.Now() < d.until-orderMost && d.fence == fence
	d.mu.Unlock()
	if !mine {
		return
	}
	r := t.pf.Order(ctx, Order{o.Engine, o.Addr, o.Model, o.Version, d.holder, fence})
	t.log.Info("order", "engine", o.Engine, "model", o.Model, "version", o.Version, "fence", fence, "answer", int(r))
	t.inbox(func(c *rollout.Conductor, now int64) {
		switch r {
		case Holds:
			c.Seen(o.Engine, o.Model, o.Version)
		case Busy, Refused:
			c.Refused(now, o.Engine)
		}
	})
}

// look asks a turning engine itself: the platform's list comes late.
func (t *Directory) look(ctx context.Context, e rollout.Engine) {
	ctx, stop := context.WithTimeout(ctx, clock.Micros(500_000))
	defer stop()
	w, busy, err := t.pf.Running(ctx, e.Addr)
	if err != nil || busy {
		return
	}
	t.inbox(func(c *rollout.Conductor, _ int64) {
		for m, v := range w {
			c.Seen(e.ID, m, v)
		}
	})
}

// inbox hands the conductor what an engine said, if there still is one.
func (t *Directory) inbox(f func(c *rollout.Conductor, now int64)) {
	t.dealer.mu.Lock()
	defer t.dealer.mu.Unlock()
	if c := t.dealer.con; c != nil {
		f(c, clock.Now())
	}
}

// Leave gives the duty back, so that another need not wait its lease out.
func (t *Directory) Leave(ctx context.Context) {
	d := t.dealer
	d.mu.Lock()
	defer d.mu.Unlock()
	if clock.Now() < d.until {
		d.until = 0
		t.ctl.Once(ctx, &fb.OpAskT{Kind: byte(quorum.OpFree), Key: WeightsDuty, Holder: d.holder, Expect: d.fence})
	}
	d.con = nil
}
