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
	t.read(ctx, route.ConfigKey, &t.config, func(v []byte, rev uint64) {
		if tab := t.settings.Parse(v, rev); tab != nil {
			t.table = tab
		}
	})
	t.read(ctx, route.WeightsKey, &t.weights, func(v []byte, _ uint64) {
		d, err := route.ReadWeights(v)
		if err != nil {
			return
		}
		now := clock.Now()
		t.newest = newestOf(d)
		for _, m := range d.Models {
			old := t.namedAt[m.Model]
			t.namedAt[m.Model] = map[uint64]int64{}
			for _, w := range m.Versions[max(0, len(m.Versions)-namedKept):] {
				at, ok := old[w]
				if !ok {
					at = now
				}
				t.namedAt[m.Model][w] = at
			}
		}
	})
	t.read(ctx, WeightsDuty, &t.dutyRegister, func(_ []byte, rev uint64) {
		if rev > 1 {
			t.dutySince = clock.Now() - unsettledFor
		}
	})
	t.read(ctx, RolloutKey, &t.rollout, func(v []byte, _ uint64) {
		if s, err := rollout.Read(v); err == nil {
			t.state = s
		}
	})
}

func (t *Directory) read(ctx context.Context, key string, r *register, take func([]byte, uint64)) {
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
	r.known, r.rev, r.at = true, a.Rev, max(r.at, at)
	if fresh {
		r.val = a.Val
		take(a.Val, a.Rev)
		t.mapRev++
		t.notify()
	}
}

// newestOf is the newest named version of each model.
func newestOf(d *route.WeightsDoc) map[string]uint64 {
	out := map[string]uint64{}
	for _, m := range d.Models {
		out[m.Model] = d.Newest(m.Model)
	}
	return out
}
