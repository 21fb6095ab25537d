package directory

import (
	"context"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	loadsLifetime = 1_500_000 // what a proxy had under way counts no longer than this
	loadsInterval = 200_000   // between two broadcasts to the other control nodes
)

// proxyState is what is known of a proxy, as it last told this node or another one.
type proxyState struct {
	heardAt int64
	direct  bool // it asks this node
	loads   []*fb.EngineLoadT
	unsent  []cacheindex.Update // of a snapshot that it gets in pages
}

// recordProxy takes in what a proxy tells of itself as it asks.
func (d *Directory) recordProxy(now int64, request *fb.MapRequestT) {
	d.control.RecordHeartbeat(now, request.Node)
	d.mu.Lock()
	defer d.mu.Unlock()
	proxy := &proxyState{heardAt: now, direct: true, loads: request.Loads}
	if known := d.proxies[request.Node.Name]; known != nil && known.direct {
		proxy.unsent = known.unsent
	}
	d.proxies[request.Node.Name] = proxy
}

// broadcastLoads tells the other core machines what the proxies that ask here have under
// way.
func (d *Directory) broadcastLoads(context.Context) {
	now := clock.Now()
	loads := &fb.LoadUpdateT{}
	d.mu.Lock()
	for name, proxy := range d.proxies {
		switch {
		case now-proxy.heardAt > loadsLifetime:
			delete(d.proxies, name)
		case proxy.direct:
			loads.Proxies = append(loads.Proxies, &fb.ProxyLoadT{Name: name, Age: now - proxy.heardAt, Loads: proxy.loads})
		}
	}
	d.mu.Unlock()
	if len(loads.Proxies) == 0 {
		return
	}
	d.control.Broadcast(&fb.FrameT{LoadUpdate: loads})
}

// mergeLoads takes in what another core machine broadcast; the newer one counts.
func (d *Directory) mergeLoads(now int64, loads *fb.LoadUpdateT) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, heard := range loads.Proxies {
		known := d.proxies[heard.Name]
		if heard.Age >= 0 && (known == nil || known.heardAt < now-heard.Age) {
			d.proxies[heard.Name] = &proxyState{heardAt: now - heard.Age, loads: heard.Loads}
		}
	}
}

// loadsOfOthers sums what all proxies but one have under way, by engine. Called under the
// lock.
func (d *Directory) loadsOfOthers(now int64, except string) (out []*fb.EngineLoadT) {
	sums := map[uint64]*fb.EngineLoadT{}
	for name, proxy := range d.proxies {
		if name == except || now-proxy.heardAt > loadsLifetime {
			continue
		}
		for _, load := range proxy.loads {
			sum := sums[load.Node]
			if sum == nil {
				sum = &fb.EngineLoadT{Node: load.Node}
				sums[load.Node] = sum
				out = append(out, sum)
			}
			sum.Active += load.Active
			sum.PrefillTokens += load.PrefillTokens
			sum.MemoryTokens += load.MemoryTokens
		}
	}
	return out
}
