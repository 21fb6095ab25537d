package scale

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/taskgroup"
	"violetthread/placement"
)

const (
	zoneCount        = 13
	modelCount       = 36
	maxEventsPerPage = 4096 // events in one answer
	eventIntervalUS  = 10_000
	timedOneIn       = 8 // one event in so many is timed
	saltDate         = "2026"
)

// engine is a simulated engine: it has blocks cached, and tells who asks what changed.
type engine struct {
	id, addr, pool, zone, model string
	bootEpoch                   uint64
	mu                          sync.Mutex
	changed                     chan struct{}
	log                         []event
	cached                      []int // numbers of the blocks that it has, oldest first
	next, capacity              int
	draining                    bool
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
	nextEngine   int          // engine whose turn it is
	eventsDue    float64      // events
	EngineBytes  atomic.Int64 // sent by engines
	ListBytes    atomic.Int64 // bytes sent by the list
	EventCount   atomic.Int64 // brought about
}

// countingListener counts what a listener's connections send.
type countingListener struct {
	net.Listener
	sent *atomic.Int64
}

type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

// Accept waits for a connection and counts the bytes written to it.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.sent}, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(int64(n))
	return n, err
}

// StartEngines makes n simulated engines that have this many blocks cached together, and serves
// them.
func StartEngines(group *taskgroup.Group, list string, n, blocks int, observations *Observations) (*Engines, error) {
	es := &Engines{byAddr: map[string]*engine{}, observations: observations}
	listener, err := net.Listen("tcp", list)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; give --list a free IP:port on loopback", list)
	}
	listMux := http.NewServeMux()
	listMux.HandleFunc("/instances", es.serveList)
	serve(group, "list", countingListener{listener, &es.ListBytes}, listMux)
	engineMux := http.NewServeMux()
	engineMux.HandleFunc("/kv-events", es.serveEvents)
	engineMux.HandleFunc("/report", es.serveReport)
	engineMux.HandleFunc("/order", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) })
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, trace.ConnectionProblem(err, "can't listen for simulated engine %d; allow more open files or give fewer --engines", i)
		}
		model := i % modelCount
		e := &engine{id: fmt.Sprintf("engine-%05d", i), addr: listener.Addr().String(), pool: fmt.Sprintf("service-%02d", model), zone: fmt.Sprintf("zone-%02d", i%zoneCount),
			model: fmt.Sprintf("model-%02d", model), bootEpoch: rand.Uint64()>>12 | 1, changed: make(chan struct{})}
		for range blocks/n + min(1, max(0, blocks%n-i)) {
			e.appendEvent(true, e.next)
			e.cached = append(e.cached, e.next)
			e.next++
		}
		e.capacity = len(e.cached)
		es.all, es.byAddr[e.addr] = append(es.all, e), e
		serve(group, "engine", countingListener{listener, &es.EngineBytes}, engineMux)
	}
	return es, nil
}

// serve serves HTTP until the group ends.
func serve(group *taskgroup.Group, name string, listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: clock.Duration(5_000_000)}
	group.Go(name, func(context.Context) { _ = server.Serve(listener) })
	group.Go(name+".close", func(ctx context.Context) {
		<-ctx.Done()
		_ = server.Close()
	})
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
		e.mu.Lock()
		for range share {
			if len(e.cached) > e.capacity { // one comes, one goes
				e.appendEvent(false, e.cached[0])
				e.cached = e.cached[1:]
				continue
			}
			if e.next%timedOneIn == 0 {
				es.observations.BlockCached(e.key(e.next), now)
			}
			e.appendEvent(true, e.next)
			e.cached = append(e.cached, e.next)
			e.next++
		}
		close(e.changed)
		e.changed = make(chan struct{})
		e.mu.Unlock()
	}
}

// ToggleDraining lets one engine begin or end draining.
func (es *Engines) ToggleDraining(i int) {
	e := es.all[i%len(es.all)]
	e.mu.Lock()
	e.draining = !e.draining
	e.mu.Unlock()
}

func (es *Engines) serveList(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		Name    string `json:"name"`
		Version uint64 `json:"version"`
	}
	var list []map[string]any
	for _, e := range es.all {
		e.mu.Lock()
		state := "serving"
		if e.draining {
			state = "draining"
		}
		e.mu.Unlock()
		list = append(list, map[string]any{"instance-id": e.id, "service": e.pool, "address": e.addr, "zone": e.zone, "capacity": 32, "state": state,
			"models": []model{{e.model, 1}}})
	}
	daemon.WriteJSON(w, http.StatusOK, map[string]any{"instances": list})
}

func (es *Engines) engineOf(request *http.Request) *engine {
	addr, _ := request.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if addr == nil {
		return nil
	}
	return es.byAddr[addr.String()]
}

func (es *Engines) serveReport(w http.ResponseWriter, request *http.Request) {
	e := es.engineOf(request)
	daemon.WriteJSON(w, http.StatusOK, map[string]any{"models": []map[string]any{{"name": e.model, "version": 1}}, "saturated": false})
}

// serveEvents answers a question for cache events, held until there are some.
func (es *Engines) serveEvents(w http.ResponseWriter, request *http.Request) {
	e := es.engineOf(request)
	since, _ := strconv.Atoi(request.URL.Query().Get("since"))
	hold, _ := strconv.ParseInt(request.Header.Get("Wait-Ms"), 10, 64)
	ctx, stop := context.WithTimeout(request.Context(), clock.Duration(hold*1000))
	defer stop()
	for {
		e.mu.Lock()
		changed, logged := e.changed, len(e.log)
		e.mu.Unlock()
		if logged > since || ctx.Err() != nil {
			break
		}
		taskgroup.Receive(ctx, changed)
	}
	e.mu.Lock()
	since = min(max(since, 0), len(e.log))
	page := e.log[since:min(len(e.log), since+maxEventsPerPage)]
	next := since + len(page)
	body := fmt.Appendf(nil, `{"boot-epoch":%d,"next-page-token":%d,"missing":false,"events":[`, e.bootEpoch, next)
	for i, event := range page {
		op := "-"
		if event.cached {
			op = "+"
		}
		if i > 0 {
			body = append(body, ',')
		}
		body = fmt.Appendf(body, `[%d,%q,%q,%q,256,%q]`, since+i+1, op, e.salt(), e.blockID(event.block), e.model)
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(body, "]}"...))
}
