package scale

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/placement"
)

const (
	zoneCount       = 13
	modelCount      = 36
	eventIntervalUS = 10_000
	timedOneIn      = 8 // one block in so many is timed
	saltDate        = "2026"
)

// engine is a simulated engine: it has blocks cached, and tells who asks what changed.
type engine struct {
	id, addr, pool, zone, model string
	bootEpoch                   uint64 // differs with each start
	capacity                    int    // cached blocks, but for one that is about to be evicted

	mu       sync.Mutex    // guards what follows
	changed  chan struct{} // closed, and made anew, when the log grows
	log      []event       // since the start
	cached   []int         // numbers of the blocks that it has, oldest first
	next     int           // number of the next block
	draining bool
}

// event is a block that came to be cached, or was evicted.
type event struct {
	cached bool
	block  int
}

func (e *engine) salt() string         { return e.model + "/" + saltDate }
func (e *engine) blockID(n int) string { return fmt.Sprintf("%s-%024x", e.id, n) }
func (e *engine) key(n int) cacheindex.Key {
	return cacheindex.BlockKey(e.salt(), e.model, e.blockID(n))
}
func (e *engine) holderID() uint64                   { return placement.EngineHolderID(e.id) }
func (e *engine) appendEvent(cached bool, block int) { e.log = append(e.log, event{cached, block}) }

// Engines are all simulated engines of a run, and the platform's list of them.
type Engines struct {
	all          []*engine
	byAddr       map[string]*engine
	observations *Observations
	nextEngine   int          // index of the engine whose turn it is
	eventsDue    float64      // events that are due and not made yet
	EngineBytes  atomic.Int64 // sent by all engines
	ListBytes    atomic.Int64 // sent by the list
	EventCount   atomic.Int64 // events made
}

// StartEngines makes n simulated engines that have this many blocks cached together, and serves
// them, and the list of them at an IP:port, until the group ends.
func StartEngines(group *taskgroup.Group, list string, n, blocks int, observations *Observations) (*Engines, error) {
	es := &Engines{byAddr: map[string]*engine{}, observations: observations}
	listener, err := net.Listen("tcp", list)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; give --list a free IP:port on loopback", list)
	}
	serve(group, "list", countingListener{listener, &es.ListBytes}, es.listHandler())
	handler := es.engineHandler()
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, trace.ConnectionProblem(err, "can't listen for simulated engine %d; allow more open files or give fewer --engines", i)
		}
		share := blocks/n + min(1, max(0, blocks%n-i))
		e := newEngine(i, listener.Addr().String(), share)
		es.all, es.byAddr[e.addr] = append(es.all, e), e
		serve(group, "engine", countingListener{listener, &es.EngineBytes}, handler)
	}
	return es, nil
}

// newEngine makes an engine with this many blocks cached.
func newEngine(number int, addr string, blocks int) *engine {
	model := number % modelCount
	e := &engine{
		id:        fmt.Sprintf("engine-%05d", number),
		addr:      addr,
		pool:      serviceName(model),
		zone:      fmt.Sprintf("zone-%02d", number%zoneCount),
		model:     modelName(model),
		bootEpoch: rand.Uint64()>>12 | 1,
		changed:   make(chan struct{}),
		capacity:  blocks,
	}
	for range blocks {
		e.cacheNext()
	}
	return e
}

// cacheNext caches a new block.
func (e *engine) cacheNext() {
	e.appendEvent(true, e.next)
	e.cached = append(e.cached, e.next)
	e.next++
}

// evictOldest evicts the block that has been cached for longest.
func (e *engine) evictOldest() {
	e.appendEvent(false, e.cached[0])
	e.cached = e.cached[1:]
}

// Run makes rate events a second, half of them blocks cached and half blocks evicted.
func (es *Engines) Run(ctx context.Context, rate int) {
	last := clock.Now()
	taskgroup.Every(ctx, clock.Duration(eventIntervalUS), func(context.Context) {
		now := clock.Now()
		es.eventsDue += float64(rate) * float64(now-last) / 1e6
		last = now
		due := int(es.eventsDue)
		es.eventsDue -= float64(due)
		es.makeEvents(now, due)
	})
}

// makeEvents makes n events, a few at one engine after the other.
func (es *Engines) makeEvents(now int64, n int) {
	es.EventCount.Add(int64(n))
	for n > 0 {
		e := es.all[es.nextEngine%len(es.all)]
		es.nextEngine++
		share := min(n, max(2, 2*n/len(es.all)))
		n -= share
		es.makeEventsAt(e, now, share)
	}
}

// makeEventsAt makes n events at one engine, by turns blocks cached and blocks evicted, and
// wakes those who wait for them.
func (es *Engines) makeEventsAt(e *engine, now int64, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for range n {
		if len(e.cached) > e.capacity {
			e.evictOldest()
			continue
		}
		if e.next%timedOneIn == 0 {
			es.observations.BlockCached(e.key(e.next), now)
		}
		e.cacheNext()
	}
	close(e.changed)
	e.changed = make(chan struct{})
}

// ToggleDraining lets one engine begin or end draining.
func (es *Engines) ToggleDraining(i int) {
	e := es.all[i%len(es.all)]
	e.mu.Lock()
	e.draining = !e.draining
	e.mu.Unlock()
}
