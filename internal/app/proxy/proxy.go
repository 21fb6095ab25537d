package proxy

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"hash/fnv"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/placement"
	"violetthread/route"
	"violetthread/schema/fb"
)

// Settings of a carrier. Times are microseconds.
type Settings struct {
	Name, Zone  string
	HTTP        string   // IP:port of the daemon's own pages
	Listen      string   // IP:port for callers
	Seeds       []string // wire addresses of up to three control nodes
	Bounds      route.Bounds
	HintEntries int // entries of the hint table
}

type carrier struct {
	s      Settings
	d      *daemon.Daemon
	door   Adapter
	book   *transport.PeerPool
	inc    uint64
	view   atomic.Pointer[view]
	pool   *pool
	hints  *cacheindex.HolderTable
	hintMu sync.Mutex
	mu     sync.Mutex // of pick and window
	pick   *placement.Picker
	window map[string]*attempt.RetryWindow // by pool
	allow  float64
	srv    atomic.Pointer[http.Server]
	met    atomic.Bool // a map that shows engines was seen
	counts counts
}

type counts struct {
	arrived, done, refused, lost, cut, sends, more, skipped, broken, resumed, read, moved, hit atomic.Int64
}

var noTime = time.Time{}

// New makes a carrier, ready to Run.
func New(s Settings, door Adapter) (*daemon.Daemon, error) {
	if s.Listen == "" || len(s.Seeds) == 0 {
		return nil, trace.BadParameter("an address for callers and a seed are needed; look at the settings file")
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, trace.Wrap(err)
	}
	grace := max(s.Bounds.GraceUS-700_000, 1_000_000)
	d := daemon.New("carrier", s.Name, s.HTTP, grace)
	c := &carrier{s: s, d: d, door: door, book: transport.NewPeerPool(d.Group), inc: binary.LittleEndian.Uint64(b[:])>>24 | 1,
		pool: newPool(), hints: cacheindex.NewHolderTable(s.HintEntries)}
	c.pick = placement.New(s.Zone, c.hints)
	c.window, c.allow = map[string]*attempt.RetryWindow{}, 1
	c.view.Store(&view{})
	f := newFollower(c)
	d.Group.Go("follow", f.run)
	d.Group.Go("ready", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(40_000), c.watch) })
	d.Group.Go("sweep", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(1_000_000), func(context.Context) { c.pool.sweep(func(string) bool { return true }) })
	})
	d.OnDrain(c.drain)
	c.gauges()
	return d, nil
}

func (c *carrier) self() *fb.NodeT {
	return &fb.NodeT{Name: c.s.Name, Role: "carrier", Site: c.s.Zone, Http: c.s.HTTP, Inc: c.inc, Ready: c.d.Ready()}
}

func score(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a + "|" + b))
	x := h.Sum64()
	return (x ^ x>>29) * 0xff51afd7ed558ccd
}

// stale is the age beyond which a configuration may not be acted on: a key that it
// holds may have been taken away, and that must be in force everywhere by then.
func (c *carrier) stale() int64 {
	if !c.s.Bounds.RevocationGlobal {
		return 1 << 49
	}
	return max(c.s.Bounds.RevocationUS-400_000, 500_000)
}

// watch says whether this proxy is ready, and opens its door for callers once it is.
func (c *carrier) watch(context.Context) {
	v := c.view.Load()
	now := clock.Now()
	if v.table == nil || v.age(now) > c.stale() {
		c.d.SetReady("the configuration is not known to be in force")
		return
	}
	if !c.met.Load() {
		c.d.SetReady("no engine is known yet")
		return
	}
	if c.srv.Load() == nil && !c.d.Stopping() {
		if err := c.open(v.table.Limits); err != nil {
			c.d.SetReady(err.Error())
			return
		}
	}
	c.d.SetReady("")
	c.mu.Lock()
	c.allow = float64(c.s.Bounds.RetryAllowance) * 0.7 / float64(v.peers)
	c.mu.Unlock()
}

