package directory

import (
	"context"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/schema/fb"
)

const (
	loadsLifetime = 1_500_000 // what a proxy had under way counts no longer than this
	loadsInterval = 200_000   // between two tellings to the other control nodes
)

// proxy is what a proxy has under way, as last told here or to another node.
type proxyState struct {
	heardAt int64
	direct  bool // it asks this node
	loads   []*fb.LoadT
	unsent  []cacheindex.Update // of a snapshot that it gets in pages
}

// tellLoads tells the other nodes what the proxies that ask here have under way.
func (d *Directory) broadcastLoads(context.Context) {
	now := clock.Now()
	m := &fb.LoadTellT{}
	d.mu.Lock()
	for n, p := range d.proxies {
		switch {
		case now-p.heardAt > loadsLifetime:
			delete(d.proxies, n)
		case p.direct:
			m.Proxies = append(m.Proxies, &fb.ProxyLoadT{Name: n, Age: now - p.heardAt, Loads: p.loads})
		}
	}
	d.mu.Unlock()
	if len(m.Proxies) == 0 {
		return
	}
	d.control.Broadcast(&fb.FrameT{LoadTell: m})
}

func (d *Directory) mergeLoads(now int64, m *fb.LoadTellT) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, p := range m.Proxies {
		if o := d.proxies[p.Name]; p.Age >= 0 && (o == nil || o.heardAt < now-p.Age) {
			d.proxies[p.Name] = &proxyState{heardAt: now - p.Age, loads: p.Loads}
		}
	}
}

// others sums what all proxies but one have under way. Called under the lock.
func (d *Directory) loadsOfOthers(now int64, but string) (out []*fb.LoadT) {
	sum := map[uint64]*fb.LoadT{}
	for n, p := range d.proxies {
		if n == but || now-p.heardAt > loadsLifetime {
			continue
		}
		for _, l := range p.loads {
			x := sum[l.Node]
			if x == nil {
				x = &fb.LoadT{Node: l.Node}
				sum[l.Node] = x
				out = append(out, x)
			}
			x.Active, x.Reading, x.Tokens = x.Active+l.Active, x.Reading+l.Reading, x.Tokens+l.Tokens
		}
	}
	return out
}
