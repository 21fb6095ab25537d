package directory

import (
	"context"
	"maps"
	"slices"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/membership"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	maxReplyDelay = 400_000 // by which a reply is delayed at the most
	mapBatchDelay = 60_000  // changes of the map come in lots, and go out together
)

// Handle answers proxies and other nodes; nil if the frame is not for a directory.
func (d *Directory) Handle(ctx context.Context, frame *fb.FrameT) *fb.FrameT {
	now := clock.Now()
	switch {
	case frame.LoadUpdate != nil:
		d.mergeLoads(now, frame.LoadUpdate)
		return nil
	case frame.MapRequest == nil:
		return nil
	}
	if frame.MapRequest.Node != nil {
		d.recordProxy(now, frame.MapRequest)
	}
	if !d.awaitChange(ctx, now, frame.MapRequest) {
		return nil
	}
	return &fb.FrameT{MapResponse: d.reply(frame.MapRequest, now)}
}

// awaitChange delays the reply to a question that came at a time until something urgent changed, or it
// was delayed for long enough. It returns false if whoever asked is gone.
func (d *Directory) awaitChange(ctx context.Context, askedAt int64, ask *fb.MapRequestT) bool {
	end := askedAt + min(max(ask.Hold, 0), maxReplyDelay)
	for {
		d.mu.Lock()
		changed, urgent := d.changed, d.hasUrgentChange(ask, askedAt)
		if ask.HaveMap != d.mapRevision {
			end = min(end, askedAt+mapBatchDelay)
		}
		d.mu.Unlock()
		left := end - clock.Now()
		if urgent || left <= 0 {
			return true
		}
		wait, cancel := context.WithTimeout(ctx, clock.Duration(left))
		taskgroup.Receive(wait, changed)
		cancel()
		if ctx.Err() != nil {
			return false
		}
	}
}

// hasUrgentChange reports whether a question is answered at once. Called under the lock.
func (d *Directory) hasUrgentChange(ask *fb.MapRequestT, askedAt int64) bool {
	switch {
	case d.config.known && ask.HaveRevision != d.config.revision:
		return true
	case ask.Incarnation != d.incarnation || ask.UpdatesIncarnation != d.incarnation || len(d.unsentEvents(ask)) > 0:
		return true
	}
	return ask.HaveMap != d.mapRevision && clock.Now()-askedAt >= mapBatchDelay
}

// reply answers a question that came at a time.
func (d *Directory) reply(ask *fb.MapRequestT, askedAt int64) *fb.MapResponseT {
	voters, live := d.control.VoterAddrs(), d.control.LiveNodes(clock.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	reply := &fb.MapResponseT{
		Incarnation:  d.incarnation,
		Zone:         d.settings.Zone,
		Waited:       now - askedAt,
		Known:        d.config.known,
		Revision:     d.config.revision,
		Age:          now - d.config.readAt,
		Map:          d.mapRevision,
		ListAge:      ageSince(now, d.listReadAt),
		Voters:       voters,
		AnnouncedAge: ageSince(now, min(d.weights.readAt, d.rollout.readAt)),
	}
	if ask.HaveRevision != d.config.revision {
		reply.Config = d.config.value
	}
	for _, node := range live {
		if node.Role == membership.RoleProxy {
			reply.Proxies++
		}
	}
	if ask.Incarnation != d.incarnation || ask.HaveMap != d.mapRevision {
		reply.FullMap = true
		reply.Engines = d.mapEngines()
	}
	if reply.FullMap || ask.Node == nil {
		reply.Announced = d.announcedVersions(now)
		reply.AnnouncedTerm = d.announcements.Term()
	}
	if ask.Node != nil { // another core machine follows the engines itself
		reply.Loads = d.loadsOfOthers(now, ask.Node.Name)
		d.addEvents(reply, ask)
	}
	return reply
}

// addEvents adds the next page of cache events for a proxy. Called under the lock.
func (d *Directory) addEvents(reply *fb.MapResponseT, ask *fb.MapRequestT) {
	batch := d.nextEvents(ask)
	reply.Complete = len(d.readers) > 0 && len(d.unsentEvents(ask)) == 0
	for _, reader := range d.readers {
		reply.Complete = reply.Complete && reader.answered
	}
	reply.UpdatesIncarnation, reply.UpdatesNext, reply.UpdatesReset = batch.Incarnation, batch.Next, batch.Reset
	for _, event := range batch.Updates {
		reply.Updates = append(reply.Updates, &fb.CacheUpdateT{
			Hi:     event.Key.Hi,
			Lo:     event.Key.Lo,
			Check:  event.Key.Check,
			Holder: event.Node,
			Op:     byte(event.Op),
		})
	}
}

// ageSince is the age of what was read at a time, or codec.AgeNeverRead.
func ageSince(now, readAt int64) int64 {
	if readAt == 0 {
		return codec.AgeNeverRead
	}
	return now - readAt
}

// mapEngines is the map as proxies see it, stores included. Called under the lock.
func (d *Directory) mapEngines() (out []*fb.MapEngineT) {
	down := func(id string) bool { reader := d.readers[id]; return reader != nil && reader.down() }
	for _, engine := range d.listedEngines {
		shown := &fb.MapEngineT{
			Id:        engine.ID,
			Pool:      engine.Pool,
			Addr:      engine.Addr,
			Zone:      engine.Zone,
			Draining:  engine.Draining,
			Slots:     uint32(engine.Slots),
			Unhealthy: down(engine.ID),
		}
		for _, model := range slices.Sorted(maps.Keys(engine.Weights)) {
			version := d.rolloutState.Version(engine.ID, model, engine.Weights[model])
			shown.Weights = append(shown.Weights, &fb.ModelVersionT{Model: model, Version: version})
		}
		_, shown.Updating = d.rolloutState.Updates[engine.ID]
		out = append(out, shown)
	}
	if d.table != nil {
		for _, pool := range d.table.Stores() {
			id := storeID(pool.StoreAddr)
			out = append(out, &fb.MapEngineT{Id: id, Addr: pool.StoreAddr, Zone: pool.Zone, Store: true, Unhealthy: down(id)})
		}
	}
	return out
}

// namedVersions tells how long ago each version of weights was announced. Called under the
// lock.
func (d *Directory) announcedVersions(now int64) (out []*fb.AnnouncedVersionT) {
	d.announcements.Each(func(model string, version uint64, at int64) {
		out = append(out, &fb.AnnouncedVersionT{Model: model, Version: version, Age: now - at})
	})
	return out
}
