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
	zones     = 13
	models    = 36
	pageMost  = 4096 // events in one answer
	eventTick = 10_000
	sampleOf  = 8 // one event in so many is timed
	hollowDay = "2026"
)

// engine is a hollow engine: it keeps parts, and tells who asks what changed.
type engine struct {
	id, addr, pool, zone, model string
	epoch                       uint64
	mu                          sync.Mutex
	bell                        chan struct{}
	log                         []event
	kept                        []int // numbers of the parts that it keeps, oldest first
	next, room                  int
	draining                    bool
}

type event struct {
	on   bool
	part int
}

func (e *engine) salt() string             { return e.model + "/" + hollowDay }
func (e *engine) part(n int) string        { return fmt.Sprintf("%s-%024x", e.id, n) }
func (e *engine) key(n int) cacheindex.Key { return cacheindex.BlockKey(e.salt(), e.model, e.part(n)) }
func (e *engine) node() uint64             { return placement.EngineHolderID(e.id) }
func (e *engine) add(on bool, n int)       { e.log = append(e.log, event{on, n}) }

// Engines are all hollow engines of a run, and the list that tells of them.
type Engines struct {
	all    []*engine
	by     map[string]*engine
	board  *Board
	at     int          // engine whose turn it is
	owed   float64      // events
	Bytes  atomic.Int64 // sent by engines
	Listed atomic.Int64 // bytes sent by the list
	Events atomic.Int64 // brought about
}

// counting counts what a listener's connections send.
type counting struct {
	net.Listener
	n *atomic.Int64
}

type countingConn struct {
	net.Conn
	n *atomic.Int64
}

// Accept waits for a connection and counts the bytes written to it.
func (l counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.n}, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.n.Add(int64(n))
	return n, err
}

// StartEngines makes n hollow engines that keep blocks parts together, and serves them.
func StartEngines(c *taskgroup.Group, list string, n, blocks int, b *Board) (*Engines, error) {
	es := &Engines{by: map[string]*engine{}, board: b}
	l, err := net.Listen("tcp", list)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; give --list a free IP:port on loopback", list)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/instances", es.instances)
	serve(c, "list", counting{l, &es.Listed}, mux)
	emux := http.NewServeMux()
	emux.HandleFunc("/kv-events", es.events)
	emux.HandleFunc("/report", es.report)
	emux.HandleFunc("/order", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusAccepted) })
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, trace.ConnectionProblem(err, "can't listen for hollow engine %d; allow more open files or give fewer --engines", i)
		}
		m := i % models
		e := &engine{id: fmt.Sprintf("engine-%05d", i), addr: l.Addr().String(), pool: fmt.Sprintf("service-%02d", m), zone: fmt.Sprintf("zone-%02d", i%zones),
			model: fmt.Sprintf("model-%02d", m), epoch: rand.Uint64()>>12 | 1, bell: make(chan struct{})}
		for range blocks/n + min(1, max(0, blocks%n-i)) {
			e.add(true, e.next)
			e.kept = append(e.kept, e.next)
			e.next++
		}
		e.room = len(e.kept)
		es.all, es.by[e.addr] = append(es.all, e), e
		serve(c, "engine", counting{l, &es.Bytes}, emux)
	}
	return es, nil
}

func serve(c *taskgroup.Group, name string, l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: clock.Duration(5_000_000)}
	c.Go(name, func(context.Context) { _ = s.Serve(l) })
	c.Go(name+".close", func(ctx context.Context) {
		<-ctx.Done()
		_ = s.Close()
	})
}

// Run brings events about, rate a second, half of them parts kept and half parts dropped.
func (es *Engines) Run(ctx context.Context, rate int) {
	last := clock.Now()
	taskgroup.Every(ctx, clock.Duration(eventTick), func(context.Context) {
		now := clock.Now()
		es.owed += float64(rate) * float64(now-last) / 1e6
		last = now
		n := int(es.owed)
		es.owed -= float64(n)
		es.bring(now, n)
	})
}

// bring makes n events, a few at one engine after the other.
func (es *Engines) bring(now int64, n int) {
	es.Events.Add(int64(n))
	for n > 0 {
		e := es.all[es.at%len(es.all)]
		es.at++
		k := min(n, max(2, 2*n/len(es.all)))
		n -= k
		e.mu.Lock()
		for range k {
			if len(e.kept) > e.room { // one comes, one goes
				e.add(false, e.kept[0])
				e.kept = e.kept[1:]
				continue
			}
			if e.next%sampleOf == 0 {
				es.board.Born(e.key(e.next), now)
			}
			e.add(true, e.next)
			e.kept = append(e.kept, e.next)
			e.next++
		}
		close(e.bell)
		e.bell = make(chan struct{})
		e.mu.Unlock()
	}
}

// Toggle lets one engine begin or end leaving.
func (es *Engines) Toggle(i int) {
	e := es.all[i%len(es.all)]
	e.mu.Lock()
	e.draining = !e.draining
	e.mu.Unlock()
}

func (es *Engines) instances(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		Name    string `json:"name"`
		Version uint64 `json:"version"`
	}
	var l []map[string]any
	for _, e := range es.all {
		e.mu.Lock()
		state := "serving"
		if e.draining {
			state = "draining"
		}
		e.mu.Unlock()
		l = append(l, map[string]any{"instance-id": e.id, "service": e.pool, "address": e.addr, "zone": e.zone, "capacity": 32, "state": state,
			"models": []model{{e.model, 1}}})
	}
	daemon.WriteJSON(w, http.StatusOK, map[string]any{"instances": l})
}

func (es *Engines) asked(q *http.Request) *engine {
	a, _ := q.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if a == nil {
		return nil
	}
	return es.by[a.String()]
}

func (es *Engines) report(w http.ResponseWriter, q *http.Request) {
	e := es.asked(q)
	daemon.WriteJSON(w, http.StatusOK, map[string]any{"models": []map[string]any{{"name": e.model, "version": 1}}, "saturated": false})
}

// events answers a question for news, held until there is some.
func (es *Engines) events(w http.ResponseWriter, q *http.Request) {
	e := es.asked(q)
	since, _ := strconv.Atoi(q.URL.Query().Get("since"))
	hold, _ := strconv.ParseInt(q.Header.Get("Wait-Ms"), 10, 64)
	ctx, stop := context.WithTimeout(q.Context(), clock.Duration(hold*1000))
	defer stop()
	for {
		e.mu.Lock()
		bell, n := e.bell, len(e.log)
		e.mu.Unlock()
		if n > since || ctx.Err() != nil {
			break
		}
		taskgroup.Receive(ctx, bell)
	}
	e.mu.Lock()
	since = min(max(since, 0), len(e.log))
	es1 := e.log[since:min(len(e.log), since+pageMost)]
	next := since + len(es1)
	b := fmt.Appendf(nil, `{"boot-epoch":%d,"next-page-token":%d,"missing":false,"events":[`, e.epoch, next)
	for i, x := range es1 {
		op := "-"
		if x.on {
			op = "+"
		}
		if i > 0 {
			b = append(b, ',')
		}
		b = fmt.Appendf(b, `[%d,%q,%q,%q,256,%q]`, since+i+1, op, e.salt(), e.part(x.part), e.model)
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(b, "]}"...))
}
