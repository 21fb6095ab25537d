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
	maxResponseDelay = 400_000 // longest time for which a long poll is held
	mapBatchDelay    = 60_000  // for which changes of the map are batched, since several often come together
)

// Handle handles frames from proxies and other nodes. It returns nil if there is no response, or
// if the frame is not for a directory.
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

// awaitChange holds a poll that arrived at receivedAt until there is an urgent change or it was
// held for long enough. It returns false if the requester is gone.
func (d *Directory) awaitChange(ctx context.Context, receivedAt int64, request *fb.MapRequestT) bool {
	end := receivedAt + min(max(request.Hold, 0), maxResponseDelay)
	for {
		d.mu.Lock()
		changed, urgent := d.changed, d.hasUrgentChange(request, receivedAt)
		if request.HaveMap != d.mapRevision {
			end = min(end, receivedAt+mapBatchDelay)
		}
		now := clock.Now()
		loadDelay := d.loadDelay()
		if request.Node != nil && request.LoadsSince != d.loads.revision && now-receivedAt >= loadDelay {
			end = now
		}
		d.mu.Unlock()
		if urgent || now >= end {
			return true
		}
		// Loads change too often to wake polls for each change: they are checked again after loadDelay.
		wait, cancel := context.WithTimeout(ctx, clock.Duration(min(end-now, loadDelay)))
		taskgroup.Receive(wait, changed)
		cancel()
		if ctx.Err() != nil {
			return false
		}
	}
}

// hasUrgentChange reports whether a poll must be answered at once. Called under the lock.
func (d *Directory) hasUrgentChange(request *fb.MapRequestT, receivedAt int64) bool {
	switch {
	case d.config.known && request.HaveRevision != d.config.revision:
		return true
	case request.Incarnation != d.incarnation || request.UpdatesIncarnation != d.incarnation || len(d.unsentEvents(request)) > 0:
		return true
	}
	return request.HaveMap != d.mapRevision && clock.Now()-receivedAt >= mapBatchDelay
}

// respond returns the response to a poll that arrived at receivedAt.
func (d *Directory) respond(request *fb.MapRequestT, receivedAt int64) *fb.MapResponseT {
	voters, live := d.control.VoterAddrs(), d.control.LiveNodes(clock.Now())
	d.mu.Lock()
	defer d.mu.Unlock()
	now := clock.Now()
	response := &fb.MapResponseT{
		Incarnation:  d.incarnation,
		Zone:         d.settings.Zone,
		Waited:       now - receivedAt,
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
	if request.Node != nil { // a proxy; other core machines poll the engines themselves
		d.addLoads(response, request)
		d.addEvents(response, request)
	}
	return response
}

// addLoads adds the loads of the other proxies. Called under the lock.
func (d *Directory) addLoads(response *fb.MapResponseT, request *fb.MapRequestT) {
	since := request.LoadsSince
	if request.Incarnation != d.incarnation {
		since = 0
	}
	response.Loads, response.LoadsChangedOnly = d.loads.totalsExcept(proxyIDOf(request.Node), since)
	response.LoadsRevision = d.loads.revision
}

// addEvents adds the next page of cache events for a proxy. Called under the lock.
func (d *Directory) addEvents(response *fb.MapResponseT, request *fb.MapRequestT) {
	batch := d.nextEvents(request)
	response.Complete = len(d.readers) > 0 && len(d.unsentEvents(request)) == 0
	for _, reader := range d.readers {
		response.Complete = response.Complete && reader.polled
	}
	response.UpdatesIncarnation, response.UpdatesNext, response.UpdatesReset = batch.Incarnation, batch.Next, batch.Reset
	for _, event := range batch.Updates {
		response.Updates = append(response.Updates, codec.PackUpdate(event))
	}
}

// ageSince returns the age of data read at readAt, or codec.AgeNeverRead if readAt is 0.
func ageSince(now, readAt int64) int64 {
	if readAt == 0 {
		return codec.AgeNeverRead
	}
	return now - readAt
}

// mapEngines returns the map as proxies see it, including stores. Called under the lock.
func (d *Directory) mapEngines() (out []*fb.MapEngineT) {
	unhealthy := func(id string) bool { reader := d.readers[id]; return reader != nil && reader.unhealthy() }
	for _, engine := range d.listedEngines {
		shown := &fb.MapEngineT{
			Id:        engine.ID,
			Pool:      engine.Pool,
			Addr:      engine.Addr,
			Zone:      engine.Zone,
			Draining:  engine.Draining,
			Slots:     uint32(engine.Slots),
			Unhealthy: unhealthy(engine.ID),
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
			out = append(out, &fb.MapEngineT{Id: id, Addr: pool.StoreAddr, Zone: pool.Zone, Store: true, Unhealthy: unhealthy(id)})
		}
	}
	return out
}

// announcedVersions returns how long ago each version of the weights was announced. Called under
// the lock.
func (d *Directory) announcedVersions(now int64) (out []*fb.AnnouncedVersionT) {
	d.announcements.Each(func(model string, version uint64, at, first int64) {
		out = append(out, &fb.AnnouncedVersionT{Model: model, Version: version, Age: now - at, TotalAge: now - first})
	})
	return out
}
