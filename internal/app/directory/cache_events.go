package directory

import (
	"context"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/placement"
	"violetthread/schema/fb"
)

// maxEventsPerResponse bounds the cache events in one response: proxies' links are narrow,
// and a response that takes too long is given up and asked of another node, who would begin anew.
const maxEventsPerResponse = 1500

// Microseconds.
const (
	eventPollPause = 150_000 // between questions to one engine, so that events come in lots
	// farEventPollPause is the pause for engines of other zones. Proxies report what engines
	// read for them, so that news of far engines is seldom needed sooner.
	farEventPollPause = 450_000
	eventPollTimeout  = 900_000 // for which an engine may delay an answer
	eventPollMargin   = 400_000 // beyond that, for the answer to come
)

// failuresUntilDown is how many questions in a row fail before an engine counts as down.
const failuresUntilDown = 2

// eventSource is an engine or store whose cache events are followed.
type eventSource struct {
	addr, zone string
	node       uint64 // that stands for it in cache events
}

// eventSources lists, by id, what is to be followed. Engines of pools without models have no
// reader, and so no health check. Called under the lock.
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

// syncReaders makes sure that every source has a reader, and nobody else. Called under the
// lock.
func (d *Directory) syncReaders() {
	sources := d.eventSources()
	for id, reader := range d.readers {
		if _, ok := sources[id]; !ok {
			reader.stop()
			delete(d.readers, id)
			d.dropCached(reader.node)
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

// dropCached records that a node keeps nothing any more. Called under the lock.
func (d *Directory) dropCached(node uint64) {
	for key := range d.cachedBlocks[node] {
		d.events.Append(cacheindex.Update{Key: key, Node: node, Op: cacheindex.OpRemove})
	}
	delete(d.cachedBlocks, node)
}

// cacheSnapshot lists all that is cached, for who can't follow the changes. Called under
// the lock, by events.
func (d *Directory) cacheSnapshot() []cacheindex.Update {
	var snapshot []cacheindex.Update
	for node, keys := range d.cachedBlocks {
		for key := range keys {
			snapshot = append(snapshot, cacheindex.Update{Key: key, Node: node, Op: cacheindex.OpAdd})
		}
	}
	return snapshot
}

// eventReader follows the cache events of one engine or store.
type eventReader struct {
	eventSource
	directory *Directory
	stop      context.CancelFunc
	epoch     string // of the source, as it last answered
	cursor    string // of the next question; of run alone, as epoch
	failures  int    // questions in a row that failed
	answered  bool   // has answered or failed at least once
}

func (r *eventReader) run(ctx context.Context) {
	pause := int64(eventPollPause)
	if r.zone != r.directory.settings.Zone {
		pause = farEventPollPause
	}
	for ctx.Err() == nil {
		question, cancel := context.WithTimeout(ctx, clock.Duration(eventPollTimeout+eventPollMargin))
		page, err := r.directory.platform.CacheEvents(question, r.addr, r.cursor, eventPollTimeout)
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

// handle takes in an answer, or that there was none.
func (r *eventReader) handle(page CacheEventPage, err error) {
	d := r.directory
	d.mu.Lock()
	defer d.mu.Unlock()
	wasDown := r.down()
	r.answered = true
	if err != nil {
		r.failures++
	} else {
		r.failures = 0
		r.apply(page)
	}
	if r.down() != wasDown {
		d.mapRevision++
		d.notify()
	}
}

// down reports whether the source counts as down.
func (r *eventReader) down() bool { return r.failures >= failuresUntilDown }

// apply takes in a page of events. Called under the lock.
func (r *eventReader) apply(page CacheEventPage) {
	d := r.directory
	if page.Epoch != r.epoch {
		if r.epoch != "" {
			d.dropCached(r.node) // it started anew, with nothing cached
		}
		if r.epoch != "" && len(page.Events) == 0 && r.cursor != "" {
			// Its cursors began anew: ask from the start.
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

// unsentEvents is the rest of a snapshot that a proxy gets in pages. Called under the lock.
func (d *Directory) unsentEvents(request *fb.MapRequestT) []cacheindex.Update {
	if request.Node == nil || d.proxies[idOf(request.Node)] == nil {
		return nil
	}
	return d.proxies[idOf(request.Node)].unsent
}

// nextEvents is the next page of cache events for a proxy. Called under the lock.
func (d *Directory) nextEvents(request *fb.MapRequestT) cacheindex.UpdateBatch {
	var proxy *proxyState
	if request.Node != nil {
		proxy = d.proxies[idOf(request.Node)]
	}
	if proxy != nil && len(proxy.unsent) > 0 && request.UpdatesIncarnation == d.incarnation {
		page := proxy.unsent[:min(maxEventsPerResponse, len(proxy.unsent))]
		proxy.unsent = proxy.unsent[len(page):]
		return cacheindex.UpdateBatch{Incarnation: request.UpdatesIncarnation, Next: request.UpdatesSince, Updates: page}
	}
	batch := d.events.Since(request.UpdatesIncarnation, request.UpdatesSince, maxEventsPerResponse)
	if proxy != nil {
		proxy.unsent = nil
		if batch.Reset && len(batch.Updates) > maxEventsPerResponse {
			batch.Updates, proxy.unsent = batch.Updates[:maxEventsPerResponse], batch.Updates[maxEventsPerResponse:]
		}
	}
	return batch
}
