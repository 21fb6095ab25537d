package directory

import (
	"context"

	"violetthread/internal/clock"
	"violetthread/quorum"
	"violetthread/rollout"
	"violetthread/route"
	"violetthread/schema/fb"
)

// register is a key of the control state as last vouched for.
type register struct {
	known bool
	rev   uint64
	val   []byte
	at    int64
}

// refreshDue refreshes when it is time to; after a start that is sooner.
func (t *Directory) refreshDue(ctx context.Context) {
	t.mu.Lock()
	due := !t.config.known || clock.Now()-t.refreshAt >= refreshEvery-refreshFirst/2
	t.mu.Unlock()
	if due {
		t.Refresh(ctx)
	}
}

// Refresh reads the registers anew; ages count from before the question.
func (t *Directory) Refresh(ctx context.Context) {
	t.mu.Lock()
	t.refreshAt = clock.Now()
	t.mu.Unlock()
	t.read(ctx, route.ConfigKey, &t.config, func(v []byte, rev uint64, _ int64) {
		if tab := t.settings.Parse(v, rev); tab != nil {
			t.table = tab
		}
	})
	t.read(ctx, route.WeightsKey, &t.weights, t.takeWeights)
	t.read(ctx, WeightsDuty, &t.dutyRegister, t.takeDuty)
	t.read(ctx, RolloutKey, &t.rollout, func(v []byte, _ uint64, _ int64) {
		if s, err := rollout.Read(v); err == nil {
			t.state = s
		}
	})
}

// takeWeights takes in a new value of the register of weights, which it has had since the
// given time at the earliest. Called under the lock.
func (t *Directory) takeWeights(val []byte, _ uint64, since int64) {
	doc, err := route.DecodeWeights(val)
	if err != nil {
		return
	}
	t.newest = newestOf(doc)
	for _, m := range doc.Models {
		for _, version := range m.Versions[max(0, len(m.Versions)-namedKept):] {
			if _, known := t.namings.AnnouncedAt(m.Model, version); !known {
				t.namings.Observe(m.Model, version, since)
			}
		}
	}
}

// takeDuty takes in that the duty of weights changed hands. Called under the lock.
func (t *Directory) takeDuty(_ []byte, rev uint64, since int64) {
	if rev > 1 { // the first holder followed nobody
		t.namings.StartTerm(rev, since-unsettledFor)
	}
}

// changedSince is the earliest time at which a register can have changed that was last
// read, unchanged, at a time: its age must not be taken for less. But who could not read
// for long was cut off or stood still, or the core was without a majority. The bounds of
// weights count from the end of such trouble, which was not long ago.
func changedSince(lastRead, now int64) int64 {
	return max(lastRead, now-unsettledFor)
}

// read reads one register, and hands a new value to take, with the earliest time at which
// it can have come there.
func (t *Directory) read(ctx context.Context, key string, r *register, take func(val []byte, rev uint64, since int64)) {
	ctx, stop := context.WithTimeout(ctx, clock.Micros(700_000))
	defer stop()
	t.mu.Lock()
	have := r.rev
	t.mu.Unlock()
	at := clock.Now()
	a := t.control.Once(ctx, &fb.OpAskT{Kind: byte(quorum.OpGet), Key: key, Have: have})
	if quorum.Status(a.Status) != quorum.Done {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.known && a.Rev < r.rev {
		return
	}
	fresh := a.Rev != r.rev && len(a.Val) > 0
	if a.Rev != r.rev && !fresh {
		return // its value did not come along
	}
	lastRead := r.at
	if !r.known {
		lastRead = t.startedAt
	}
	r.known, r.rev, r.at = true, a.Rev, max(r.at, at)
	if fresh {
		r.val = a.Val
		take(a.Val, a.Rev, changedSince(lastRead, clock.Now()))
		t.mapRev++
		t.notify()
	}
}

// newestOf is the newest named version of each model.
func newestOf(d *route.WeightVersions) map[string]uint64 {
	out := map[string]uint64{}
	for _, m := range d.Models {
		out[m.Model] = d.Latest(m.Model)
	}
	return out
}
