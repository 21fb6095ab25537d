package directory

import (
	"context"
	"maps"
	"slices"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/schema/fb"
)

// Handle answers proxies and other nodes. Anything else is not its own.
func (d *Directory) Handle(ctx context.Context, f *fb.FrameT) *fb.FrameT {
	now := clock.Now()
	switch {
	case f.LoadTell != nil:
		d.mergeLoads(now, f.LoadTell)
		return nil
	case f.MapAsk == nil:
		return nil
	}
	if f.MapAsk.Node != nil {
		d.recordProxy(now, f.MapAsk)
	}
	if !d.awaitChange(ctx, now, f.MapAsk) {
		return nil
	}
	return &fb.FrameT{MapTell: d.reply(f.MapAsk, now)}
}

// hearProxy takes in what a proxy tells of itself as it asks.
func (d *Directory) recordProxy(now int64, q *fb.MapAskT) {
	d.control.RecordHeartbeat(now, q.Node)
	d.mu.Lock()
	defer d.mu.Unlock()
	p := &proxyState{heardAt: now, direct: true, loads: q.Loads}
	if known := d.proxies[q.Node.Name]; known != nil && known.direct {
		p.unsent = known.unsent
	}
	d.proxies[q.Node.Name] = p
}

// awaitChange holds a question that came at a time until there is something new to tell,
// or it was held for long enough. It returns false if whoever asked is gone.
func (d *Directory) awaitChange(ctx context.Context, asked int64, q *fb.MapAskT) bool {
	end := asked + min(max(q.Hold, 0), maxReplyDelay)
	for {
		d.mu.Lock()
		changed, urgent := d.changed, d.hasUrgentChange(q, asked)
		if q.Map != d.mapRevision {
			end = min(end, asked+mapBatchDelay) // changes of the map come in lots
		}
		d.mu.Unlock()
		left := end - clock.Now()
		if urgent || left <= 0 {
			return true
		}
		wait, stop := context.WithTimeout(ctx, clock.Duration(left))
		taskgroup.Receive(wait, changed)
		stop()
		if ctx.Err() != nil {
			return false
		}
	}
}

// hasNews reports whether a question is answered at once. Called under the lock.
func (d *Directory) hasUrgentChange(q *fb.MapAskT, asked int64) bool {
	switch {
	case d.config.known && q.Have != d.config.revision:
		return true
	case q.Inc != d.incarnation || q.NewsInc != d.incarnation || len(d.unsentEvents(q)) > 0:
		return true
	}
	return q.Map != d.mapRevision && clock.Now()-asked >= mapBatchDelay
}

func (d *Directory) reply(q *fb.MapAskT, asked int64) *fb.MapTellT {
	voters, live := d.control.VoterAddrs(), d.control.LiveNodes(clock.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	a := &fb.MapTellT{Inc: d.incarnation, Site: d.settings.Zone, Held: now - asked, Known: d.config.known, Rev: d.config.revision, Age: now - d.config.readAt,
		Map: d.mapRevision, ListAge: ageSince(now, d.listReadAt), Voters: voters}
	if q.Have != d.config.revision {
		a.Config = d.config.value
	}
	for _, n := range live {
		if n.Role == "carrier" {
			a.Proxies++
		}
	}
	if q.Inc != d.incarnation || q.Map != d.mapRevision {
		a.Whole = true
		a.Engines = d.mapEngines()
	}
	if a.Whole || q.Node == nil {
		a.Named = d.namedVersions(now)
		a.NamedEpoch = d.namings.Term()
	}
	a.NamedAge = ageSince(now, min(d.weights.readAt, d.rollout.readAt))
	if q.Node == nil {
		return a // another node, who follows the engines itself
	}
	a.Loads = d.loadsOfOthers(now, q.Node.Name)
	b := d.nextEvents(q)
	a.Complete = len(d.readers) > 0 && len(d.unsentEvents(q)) == 0
	for _, r := range d.readers {
		a.Complete = a.Complete && r.answered
	}
	a.NewsInc, a.NewsNext, a.NewsReset = b.Incarnation, b.Next, b.Reset
	for _, n := range b.Updates {
		a.News = append(a.News, &fb.NewsT{Hi: n.Key.Hi, Lo: n.Key.Lo, Check: n.Key.Check, Node: n.Node, Op: byte(n.Op)})
	}
	return a
}

// ageSince is the age of what was read at a time, or codec.AgeNeverRead.
func ageSince(now, at int64) int64 {
	if at == 0 {
		return codec.AgeNeverRead
	}
	return now - at
}

// engines is the map as proxies see it, stores included.
func (d *Directory) mapEngines() (out []*fb.MapEngineT) {
	down := func(id string) bool { r := d.readers[id]; return r != nil && r.failures >= failuresUntilDown }
	for _, e := range d.listedEngines {
		x := &fb.MapEngineT{Id: e.ID, Pool: e.Pool, Addr: e.Addr, Site: e.Zone, Draining: e.Draining, Slots: uint32(e.Slots), Down: down(e.ID)}
		ms := slices.Sorted(maps.Keys(e.Weights))
		for _, m := range ms {
			x.Weights = append(x.Weights, &fb.ModelAtT{Model: m, Version: d.rolloutState.Version(e.ID, m, e.Weights[m])})
		}
		_, x.Turning = d.rolloutState.Updates[e.ID]
		out = append(out, x)
	}
	if d.table != nil {
		for _, p := range d.table.Stores() {
			out = append(out, &fb.MapEngineT{Id: storeID(p.StoreAddr), Addr: p.StoreAddr, Site: p.Zone, Store: true, Down: down(storeID(p.StoreAddr))})
		}
	}
	return out
}

// named tells how long ago each version of weights was named. Called under the lock.
func (d *Directory) namedVersions(now int64) (out []*fb.NamedT) {
	d.namings.Each(func(model string, version uint64, at int64) {
		out = append(out, &fb.NamedT{Model: model, Version: version, Age: now - at})
	})
	return out
}
