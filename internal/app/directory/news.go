package directory

import (
	"context"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/placement"
	"violetthread/schema/fb"
)

// newsPage bounds the news in one answer: proxies' links are narrow, and an answer that
// takes too long is given up and asked of another node, who would begin anew.
const newsPage = 1500

// storeID names a store in the map.
func storeID(addr string) string { return "store " + addr }

// followHolders makes sure that every engine and store has a reader, and nobody else.
// Called under the lock.
func (t *Directory) followHolders() {
	want := map[string]string{}
	node := map[string]uint64{}
	if t.table != nil {
		for _, p := range t.table.Stores() {
			want[storeID(p.Store)], node[storeID(p.Store)] = p.Store, placement.StoreNode(p.Store)
		}
		for _, e := range t.listed {
			if p := t.table.Pool(e.Pool); p != nil && len(p.Models) > 0 {
				want[e.ID], node[e.ID] = e.Addr, placement.EngineNode(e.ID)
			}
		}
	}
	for id, r := range t.readers {
		if _, ok := want[id]; !ok {
			r.stop()
			delete(t.readers, id)
			t.forget(r.node)
		}
	}
	for id, addr := range want {
		if t.readers[id] == nil {
			ctx, stop := context.WithCancel(t.group.Context())
			r := &reader{t: t, id: id, addr: addr, node: node[id], stop: stop}
			t.readers[id] = r
			t.group.Go("directory.news", func(context.Context) { r.run(ctx) })
		}
	}
}

// forget drops all that a holder held. Called under the lock.
func (t *Directory) forget(node uint64) {
	for k := range t.holdings[node] {
		t.outbox.Append(cacheindex.Update{Key: k, Node: node, Op: cacheindex.OpRemove})
	}
	delete(t.holdings, node)
}

func (t *Directory) allKept() []cacheindex.Update {
	var ns []cacheindex.Update
	for n, ks := range t.holdings {
		for k := range ks {
			ns = append(ns, cacheindex.Update{Key: k, Node: n, Op: cacheindex.OpAdd})
		}
	}
	return ns
}

// reader follows what one engine or store keeps.
type reader struct {
	t        *Directory
	id       string
	addr     string
	node     uint64
	stop     context.CancelFunc
	epoch    string
	since    string
	failures int // questions in a row that failed
	answered bool
}

func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		q, stop := context.WithTimeout(ctx, clock.Micros(newsHold+400_000))
		p, err := r.t.platform.News(q, r.addr, r.since, newsHold)
		stop()
		if ctx.Err() != nil {
			return
		}
		r.t.mu.Lock()
		was := r.failures >= downAfter
		r.answered = true
		if err != nil {
			r.failures++
		} else {
			r.failures = 0
			r.take(p)
		}
		if is := r.failures >= downAfter; is != was {
			r.t.mapRev++
			r.t.notify()
		}
		r.t.mu.Unlock()
		if !taskgroup.Pause(ctx, newsPause) {
			return
		}
	}
}

func (r *reader) take(p Page) {
	t := r.t
	if p.Epoch != r.epoch {
		if r.epoch != "" {
			t.forget(r.node) // another life of it
		}
		if r.epoch != "" && len(p.Changes) == 0 && r.since != "" {
			// Its numbers began anew: ask from the start.
			r.epoch, r.since = p.Epoch, ""
			return
		}
		r.epoch = p.Epoch
	}
	r.since = p.Next
	ks := t.holdings[r.node]
	if ks == nil {
		ks = map[cacheindex.Key]bool{}
		t.holdings[r.node] = ks
	}
	for _, c := range p.Changes {
		k := cacheindex.BlockKey(c.Salt, c.Model, c.Part)
		if c.Kept == ks[k] {
			continue
		}
		op := cacheindex.OpAdd
		if c.Kept {
			ks[k] = true
		} else {
			delete(ks, k)
			op = cacheindex.OpRemove
		}
		t.outbox.Append(cacheindex.Update{Key: k, Node: r.node, Op: op})
	}
}

func (t *Directory) restOf(q *fb.MapAskT) []cacheindex.Update {
	if q.Node == nil || t.proxies[q.Node.Name] == nil {
		return nil
	}
	return t.proxies[q.Node.Name].rest
}

// news is the next page for a proxy. Called under the lock.
func (t *Directory) news(q *fb.MapAskT) cacheindex.UpdateBatch {
	var x *proxy
	if q.Node != nil {
		x = t.proxies[q.Node.Name]
	}
	if x != nil && len(x.rest) > 0 && q.NewsInc == t.incarnation {
		b := cacheindex.UpdateBatch{Incarnation: q.NewsInc, Next: q.NewsSince, Updates: x.rest[:min(newsPage, len(x.rest))]}
		x.rest = x.rest[len(b.Updates):]
		return b
	}
	b := t.outbox.Since(q.NewsInc, q.NewsSince, newsPage)
	if x != nil {
		x.rest = nil
		if b.Reset && len(b.Updates) > newsPage {
			b.Updates, x.rest = b.Updates[:newsPage], b.Updates[newsPage:]
		}
	}
	return b
}
