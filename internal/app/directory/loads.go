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
	loadsLifetime     = 1_500_000 // what a proxy had under way counts no longer than this
	loadsInterval     = 50_000    // between two broadcasts to the other control nodes
	fullLoadsInterval = 1_000_000 // between two that say everything: a broadcast may be lost
	minLoadDelay      = 20_000    // for which changes of loads gather, and go out together
	loadDelayForProxy = 1_000     // of that, for each proxy that asks
)

// proxyState is what is known of a proxy, as it last told this node or another one.
type proxyState struct {
	heardAt int64
	direct  bool                // it asks this node
	unsent  []cacheindex.Update // of a snapshot that it gets in pages
}

// loadBroadcast is what the other control nodes were told last.
type loadBroadcast struct {
	revision uint64 // of the loads
	fullAt   int64  // when everything was told
}

// recordProxy takes in what a proxy tells of itself as it asks.
func (d *Directory) recordProxy(now int64, request *fb.MapRequestT) {
	d.control.RecordHeartbeat(now, request.Node)
	d.mu.Lock()
	defer d.mu.Unlock()
	id := idOf(request.Node)
	d.heardOf(now, id)
	d.loads.set(id, request.LoadsSequence, request.Loads, false)
}

// idOf is the incarnation of a proxy that asks.
func idOf(node *fb.NodeT) proxyID { return proxyID{node.Name, node.Incarnation} }

// heardOf notes that a proxy speaks to this node. Called under the lock.
func (d *Directory) heardOf(now int64, id proxyID) {
	proxy := &proxyState{heardAt: now, direct: true}
	known := d.proxies[id]
	if known != nil && known.direct {
		proxy.unsent = known.unsent
	}
	if known == nil {
		d.forgetFormer(now, id)
	}
	d.proxies[id] = proxy
}

// forgetFormer drops the incarnations of a proxy that were heard of before the time at which
// this one was: it has started again. Called under the lock.
func (d *Directory) forgetFormer(heardAt int64, id proxyID) {
	for other, proxy := range d.proxies {
		if other.name == id.name && other != id && proxy.heardAt <= heardAt {
			delete(d.proxies, other)
			d.loads.forget(other)
		}
	}
}

// broadcastLoads tells the other core machines what the proxies that ask here have under
// way.
func (d *Directory) broadcastLoads(context.Context) {
	now := clock.Now()
	d.mu.Lock()
	update := d.nextBroadcast(now)
	d.mu.Unlock()
	if len(update.Proxies) > 0 {
		d.control.Broadcast(&fb.FrameT{LoadUpdate: update})
	}
}

// nextBroadcast is what the other core machines are told now. Called under the lock.
func (d *Directory) nextBroadcast(now int64) *fb.LoadUpdateT {
	d.forgetSilentProxies(now)
	last := d.broadcast
	if now-last.fullAt >= fullLoadsInterval {
		last = loadBroadcast{fullAt: now}
	}
	d.broadcast = loadBroadcast{d.loads.revision, last.fullAt}
	loads, changedOnly := d.loads.ofProxies(last.revision)
	d.proxiesHere = 0
	update := &fb.LoadUpdateT{}
	for id, proxy := range d.proxies {
		if !proxy.direct {
			continue
		}
		d.proxiesHere++
		reads := d.unsentReads
		d.unsentReads = nil // they go with the first proxy, whoever told them
		if !changedOnly || len(loads[id])+len(reads) > 0 {
			update.Proxies = append(update.Proxies, &fb.ProxyLoadT{
				Name:        id.name,
				Incarnation: id.incarnation,
				Age:         now - proxy.heardAt,
				Loads:       loads[id],
				Sequence:    d.loads.sequences[id],
				ChangedOnly: changedOnly,
				Updates:     reads,
			})
		}
	}
	return update
}

// loadDelay is how long a question waits for changes of loads to gather: longer the more
// proxies ask, so that the answers cost no more than this node can bear. Called under the lock.
func (d *Directory) loadDelay() int64 {
	return max(minLoadDelay, int64(d.proxiesHere)*loadDelayForProxy)
}

// forgetSilentProxies drops proxies that were not heard of lately. Called under the lock.
func (d *Directory) forgetSilentProxies(now int64) {
	for id, proxy := range d.proxies {
		if now-proxy.heardAt > loadsLifetime {
			delete(d.proxies, id)
			d.loads.forget(id)
		}
	}
}

// mergeLoads takes in what another core machine broadcast, or what a proxy tells of itself
// between two questions; the newer one counts.
func (d *Directory) mergeLoads(now int64, update *fb.LoadUpdateT) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, heard := range update.Proxies {
		d.noteReads(heard.Updates, update.Direct)
		id := proxyID{heard.Name, heard.Incarnation}
		if heard.Age < 0 || !d.loads.set(id, heard.Sequence, heard.Loads, heard.ChangedOnly) {
			continue
		}
		known := d.proxies[id]
		if known == nil {
			d.forgetFormer(now-heard.Age, id)
		}
		switch {
		case update.Direct:
			d.heardOf(now, id)
		case known == nil || known.heardAt < now-heard.Age:
			d.proxies[id] = &proxyState{heardAt: now - heard.Age}
		}
	}
}

// maxUnsentReads bounds what is kept for the other core machines of blocks that engines read.
const maxUnsentReads = 4000

// noteReads takes in which blocks engines compute, or have computed, as proxies saw: their own
// events come later, and some never. What a proxy told this node goes on to the other core
// machines. Called under the lock.
func (d *Directory) noteReads(updates []*fb.CacheUpdateT, direct bool) {
	for _, update := range updates {
		d.noteRead(update)
	}
	if direct && len(d.unsentReads) < maxUnsentReads {
		d.unsentReads = append(d.unsentReads, updates...)
	}
}

// noteRead takes in one block that an engine computes or has computed. Called under the lock.
func (d *Directory) noteRead(packed *fb.CacheUpdateT) {
	update := codec.UnpackUpdate(packed)
	cached, followed := d.cachedBlocks[update.Node]
	if !followed {
		return // gone, or not known yet
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
