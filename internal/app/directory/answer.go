package directory

import (
	"context"
	"maps"
	"slices"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/internal/wire"
	"violetthread/schema/fb"
)

// Handle answers proxies and other nodes. Anything else is not its own.
func (t *Directory) Handle(ctx context.Context, f *fb.FrameT) *fb.FrameT {
	now := clock.Now()
	switch {
	case f.LoadTell != nil:
		t.hearLoads(now, f.LoadTell)
		return nil
	case f.MapAsk == nil:
		return nil
	}
	if f.MapAsk.Node != nil {
		t.hearProxy(now, f.MapAsk)
	}
	if !t.awaitChange(ctx, now, f.MapAsk) {
		return nil
	}
	return &fb.FrameT{MapTell: t.tell(f.MapAsk, now)}
}

// hearProxy takes in what a proxy tells of itself as it asks.
func (t *Directory) hearProxy(now int64, q *fb.MapAskT) {
	t.control.Heard(now, q.Node)
	t.mu.Lock()
	defer t.mu.Unlock()
	p := &proxy{at: now, direct: true, loads: q.Loads}
	if known := t.proxies[q.Node.Name]; known != nil && known.direct {
		p.rest = known.rest
	}
	t.proxies[q.Node.Name] = p
}

// awaitChange holds a question that came at a time until there is something new to tell,
// or it was held for long enough. It returns false if whoever asked is gone.
func (t *Directory) awaitChange(ctx context.Context, asked int64, q *fb.MapAskT) bool {
	end := asked + min(max(q.Hold, 0), holdMost)
	for {
		t.mu.Lock()
		changed, urgent := t.changed, t.hasNews(q, asked)
		if q.Map != t.mapRev {
			end = min(end, asked+mapPause) // changes of the map come in lots
		}
		t.mu.Unlock()
		left := end - clock.Now()
		if urgent || left <= 0 {
			return true
		}
		wait, stop := context.WithTimeout(ctx, clock.Micros(left))
		taskgroup.Wait(wait, changed)
		stop()
		if ctx.Err() != nil {
			return false
		}
	}
}

// hasNews reports whether a question is answered at once. Called under the lock.
func (t *Directory) hasNews(q *fb.MapAskT, asked int64) bool {
	switch {
	case t.config.known && q.Have != t.config.rev:
		return true
	case q.Inc != t.incarnation || q.NewsInc != t.incarnation || len(t.restOf(q)) > 0:
		return true
	}
	return q.Map != t.mapRev && clock.Now()-asked >= mapPause
}

func (t *Directory) tell(q *fb.MapAskT, asked int64) *fb.MapTellT {
	voters, live := t.control.Voters(), t.control.Live(clock.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	a := &fb.MapTellT{Inc: t.incarnation, Site: t.settings.Site, Held: now - asked, Known: t.config.known, Rev: t.config.rev, Age: now - t.config.at,
		Map: t.mapRev, ListAge: ageSince(now, t.listAt), Voters: voters}
	if q.Have != t.config.rev {
		a.Config = t.config.val
	}
	for _, n := range live {
		if n.Role == "carrier" {
			a.Proxies++
		}
	}
	if q.Inc != t.incarnation || q.Map != t.mapRev {
		a.Whole = true
		a.Engines = t.engines()
	}
	if a.Whole || q.Node == nil {
		a.Named = t.named(now)
		a.NamedEpoch = t.namings.Epoch()
	}
	a.NamedAge = ageSince(now, min(t.weights.at, t.rollout.at))
	if q.Node == nil {
		return a // another node, who follows the engines itself
	}
	a.Loads = t.others(now, q.Node.Name)
	b := t.news(q)
	a.Complete = len(t.readers) > 0 && len(t.restOf(q)) == 0
	for _, r := range t.readers {
		a.Complete = a.Complete && r.answered
	}
	a.NewsInc, a.NewsNext, a.NewsReset = b.Incarnation, b.Next, b.Reset
	for _, n := range b.Updates {
		a.News = append(a.News, &fb.NewsT{Hi: n.Key.Hi, Lo: n.Key.Lo, Check: n.Key.Check, Node: n.Node, Op: byte(n.Op)})
	}
	return a
}

// ageSince is the age of what was read at a time, or wire.NeverRead.
func ageSince(now, at int64) int64 {
	if at == 0 {
		return wire.NeverRead
	}
	return now - at
}

// engines is the map as proxies see it, stores included.
func (t *Directory) engines() (out []*fb.MapEngineT) {
	down := func(id string) bool { r := t.readers[id]; return r != nil && r.failures >= downAfter }
	for _, e := range t.listed {
		x := &fb.MapEngineT{Id: e.ID, Pool: e.Pool, Addr: e.Addr, Site: e.Site, Draining: e.Draining, Slots: uint32(e.Slots), Down: down(e.ID)}
		ms := slices.Sorted(maps.Keys(e.Weights))
		for _, m := range ms {
			x.Weights = append(x.Weights, &fb.ModelAtT{Model: m, Version: t.state.Version(e.ID, m, e.Weights[m])})
		}
		_, x.Turning = t.state.Turns[e.ID]
		out = append(out, x)
	}
	if t.table != nil {
		for _, p := range t.table.Stores() {
			out = append(out, &fb.MapEngineT{Id: storeID(p.Store), Addr: p.Store, Site: p.Site, Store: true, Down: down(storeID(p.Store))})
		}
	}
	return out
}

// named tells how long ago each version of weights was named. Called under the lock.
func (t *Directory) named(now int64) (out []*fb.NamedT) {
	t.namings.Each(func(model string, version uint64, at int64) {
		out = append(out, &fb.NamedT{Model: model, Version: version, Age: now - at})
	})
	return out
}
