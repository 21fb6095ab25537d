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
const maxEventsPerReply = 1500

// storeID names a store in the map.
func storeID(addr string) string { return "store " + addr }

// followHolders makes sure that every engine and store has a reader, and nobody else.
// Called under the lock.
func (d *Directory) syncReaders() {
	want := map[string]string{}
	node := map[string]uint64{}
	if d.table != nil {
		for _, p := range d.table.Stores() {
			want[storeID(p.StoreAddr)], node[storeID(p.StoreAddr)] = p.StoreAddr, placement.StoreHolderID(p.StoreAddr)
		}
		for _, e := range d.listedEngines {
			if p := d.table.Pool(e.Pool); p != nil && len(p.Models) > 0 {
				want[e.ID], node[e.ID] = e.Addr, placement.EngineHolderID(e.ID)
			}
		}
	}
	for id, r := range d.readers {
		if _, ok := want[id]; !ok {
			r.stop()
			delete(d.readers, id)
			d.dropCached(r.node)
		}
	}
	for id, addr := range want {
		if d.readers[id] == nil {
			ctx, stop := context.WithCancel(d.group.Context())
			r := &eventReader{directory: d, id: id, addr: addr, node: node[id], stop: stop}
			d.readers[id] = r
			d.group.Go("directory.news", func(context.Context) { r.run(ctx) })
		}
	}
}

// forget drops all that a holder held. Called under the lock.
func (d *Directory) dropCached(node uint64) {
	for k := range d.cachedBlocks[node] {
		d.events.Append(cacheindex.Update{Key: k, Node: node, Op: cacheindex.OpRemove})
	}
	delete(d.cachedBlocks, node)
}

func (d *Directory) cacheSnapshot() []cacheindex.Update {
	var ns []cacheindex.Update
	for n, ks := range d.cachedBlocks {
		for k := range ks {
			ns = append(ns, cacheindex.Update{Key: k, Node: n, Op: cacheindex.OpAdd})
		}
	}
	return ns
}

// reader follows what one engine or store keeps.
type eventReader struct {
	directory *Directory
	id        string
	addr      string
	node      uint64
	stop      context.CancelFunc
	epoch     string
	cursor    string
	failures  int // questions in a row that failed
	answered  bool
}

func (r *eventReader) run(ctx context.Context) {
	for ctx.Err() == nil {
		q, stop := context.WithTimeout(ctx, clock.Duration(eventPollTimeout+400_000))
		p, err := r.directory.platform.CacheEvents(q, r.addr, r.cursor, eventPollTimeout)
		stop()
		if ctx.Err() != nil {
			return
		}
		r.directory.mu.Lock()
		was := r.failures >= failuresUntilDown
		r.answered = true
		if err != nil {
			r.failures++
		} else {
			r.failures = 0
			r.apply(p)
		}
		if is := r.failures >= failuresUntilDown; is != was {
			r.directory.mapRevision++
			r.directory.notify()
		}
		r.directory.mu.Unlock()
		if !taskgroup.Sleep(ctx, eventPollPause) {
			return
		}
	}
}

func (r *eventReader) apply(p CacheEventPage) {
	t := r.directory
	if p.Epoch != r.epoch {
		if r.epoch != "" {
			t.dropCached(r.node) // another life of it
		}
		if r.epoch != "" && len(p.Events) == 0 && r.cursor != "" {
			// Its numbers began anew: ask from the start.
			r.epoch, r.cursor = p.Epoch, ""
			return
		}
		r.epoch = p.Epoch
	}
	r.cursor = p.Next
	ks := t.cachedBlocks[r.node]
	if ks == nil {
		ks = map[cacheindex.Key]bool{}
		t.cachedBlocks[r.node] = ks
	}
	for _, c := range p.Events {
		k := cacheindex.BlockKey(c.Salt, c.Model, c.Block)
		if c.Cached == ks[k] {
			continue
		}
		op := cacheindex.OpAdd
		if c.Cached {
			ks[k] = true
		} else {
			delete(ks, k)
			op = cacheindex.OpRemove
		}
		t.events.Append(cacheindex.Update{Key: k, Node: r.node, Op: op})
	}
}

func (d *Directory) unsentEvents(q *fb.MapAskT) []cacheindex.Update {
	if q.Node == nil || d.proxies[q.Node.Name] == nil {
		return nil
	}
	return d.proxies[q.Node.Name].unsent
}

// news is the next page for a proxy. Called under the lock.
func (d *Directory) nextEvents(q *fb.MapAskT) cacheindex.UpdateBatch {
	var x *proxyState
	if q.Node != nil {
		x = d.proxies[q.Node.Name]
	}
	if x != nil && len(x.unsent) > 0 && q.NewsInc == d.incarnation {
		b := cacheindex.UpdateBatch{Incarnation: q.NewsInc, Next: q.NewsSince, Updates: x.unsent[:min(maxEventsPerReply, len(x.unsent))]}
		x.unsent = x.unsent[len(b.Updates):]
		return b
	}
	b := d.events.Since(q.NewsInc, q.NewsSince, maxEventsPerReply)
	if x != nil {
		x.unsent = nil
		if b.Reset && len(b.Updates) > maxEventsPerReply {
			b.Updates, x.unsent = b.Updates[:maxEventsPerReply], b.Updates[maxEventsPerReply:]
		}
	}
	return b
}
