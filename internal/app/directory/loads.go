package directory

import (
	"context"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	maxLoadAge        = 1_500_000 // the loads of a proxy not heard from for longer are dropped
	loadsInterval     = 50_000    // between two broadcasts to the other control nodes
	fullLoadsInterval = 1_000_000 // between two full broadcasts, since a broadcast may be lost
	minLoadDelay      = 20_000    // for which load changes are batched before a poll is answered
	loadDelayPerProxy = 1_000     // batching delay per polling proxy, if that is more in total
)

// proxyState is the state of a proxy, as it last reported to this node or another one.
type proxyState struct {
	lastSeenAt     int64
	direct         bool                // it polls or reports to this node
	unsentSnapshot []cacheindex.Update // unsent part of a snapshot that it receives in pages
}

// loadBroadcast describes the last broadcast to the other control nodes.
type loadBroadcast struct {
	revision uint64 // of the loads in it
	fullAt   int64  // time of the last full broadcast
}

// recordProxy records the state that a proxy reports with a poll.
func (d *Directory) recordProxy(now int64, request *fb.MapRequestT) {
	d.control.RecordHeartbeat(now, request.Node)
	d.mu.Lock()
	defer d.mu.Unlock()
	id := proxyIDOf(request.Node)
	d.recordContact(now, id)
	d.loads.set(id, request.LoadsSequence, request.Loads, false)
}

// proxyIDOf returns the id of a proxy that polls.
func proxyIDOf(node *fb.NodeT) proxyID { return proxyID{node.Name, node.Incarnation} }

// recordContact records that a proxy communicates with this node. Called under the lock.
func (d *Directory) recordContact(now int64, id proxyID) {
	proxy := &proxyState{lastSeenAt: now, direct: true}
	known := d.proxies[id]
	if known != nil && known.direct {
		proxy.unsentSnapshot = known.unsentSnapshot
	}
	if known == nil {
		d.dropPreviousIncarnations(now, id)
	}
	d.proxies[id] = proxy
}

// dropPreviousIncarnations removes the incarnations of a restarted proxy that were last seen no
// later than this one, which was last seen at lastSeenAt. Called under the lock.
func (d *Directory) dropPreviousIncarnations(lastSeenAt int64, id proxyID) {
	for other, proxy := range d.proxies {
		if other.name == id.name && other != id && proxy.lastSeenAt <= lastSeenAt {
			delete(d.proxies, other)
			d.loads.remove(other)
		}
	}
}

// broadcastLoads sends the loads of the proxies that poll this node to the other core machines.
func (d *Directory) broadcastLoads(context.Context) {
	now := clock.Now()
	d.mu.Lock()
	update := d.nextBroadcast(now)
	d.mu.Unlock()
	if len(update.Proxies) > 0 {
		d.control.Broadcast(&fb.FrameT{LoadUpdate: update})
	}
}

// nextBroadcast returns the next broadcast to the other core machines. Called under the lock.
func (d *Directory) nextBroadcast(now int64) *fb.LoadUpdateT {
	d.expireProxies(now)
	last := d.broadcast
	if now-last.fullAt >= fullLoadsInterval {
		last = loadBroadcast{fullAt: now}
	}
	d.broadcast = loadBroadcast{d.loads.revision, last.fullAt}
	loads, changedOnly := d.loads.perProxy(last.revision)
	d.directProxies = 0
	update := &fb.LoadUpdateT{}
	for id, proxy := range d.proxies {
		if !proxy.direct {
			continue
		}
		d.directProxies++
		reads := d.unsentReads
		d.unsentReads = nil // all are sent with the first proxy, whichever reported them
		if !changedOnly || len(loads[id])+len(reads) > 0 {
			update.Proxies = append(update.Proxies, &fb.ProxyLoadT{
				Name:        id.name,
				Incarnation: id.incarnation,
				Age:         now - proxy.lastSeenAt,
				Loads:       loads[id],
				Sequence:    d.loads.sequences[id],
				ChangedOnly: changedOnly,
				Updates:     reads,
			})
		}
	}
	return update
}

// loadDelay returns how long a poll waits so that load changes are batched. It grows with the
// number of polling proxies, to limit the cost of the responses to this node. Called under the lock.
func (d *Directory) loadDelay() int64 {
	return max(minLoadDelay, int64(d.directProxies)*loadDelayPerProxy)
}

// expireProxies removes proxies that were not heard from within maxLoadAge. Called under the lock.
func (d *Directory) expireProxies(now int64) {
	for id, proxy := range d.proxies {
		if now-proxy.lastSeenAt > maxLoadAge {
			delete(d.proxies, id)
			d.loads.remove(id)
		}
	}
}

// mergeLoads merges a broadcast of another core machine, or a report that a proxy sends between
// two polls. Loads with a lower sequence number than the last known ones are ignored.
func (d *Directory) mergeLoads(now int64, update *fb.LoadUpdateT) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, report := range update.Proxies {
		d.recordReads(report.Updates, update.Direct)
		id := proxyID{report.Name, report.Incarnation}
		if report.Age < 0 || !d.loads.set(id, report.Sequence, report.Loads, report.ChangedOnly) {
			continue
		}
		known := d.proxies[id]
		if known == nil {
			d.dropPreviousIncarnations(now-report.Age, id)
		}
		switch {
		case update.Direct:
			d.recordContact(now, id)
		case known == nil || known.lastSeenAt < now-report.Age:
			d.proxies[id] = &proxyState{lastSeenAt: now - report.Age}
		}
	}
}

// maxUnsentReads limits the reported reads that are queued for the next broadcast.
const maxUnsentReads = 4000

// recordReads records which blocks engines are computing or have computed, as reported by proxies:
// the engines' own events arrive later, and some never do. Reports that came from a proxy directly
// are queued for the other core machines. Called under the lock.
func (d *Directory) recordReads(updates []*fb.CacheUpdateT, direct bool) {
	for _, update := range updates {
		d.recordRead(update)
	}
	if direct && len(d.unsentReads) < maxUnsentReads {
		d.unsentReads = append(d.unsentReads, updates...)
	}
}

// recordRead records one block that an engine is computing or has computed. Called under the lock.
func (d *Directory) recordRead(packed *fb.CacheUpdateT) {
	update := codec.UnpackUpdate(packed)
	cached, followed := d.cachedBlocks[update.Node]
	if !followed {
		return // the engine is gone or not known yet
	}
	switch {
	case cached[update.Key]:
	case update.Op == cacheindex.OpComputing:
		d.events.Append(update)
	case update.Op == cacheindex.OpAdd:
		cached[update.Key] = true
		d.events.Append(update)
	}
}
