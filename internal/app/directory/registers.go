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
	known    bool
	revision uint64
	value    []byte
	readAt   int64
}

// refreshDue refreshes when it is time to; after a start that is sooner.
func (d *Directory) refreshDue(ctx context.Context) {
	d.mu.Lock()
	due := !d.config.known || clock.Now()-d.refreshedAt >= refreshInterval-firstRefreshInterval/2
	d.mu.Unlock()
	if due {
		d.Refresh(ctx)
	}
}

// Refresh reads the registers anew; ages count from before the question.
func (d *Directory) Refresh(ctx context.Context) {
	d.mu.Lock()
	d.refreshedAt = clock.Now()
	d.mu.Unlock()
	d.readRegister(ctx, route.ConfigKey, &d.config, func(v []byte, rev uint64, _ int64) {
		if tab := d.settings.Parse(v, rev); tab != nil {
			d.table = tab
		}
	})
	d.readRegister(ctx, route.WeightsKey, &d.weights, d.applyWeights)
	d.readRegister(ctx, WeightsRoleKey, &d.roleRegister, d.applyRoleChange)
	d.readRegister(ctx, RolloutKey, &d.rollout, func(v []byte, _ uint64, _ int64) {
		if s, err := rollout.UnmarshalState(v); err == nil {
			d.rolloutState = s
		}
	})
}

// takeWeights takes in a new value of the register of weights, which it has had since the
// given time at the earliest. Called under the lock.
func (d *Directory) applyWeights(val []byte, _ uint64, since int64) {
	doc, err := route.DecodeWeights(val)
	if err != nil {
		return
	}
	d.newestVersions = newestOf(doc)
	for _, m := range doc.Models {
		for _, version := range m.Versions[max(0, len(m.Versions)-namedVersionsKept):] {
			if _, known := d.namings.AnnouncedAt(m.Model, version); !known {
				d.namings.Observe(m.Model, version, since)
			}
		}
	}
}

// takeDuty takes in that the duty of weights changed hands. Called under the lock.
func (d *Directory) applyRoleChange(_ []byte, rev uint64, since int64) {
	if rev > 1 { // the first holder followed nobody
		d.namings.StartTerm(rev, since-takeoverWindow)
	}
}

// changedSince is the earliest time at which a register can have changed that was last
// read, unchanged, at a time: its age must not be taken for less. But who could not read
// for long was cut off or stood still, or the core was without a majority. The bounds of
// weights count from the end of such trouble, which was not long ago.
func changedSince(lastRead, now int64) int64 {
	return max(lastRead, now-takeoverWindow)
}

// read reads one register, and hands a new value to take, with the earliest time at which
// it can have come there.
func (d *Directory) readRegister(ctx context.Context, key string, r *register, take func(val []byte, rev uint64, since int64)) {
	ctx, stop := context.WithTimeout(ctx, clock.Duration(700_000))
	defer stop()
	d.mu.Lock()
	have := r.revision
	d.mu.Unlock()
	at := clock.Now()
	a := d.control.ExecuteOnce(ctx, &fb.OpAskT{Kind: byte(quorum.OpGet), Key: key, Have: have})
	if quorum.Status(a.Status) != quorum.StatusDone {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.known && a.Rev < r.revision {
		return
	}
	fresh := a.Rev != r.revision && len(a.Val) > 0
	if a.Rev != r.revision && !fresh {
		return // its value did not come along
	}
	lastRead := r.readAt
	if !r.known {
		lastRead = d.startedAt
	}
	r.known, r.revision, r.readAt = true, a.Rev, max(r.readAt, at)
	if fresh {
		r.value = a.Val
		take(a.Val, a.Rev, changedSince(lastRead, clock.Now()))
		d.mapRevision++
		d.notify()
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
