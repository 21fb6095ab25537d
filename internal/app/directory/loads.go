package directory

import (
	"context"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/schema/fb"
)

const (
	loadsOld   = 1_500_000 // what a proxy had under way counts no longer than this
	loadsEvery = 200_000   // between two tellings to the other control nodes
)

// proxy is what a proxy has under way, as last told here or to another node.
type proxy struct {
	at     int64
	direct bool // it asks this node
	loads  []*fb.LoadT
	rest   []cacheindex.Update // of a snapshot that it gets in pages
}

// tellLoads tells the other nodes what the proxies that ask here have under way.
func (t *Directory) tellLoads(context.Context) {
	now := clock.Now()
	m := &fb.LoadTellT{}
	t.mu.Lock()
	for n, p := range t.proxies {
		switch {
		case now-p.at > loadsOld:
			delete(t.proxies, n)
		case p.direct:
			m.Proxies = append(m.Proxies, &fb.ProxyLoadT{Name: n, Age: now - p.at, Loads: p.loads})
		}
	}
	t.mu.Unlock()
	if len(m.Proxies) == 0 {
		return
	}
	t.control.Tell(&fb.FrameT{LoadTell: m})
}

func (t *Directory) hearLoads(now int64, m *fb.LoadTellT) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range m.Proxies {
		if o := t.proxies[p.Name]; p.Age >= 0 && (o == nil || o.at < now-p.Age) {
			t.proxies[p.Name] = &proxy{at: now - p.Age, loads: p.Loads}
		}
	}
}

// others sums what all proxies but one have under way. Called under the lock.
func (t *Directory) others(now int64, but string) (out []*fb.LoadT) {
	sum := map[uint64]*fb.LoadT{}
	for n, p := range t.proxies {
		if n == but || now-p.at > loadsOld {
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
