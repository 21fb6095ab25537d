package directory

import (
	"context"
	"maps"
	"slices"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/membership"
	"violetthread/placement"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	maxResponseDelay = 400_000 // by which a response is delayed at the most
	mapBatchDelay    = 60_000  // changes of the map come in lots, and go out together
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
	return &fb.FrameT{MapResponse: d.respond(frame.MapRequest, now)}
}

// awaitChange delays the response to a question that came at a time until something urgent
// changed, or it was delayed for long enough. It returns false if whoever asked is gone.
func (d *Directory) awaitChange(ctx context.Context, askedAt int64, request *fb.MapRequestT) bool {
	end := askedAt + min(max(request.Hold, 0), maxResponseDelay)
	for {
		d.mu.Lock()
		changed, urgent := d.changed, d.hasUrgentChange(request, askedAt)
		if request.HaveMap != d.mapRevision {
			end = min(end, askedAt+mapBatchDelay)
		}
		now := clock.Now()
		loadDelay := d.loadDelay()
		if request.Node != nil && request.LoadsSince != d.loads.revision && now-askedAt >= loadDelay {
			end = now
		}
		d.mu.Unlock()
		if urgent || now >= end {
			return true
		}
		// Loads change all the time: they wake nobody, but are looked at again.
		wait, cancel := context.WithTimeout(ctx, clock.Duration(min(end-now, loadDelay)))
		taskgroup.Receive(wait, changed)
		cancel()
		if ctx.Err() != nil {
			return false
		}
	}
}

// hasUrgentChange reports whether a question is answered at once. Called under the lock.
func (d *Directory) hasUrgentChange(request *fb.MapRequestT, askedAt int64) bool {
	switch {
	case d.config.known && request.HaveRevision != d.config.revision:
		return true
	case request.Incarnation != d.incarnation || request.UpdatesIncarnation != d.incarnation || len(d.unsentEvents(request)) > 0:
		return true
	}
	return request.HaveMap != d.mapRevision && clock.Now()-askedAt >= mapBatchDelay
}

// respond answers a question that came at a time.
func (d *Directory) respond(request *fb.MapRequestT, askedAt int64) *fb.MapResponseT {
	voters, live := d.control.VoterAddrs(), d.control.LiveNodes(clock.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	response := &fb.MapResponseT{
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
	if request.HaveRevision != d.config.revision {
		response.Config = d.config.value
	}
	for _, node := range live {
		if node.Role == membership.RoleProxy {
			response.Proxies++
		}
	}
	if request.Incarnation != d.incarnation || request.HaveMap != d.mapRevision {
		response.FullMap = true
		response.Engines = d.mapEngines()
	}
	if response.FullMap || request.Node == nil {
		response.Announced = d.announcedVersions(now)
		response.AnnouncedTerm = d.announcements.Term()
	}
	if request.Node != nil { // another core machine follows the engines itself
		d.addLoads(response, request)
		d.addEvents(response, request)
	}
	return response
}

// addLoads adds what the other proxies have under way. Called under the lock.
func (d *Directory) addLoads(response *fb.MapResponseT, request *fb.MapRequestT) {
	since := request.LoadsSince
	if request.Incarnation != d.incarnation {
		since = 0
	}
	response.Loads, response.LoadsChangedOnly = d.loads.others(idOf(request.Node), since)
	response.LoadsRevision = d.loads.revision
}

// addEvents adds the next page of cache events for a proxy. Called under the lock.
func (d *Directory) addEvents(response *fb.MapResponseT, request *fb.MapRequestT) {
	batch := d.nextEvents(request)
	response.Complete = len(d.readers) > 0 && len(d.unsentEvents(request)) == 0
	for _, reader := range d.readers {
		response.Complete = response.Complete && reader.answered
	}
	response.UpdatesIncarnation, response.UpdatesNext, response.UpdatesReset = batch.Incarnation, batch.Next, batch.Reset
	for _, event := range batch.Updates {
		response.Updates = append(response.Updates, codec.PackUpdate(event))
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
			id := placement.StoreID(pool.StoreAddr)
			out = append(out, &fb.MapEngineT{Id: id, Addr: pool.StoreAddr, Zone: pool.Zone, Store: true, Unhealthy: down(id)})
		}
	}
	return out
}

// announcedVersions lists how long ago each version of weights was announced. Called under
// the lock.
func (d *Directory) announcedVersions(now int64) (out []*fb.AnnouncedVersionT) {
	d.announcements.Each(func(model string, version uint64, at, first int64) {
		out = append(out, &fb.AnnouncedVersionT{Model: model, Version: version, Age: now - at, TotalAge: now - first})
	})
	return out
}
