package directory

import (
	"context"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/placement"
	"violetthread/schema/fb"
)

// maxEventsPerResponse limits the cache events in one response: the links to proxies have little
// bandwidth, and a proxy that times out polls another node, which would have to start from the
// beginning.
const maxEventsPerResponse = 1500

// Microseconds.
const (
	eventPollInterval = 150_000 // between a response and the next poll of an engine, so that events are batched
	// otherZonePollInterval is eventPollInterval for engines of other zones. Proxies report which
	// blocks engines read for them, so that events from other zones are rarely needed sooner.
	otherZonePollInterval = 450_000
	eventPollTimeout      = 900_000 // longest time for which an engine may hold a long poll
	eventPollMargin       = 400_000 // added to it, for the response to arrive
)

// unhealthyThreshold is the number of consecutive failed polls after which an engine or store
// counts as unhealthy.
const unhealthyThreshold = 2

// eventSource is an engine or store whose cache events are polled.
type eventSource struct {
	addr, zone string
	node       uint64 // its id in cache updates
}

// eventSources lists the engines and stores to poll, by id. Engines of pools without models are
// not polled, and so have no health check. Called under the lock.
func (d *Directory) eventSources() map[string]eventSource {
	sources := map[string]eventSource{}
	if d.table == nil {
		return sources
	}
	for _, pool := range d.table.Stores() {
		sources[placement.StoreID(pool.StoreAddr)] = eventSource{pool.StoreAddr, pool.Zone, placement.StoreHolderID(pool.StoreAddr)}
	}
	for _, engine := range d.listedEngines {
		if pool := d.table.Pool(engine.Pool); pool != nil && len(pool.Models) > 0 {
			sources[engine.ID] = eventSource{engine.Addr, engine.Zone, placement.EngineHolderID(engine.ID)}
		}
	}
	return sources
}

// syncReaders starts a reader for each source that has none, and stops the readers of sources that
// are gone. Called under the lock.
func (d *Directory) syncReaders() {
	sources := d.eventSources()
	for id, reader := range d.readers {
		if _, ok := sources[id]; !ok {
			reader.stop()
			delete(d.readers, id)
			d.removeCached(reader.node)
		}
	}
	for id, source := range sources {
		if d.readers[id] == nil {
			ctx, cancel := context.WithCancel(d.group.Context())
			reader := &eventReader{directory: d, eventSource: source, stop: cancel}
			d.readers[id] = reader
			d.group.Go("directory.cache_events", func(context.Context) { reader.run(ctx) })
		}
	}
}

// removeCached records that a node no longer caches any blocks. Called under the lock.
func (d *Directory) removeCached(node uint64) {
	for key := range d.cachedBlocks[node] {
		d.events.Append(cacheindex.Update{Key: key, Node: node, Op: cacheindex.OpRemove})
	}
	delete(d.cachedBlocks, node)
}

// cacheSnapshot lists all cached blocks, for proxies that are too far behind for incremental
// updates. Called by events, under the lock.
func (d *Directory) cacheSnapshot() []cacheindex.Update {
	var snapshot []cacheindex.Update
	for node, keys := range d.cachedBlocks {
		for key := range keys {
			snapshot = append(snapshot, cacheindex.Update{Key: key, Node: node, Op: cacheindex.OpAdd})
		}
	}
	return snapshot
}

// eventReader polls the cache events of one engine or store.
type eventReader struct {
	eventSource
	directory *Directory
	stop      context.CancelFunc
	epoch     string // of the source, from its last response
	cursor    string // of the next poll; like epoch, used only by run
	failures  int    // consecutive failed polls
	polled    bool   // at least one poll has succeeded or failed
}

func (r *eventReader) run(ctx context.Context) {
	pause := int64(eventPollInterval)
	if r.zone != r.directory.settings.Zone {
		pause = otherZonePollInterval
	}
	for ctx.Err() == nil {
		pollCtx, cancel := context.WithTimeout(ctx, clock.Duration(eventPollTimeout+eventPollMargin))
		page, err := r.directory.platform.CacheEvents(pollCtx, r.addr, r.cursor, eventPollTimeout)
		cancel()
		if ctx.Err() != nil {
			return
		}
		r.handle(page, err)
		if !taskgroup.Sleep(ctx, pause) {
			return
		}
	}
}

// handle processes a response, or the failure of a poll.
func (r *eventReader) handle(page CacheEventPage, err error) {
	d := r.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	wasUnhealthy := r.unhealthy()
	r.polled = true
	if err != nil {
		r.failures++
	} else {
		r.failures = 0
		r.apply(page)
	}
	if r.unhealthy() != wasUnhealthy {
		d.mapRevision++
		d.notify()
	}
}

// unhealthy reports whether the source counts as unhealthy.
func (r *eventReader) unhealthy() bool { return r.failures >= unhealthyThreshold }

// apply applies a page of events. Called under the lock.
func (r *eventReader) apply(page CacheEventPage) {
	d := r.directory
	if page.Epoch != r.epoch {
		if r.epoch != "" {
			d.removeCached(r.node) // the source restarted with an empty cache
		}
		if r.epoch != "" && len(page.Events) == 0 && r.cursor != "" {
			// Cursors restart with the epoch: poll from the beginning.
			r.epoch, r.cursor = page.Epoch, ""
			return
		}
		r.epoch = page.Epoch
	}
	r.cursor = page.Next
	cached := d.cachedBlocks[r.node]
	if cached == nil {
		cached = map[cacheindex.Key]bool{}
		d.cachedBlocks[r.node] = cached
	}
	for _, event := range page.Events {
		key := cacheindex.BlockKey(event.Salt, event.Model, event.Block)
		if event.Cached == cached[key] {
			continue
		}
		op := cacheindex.OpAdd
		if event.Cached {
			cached[key] = true
		} else {
			delete(cached, key)
			op = cacheindex.OpRemove
		}
		d.events.Append(cacheindex.Update{Key: key, Node: r.node, Op: op})
	}
}

// unsentEvents returns the unsent part of a snapshot that a proxy receives in pages. Called under
// the lock.
func (d *Directory) unsentEvents(request *fb.MapRequestT) []cacheindex.Update {
	if request.Node == nil || d.proxies[proxyIDOf(request.Node)] == nil {
		return nil
	}
	return d.proxies[proxyIDOf(request.Node)].unsentSnapshot
}

// nextEvents returns the next page of cache events for a proxy. Called under the lock.
func (d *Directory) nextEvents(request *fb.MapRequestT) cacheindex.UpdateBatch {
	var proxy *proxyState
	if request.Node != nil {
		proxy = d.proxies[proxyIDOf(request.Node)]
	}
	if proxy != nil && len(proxy.unsentSnapshot) > 0 && request.UpdatesIncarnation == d.incarnation {
		page := proxy.unsentSnapshot[:min(maxEventsPerResponse, len(proxy.unsentSnapshot))]
		proxy.unsentSnapshot = proxy.unsentSnapshot[len(page):]
		return cacheindex.UpdateBatch{Incarnation: request.UpdatesIncarnation, Next: request.UpdatesSince, Updates: page}
	}
	batch := d.events.Since(request.UpdatesIncarnation, request.UpdatesSince, maxEventsPerResponse)
	if proxy != nil {
		proxy.unsentSnapshot = nil
		if batch.Reset && len(batch.Updates) > maxEventsPerResponse {
			batch.Updates, proxy.unsentSnapshot = batch.Updates[:maxEventsPerResponse], batch.Updates[maxEventsPerResponse:]
		}
	}
	return batch
}