// budget is this proxy's part of the further sends that a pool may get in all. The
// caller holds the lock.
func (c *carrier) budget(pool string) *attempt.RetryWindow {
	w := c.window[pool]
	if w == nil {
		w = &attempt.RetryWindow{SpanUS: c.s.Bounds.RetryWindowUS, Ratio: c.s.Bounds.RetryRatio * 0.7}
		c.window[pool] = w
	}
	w.Allowance = c.allow
	return w
}

// open listens for callers, within the limits that the configuration sets.
func (c *carrier) open(l route.Limits) error {
	ln, err := net.Listen("tcp", c.s.Listen)
	if err != nil {
		return trace.ConnectionProblem(err, "can't listen on %s; give it a free IP:port of this machine", c.s.Listen)
	}
	c.serveCallers(ln, l)
	c.d.Log.Info("open", "listen", c.s.Listen)
	return nil
}

// serveCallers takes callers' requests from a listener.
func (c *carrier) serveCallers(ln net.Listener, l route.Limits) {
	s := &http.Server{Handler: http.HandlerFunc(c.serve), ReadHeaderTimeout: clock.Duration(l.HeaderUS), IdleTimeout: idleUnbounded,
		MaxHeaderBytes: int(l.HeaderBytes), ErrorLog: log.New(io.Discard, "", 0), ConnContext: withCallerConn, ConnState: noteState}
	if l.HeaderUS <= 0 {
		s.ReadHeaderTimeout = 5 * time.Second
	}
	c.srv.Store(s)
	c.d.Group.Go("callers", func(context.Context) {
		if err := s.Serve(callerListener{Listener: ln, idleLimit: c.idleLimit}); err != nil && !errors.Is(err, http.ErrServerClosed) {
			c.d.Log.Info("callers_problem", "cause", err.Error())
			c.d.Stop()
		}
	})
	c.d.Group.Go("callers.close", func(ctx context.Context) {
		<-ctx.Done()
		_ = s.Close()
	})
}

// idleLimit is how long a caller's connection may rest under the configuration in force.
func (c *carrier) idleLimit() time.Duration {
	if t := c.view.Load().table; t != nil && t.Limits.IdleUS > 0 {
		return clock.Duration(t.Limits.IdleUS)
	}
	return idleDefault
}

// awayUS is how long new connections may still come after this proxy said that it is
// not ready any more: the platform asks once a second and believes the second no.
const awayUS = 2_700_000

// drain lets what is under way end. For a while new requests are still taken, since
// they still come; each answer then asks its caller to connect anew elsewhere.
func (c *carrier) drain(ctx context.Context) {
	s := c.srv.Load()
	if s == nil {
		return
	}
	taskgroup.Sleep(ctx, awayUS)
	_ = s.Shutdown(ctx)
	c.pool.closeIdle()
}

func (c *carrier) gauges() {
	n := func(name, help string, v *atomic.Int64) {
		c.d.Counter(name, help, func() float64 { return float64(v.Load()) })
	}
	k := &c.counts
	n("requests_arrived", "requests taken", &k.arrived)
	n("requests_done", "requests answered whole", &k.done)
	n("requests_refused", "requests refused that never ran", &k.refused)
	n("requests_lost", "requests that may have run and have no answer", &k.lost)
	n("requests_cut", "answers broken off", &k.cut)
	n("sends", "requests sent to engines", &k.sends)
	n("sends_more", "of these, beyond a request's first", &k.more)
	n("sends_skipped", "turned away by engines", &k.skipped)
	n("sends_broken", "lost after they were sent", &k.broken)
	n("streams_resumed", "streams taken up at another engine", &k.resumed)
	n("tokens_read", "prompt tokens that engines had to read, as estimated", &k.read)
	n("tokens_moved", "prompt tokens that engines were told to take", &k.moved)
	n("tokens_hit", "prompt tokens hinted to be kept where they were needed", &k.hit)
	c.d.Gauge("config_age_us", "time since the configuration was known to be in force", func() float64 { return float64(c.view.Load().age(clock.Now())) })
	c.d.Gauge("hints", "entries in the hint table", func() float64 { return float64(c.hints.Len()) })
}
