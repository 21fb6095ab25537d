package directory

import (
	"context"

	"violetthread/internal/clock"
	"violetthread/quorum"
	"violetthread/rollout"
	"violetthread/route"
	"violetthread/schema/fb"
)

// readTimeout is the timeout for reading one register, in microseconds.
const readTimeout = 700_000

// register is the value of a control key as its leader last confirmed it.
type register struct {
	known    bool // it was read since this directory started
	revision uint64
	value    []byte
	readAt   int64 // when the value was last confirmed; for a read, when the request was sent
}

// refreshDue calls Refresh when refreshInterval has passed, and at every call until the
// configuration is known.
func (d *Directory) refreshDue(ctx context.Context) {
	d.mu.Lock()
	due := !d.config.known || clock.Now()-d.refreshedAt >= refreshInterval-firstRefreshInterval/2
	d.mu.Unlock()
	if due {
		d.Refresh(ctx)
	}
}

// Refresh reads all registers. Ages count from before the request was sent.
func (d *Directory) Refresh(ctx context.Context) {
	d.mu.Lock()
	d.refreshedAt = clock.Now()
	d.mu.Unlock()
	d.readRegister(ctx, route.ConfigKey, &d.config, func(value []byte, revision uint64, _ int64) {
		if table := d.settings.Parse(value, revision); table != nil {
			d.table = table
		}
	})
	d.readRegister(ctx, route.WeightsKey, &d.weights, d.applyWeights)
	d.readRegister(ctx, WeightsRoleKey, &d.roleRegister, d.applyRoleChange)
	d.readRegister(ctx, RolloutKey, &d.rollout, func(value []byte, _ uint64, _ int64) {
		if state, err := rollout.UnmarshalState(value); err == nil {
			d.rolloutState = state
		}
	})
}

// applyWeights applies a new value of the weights register. since is the earliest time at which it
// can have been written. Called under the lock.
func (d *Directory) applyWeights(value []byte, _ uint64, since int64) {
	doc, err := route.DecodeWeights(value)
	if err != nil {
		return
	}
	d.newestVersions = newestOf(doc)
	for _, model := range doc.Models {
		for _, version := range model.Versions[max(0, len(model.Versions)-route.MaxAnnouncedVersions):] {
			if _, known := d.announcements.AnnouncedAt(model.Model, version); !known {
				d.announcements.Observe(model.Model, version, since)
			}
		}
	}
}

// applyRoleChange starts a new announcement term when the lease of the rollout has changed hands.
// Called under the lock.
func (d *Directory) applyRoleChange(_ []byte, revision uint64, since int64) {
	if revision > 1 { // the first leader has no predecessor
		d.announcements.StartTerm(revision, since-takeoverWindow)
	}
}

// changedSince returns the earliest time at which a register may have changed that was last read
// unchanged at lastRead. It is at most takeoverWindow ago: a node that could not read for longer
// was disconnected or the core had no majority, and the time bounds on weights restart after that.
func changedSince(lastRead, now int64) int64 {
	return max(lastRead, now-takeoverWindow)
}

// readRegister reads one register and calls apply for a new value, with the earliest time at which
// it can have been written. apply is called under the lock.
func (d *Directory) readRegister(ctx context.Context, key string, r *register, apply func(value []byte, revision uint64, since int64)) {
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(readTimeout))
	defer cancel()
	d.mu.Lock()
	have := r.revision
	d.mu.Unlock()
	sentAt := clock.Now()
	response := d.control.ExecuteOnce(ctx, &fb.OperationRequestT{Type: byte(quorum.OpGet), Key: key, HaveRevision: have})
	if quorum.Status(response.Status) != quorum.StatusDone {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.known && response.Revision < r.revision {
		return
	}
	changed := response.Revision != r.revision
	if changed && len(response.Value) == 0 {
		return // the response does not include the value
	}
	lastRead := r.readAt
	if !r.known {
		lastRead = d.startedAt
	}
	r.known, r.revision, r.readAt = true, response.Revision, max(r.readAt, sentAt)
	if changed {
		r.value = response.Value
		apply(response.Value, response.Revision, changedSince(lastRead, clock.Now()))
		d.mapRevision++
		d.notify()
	}
}

// newestOf returns the newest announced version of each model.
func newestOf(doc *route.WeightVersions) map[string]uint64 {
	newest := map[string]uint64{}
	for _, model := range doc.Models {
		newest[model.Model] = doc.Latest(model.Model)
	}
	return newest
}
