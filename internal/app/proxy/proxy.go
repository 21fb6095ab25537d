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

type server struct {
	settings       Settings
	daemon         *daemon.Daemon
	adapter        Adapter
	controlNodes   *transport.PeerPool
	incarnation    uint64
	view           atomic.Pointer[view]
	pool           *connPool
	hints          *cacheindex.HolderTable
	hintMu         sync.Mutex
	mu             sync.Mutex // of pick and window
	picker         *placement.Picker
	retryWindows   map[string]*attempt.RetryWindow // by pool
	retryAllowance float64
	httpServer     atomic.Pointer[http.Server]
	seenEngines    atomic.Bool // a map that shows engines was seen
	counts         counts
}

type counts struct {
	arrived, done, rejected, lost, aborted, sends, retries, notRun, interrupted, resumed, prefillTokens, transferTokens, cachedTokens atomic.Int64
}

var noTime = time.Time{}

// New makes a carrier, ready to Run.
func New(settings Settings, door Adapter) (*daemon.Daemon, error) {
	if settings.Listen == "" || len(settings.Seeds) == 0 {
		return nil, trace.BadParameter("an address for callers and a seed are needed; look at the settings file")
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, trace.Wrap(err)
	}
	grace := max(settings.Bounds.GraceUS-700_000, 1_000_000)
	daemon := daemon.New("violetthread-proxy", settings.Name, settings.HTTP, grace)
	s := &server{settings: settings, daemon: daemon, adapter: door, controlNodes: transport.NewPeerPool(daemon.Group), incarnation: binary.LittleEndian.Uint64(b[:])>>24 | 1,
		pool: newConnPool(), hints: cacheindex.NewHolderTable(settings.HintEntries)}
	s.picker = placement.New(settings.Zone, s.hints)
	s.retryWindows, s.retryAllowance = map[string]*attempt.RetryWindow{}, 1
	s.view.Store(&view{})
	f := newFollower(s)
	daemon.Group.Go("follow", f.run)
	daemon.Group.Go("ready", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(40_000), s.updateReadiness) })
	daemon.Group.Go("sweep", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(1_000_000), func(context.Context) { s.pool.sweep(func(string) bool { return true }) })
	})
	daemon.OnDrain(s.drain)
	s.registerMetrics()
	return daemon, nil
}

func (s *server) self() *fb.NodeT {
	return &fb.NodeT{Name: s.settings.Name, Role: "carrier", Zone: s.settings.Zone, Http: s.settings.HTTP, Incarnation: s.incarnation, Ready: s.daemon.Ready()}
}

func score(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a + "|" + b))
	x := h.Sum64()
	return (x ^ x>>29) * 0xff51afd7ed558ccd
}

// stale is the age beyond which a configuration may not be acted on: a key that it
// holds may have been taken away, and that must be in force everywhere by then.
func (s *server) maxConfigAgeUS() int64 {
	if !s.settings.Bounds.RevocationGlobal {
		return 1 << 49
	}
	return max(s.settings.Bounds.RevocationUS-400_000, 500_000)
}

// watch says whether this proxy is ready, and opens its door for callers once it is.
func (s *server) updateReadiness(context.Context) {
	v := s.view.Load()
	now := clock.Now()
	if v.table == nil || v.age(now) > s.maxConfigAgeUS() {
		s.daemon.SetReady("the configuration is not known to be in force")
		return
	}
	if !s.seenEngines.Load() {
		s.daemon.SetReady("no engine is known yet")
		return
	}
	if s.httpServer.Load() == nil && !s.daemon.Stopping() {
		if err := s.listen(v.table.Limits); err != nil {
			s.daemon.SetReady(err.Error())
			return
		}
	}
	s.daemon.SetReady("")
	s.mu.Lock()
	s.retryAllowance = float64(s.settings.Bounds.RetryAllowance) * 0.7 / float64(v.proxies)
	s.mu.Unlock()
}

// budget is this proxy's part of the further sends that a pool may get in all. The
// caller holds the lock.
func (s *server) retryWindow(pool string) *attempt.RetryWindow {
	w := s.retryWindows[pool]
	if w == nil {
		w = &attempt.RetryWindow{SpanUS: s.settings.Bounds.RetryWindowUS, Ratio: s.settings.Bounds.RetryRatio * 0.7}
		s.retryWindows[pool] = w
	}
	w.Allowance = s.retryAllowance
	return w
}

// open listens for callers, within the limits that the configuration sets.
func (s *server) listen(limits route.Limits) error {
	listener, err := net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return trace.ConnectionProblem(err, "can't listen on %s; give it a free IP:port of this machine", s.settings.Listen)
	}
	s.serveCallers(listener, limits)
	s.daemon.Log.Info("open", "listen", s.settings.Listen)
	return nil
}

// serveCallers takes callers' requests from a listener.
func (s *server) serveCallers(listener net.Listener, limits route.Limits) {
	httpServer := &http.Server{Handler: http.HandlerFunc(s.serveRequest), ReadHeaderTimeout: clock.Duration(limits.HeaderUS), IdleTimeout: idleUnbounded,
		MaxHeaderBytes: int(limits.HeaderBytes), ErrorLog: log.New(io.Discard, "", 0), ConnContext: withCallerConn, ConnState: noteState}
	if limits.HeaderUS <= 0 {
		httpServer.ReadHeaderTimeout = 5 * time.Second
	}
	s.httpServer.Store(httpServer)
	s.daemon.Group.Go("callers", func(context.Context) {
		if err := httpServer.Serve(callerListener{Listener: listener, idleLimit: s.idleLimit}); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.daemon.Log.Info("callers_problem", "cause", err.Error())
			s.daemon.Stop()
		}
	})
	s.daemon.Group.Go("callers.close", func(ctx context.Context) {
		<-ctx.Done()
		_ = httpServer.Close()
	})
}

// idleLimit is how long a caller's connection may rest under the configuration in force.
func (s *server) idleLimit() time.Duration {
	if t := s.view.Load().table; t != nil && t.Limits.IdleUS > 0 {
		return clock.Duration(t.Limits.IdleUS)
	}
	return idleDefault
}

// awayUS is how long new connections may still come after this proxy said that it is
// not ready any more: the platform asks once a second and believes the second no.
const stillArrivingUS = 2_700_000

// drain lets what is under way end. For a while new requests are still taken, since
// they still come; each answer then asks its caller to connect anew elsewhere.
func (s *server) drain(ctx context.Context) {
	httpServer := s.httpServer.Load()
	if httpServer == nil {
		return
	}
	taskgroup.Sleep(ctx, stillArrivingUS)
	_ = httpServer.Shutdown(ctx)
	s.pool.closeIdle()
}

func (s *server) registerMetrics() {
	n := func(name, help string, v *atomic.Int64) {
		s.daemon.Counter(name, help, func() float64 { return float64(v.Load()) })
	}
	k := &s.counts
	n("requests_arrived", "requests taken", &k.arrived)
	n("requests_done", "requests answered whole", &k.done)
	n("requests_refused", "requests refused that never ran", &k.rejected)
	n("requests_lost", "requests that may have run and have no answer", &k.lost)
	n("requests_cut", "answers broken off", &k.aborted)
	n("sends", "requests sent to engines", &k.sends)
	n("sends_more", "of these, beyond a request's first", &k.retries)
	n("sends_skipped", "turned away by engines", &k.notRun)
	n("sends_broken", "lost after they were sent", &k.interrupted)
	n("streams_resumed", "streams taken up at another engine", &k.resumed)
	n("tokens_read", "prompt tokens that engines had to read, as estimated", &k.prefillTokens)
	n("tokens_moved", "prompt tokens that engines were told to take", &k.transferTokens)
	n("tokens_hit", "prompt tokens hinted to be kept where they were needed", &k.cachedTokens)
	s.daemon.Gauge("config_age_us", "time since the configuration was known to be in force", func() float64 { return float64(s.view.Load().age(clock.Now())) })
	s.daemon.Gauge("hints", "entries in the hint table", func() float64 { return float64(s.hints.Len()) })
}
