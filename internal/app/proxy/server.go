package proxy

import (
	"context"
	"errors"
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
	"violetthread/internal/app/process"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/membership"
	"violetthread/placement"
	"violetthread/route"
	"violetthread/schema/fb"
)

// Settings of a proxy.
type Settings struct {
	Name        string              // of this proxy in the fleet
	Zone        string              // where it runs; nodes and engines there are preferred
	HTTP        string              // IP:port of the daemon's own pages (readiness, metrics)
	Listen      string              // IP:port for callers; opened once the proxy is ready
	Seeds       []string            // transport addresses of up to three control nodes, at least one
	Bounds      route.Bounds        // the operator's rules
	HintEntries int                 // entries of the hint table; more hold more of the fleet's caches
	Policy      placement.Policy    // mechanisms in use
	Cost        placement.CostModel // by which engines are compared
}

// server is the proxy: what its parts share.
type server struct {
	settings     Settings
	daemon       *daemon.Daemon
	adapter      Adapter
	controlNodes *transport.PeerPool
	incarnation  uint64               // of this proxy, random
	view         atomic.Pointer[view] // what is known of the fleet; never nil
	pool         *connPool
	hints        *cacheindex.HolderTable
	hintMu       sync.Mutex // of writing hints
	httpServer   atomic.Pointer[http.Server]
	seenEngines  atomic.Bool // a map that shows engines was seen
	counts       counts
	decisions    *decisionMetrics
	followed     atomic.Pointer[string] // address of the control node that is followed; nil for none
	loadChanges  chan struct{}          // wakes reportLoads

	mu              sync.Mutex // of the fields below
	picker          *placement.Picker
	retryWindows    map[string]*attempt.RetryWindow // by pool
	retryAllowance  float64                         // of each window
	loadsSequence   uint64                          // of the last report of loads
	unreportedReads []*fb.CacheUpdateT              // blocks that engines read, for the next report
}

const (
	graceSlackUS = 700_000   // kept back of the time for a graceful stop
	minGraceUS   = 1_000_000 // however short that is

	readinessIntervalUS = 40_000
	sweepIntervalUS     = 1_000_000

	// stillArrivingUS is how long new connections may still come after this proxy said that
	// it is not ready any more: the platform asks once a second and believes the second no.
	stillArrivingUS = 2_700_000

	// retryShare is the part of the fleet's retry bounds that is used, so that the sum over
	// proxies keeps the bounds while they disagree on their number.
	retryShare = 0.7

	defaultHeaderTimeout = 5 * time.Second // where the configuration sets no bound
)

var noDeadline = time.Time{}

// New makes a proxy, ready to Run.
func New(settings Settings, adapter Adapter) (*daemon.Daemon, error) {
	if settings.Listen == "" || len(settings.Seeds) == 0 {
		return nil, trace.BadParameter("an address for callers and a control node are needed; set bind-addresses.frontend and seed-nodes in the settings file")
	}
	incarnation, err := process.NewIncarnation()
	if err != nil {
		return nil, err
	}
	d := daemon.New("violetthread-proxy", settings.Name, settings.HTTP, max(settings.Bounds.GraceUS-graceSlackUS, minGraceUS))
	s := &server{
		settings:       settings,
		daemon:         d,
		adapter:        adapter,
		controlNodes:   transport.NewPeerPool(d.Group),
		incarnation:    incarnation,
		pool:           newConnPool(),
		hints:          cacheindex.NewHolderTable(settings.HintEntries),
		retryWindows:   map[string]*attempt.RetryWindow{},
		retryAllowance: 1,
		decisions:      newDecisionMetrics(),
		loadChanges:    make(chan struct{}, 1),
	}
	s.picker = s.newPicker()
	s.pool.longKeepAlive = settings.Policy.Uses(placement.LongKeepAlive)
	s.view.Store(&view{})
	f := newFollower(s)
	d.Group.Go("follow", f.run)
	d.Group.Go("ready", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(readinessIntervalUS), s.updateReadiness)
	})
	d.Group.Go("sweep", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(sweepIntervalUS), func(context.Context) { s.pool.sweep(func(string) bool { return true }) })
	})
	if settings.Policy.Uses(placement.PromptLoads) {
		d.Group.Go("loads", s.reportLoads)
	}
	d.OnDrain(s.drain)
	s.registerMetrics()
	if off := settings.Policy.Disabled(); off != "" {
		d.Log.Info("policy_reduced", "off", off)
	}
	return d, nil
}

// newPicker makes a picker that knows no engines.
func (s *server) newPicker() *placement.Picker {
	picker := placement.New(s.settings.Zone, s.hints)
	picker.Policy, picker.Cost, picker.Connected = s.settings.Policy, s.settings.Cost, s.pool.connected
	return picker
}

// self is this proxy as control nodes list it.
func (s *server) self() *fb.NodeT {
	return &fb.NodeT{Name: s.settings.Name, Role: membership.RoleProxy, Zone: s.settings.Zone, Http: s.settings.HTTP, Incarnation: s.incarnation, Ready: s.daemon.Ready()}
}

// retryWindow is this proxy's share of the retries that a pool may get in all. The caller
// holds s.mu.
func (s *server) retryWindow(pool string) *attempt.RetryWindow {
	window := s.retryWindows[pool]
	if window == nil {
		window = &attempt.RetryWindow{SpanUS: s.settings.Bounds.RetryWindowUS, Ratio: s.settings.Bounds.RetryRatio * retryShare}
		s.retryWindows[pool] = window
	}
	window.Allowance = s.retryAllowance
	return window
}

// listen opens the port for callers, within the limits that the configuration sets.
func (s *server) listen(limits route.Limits) error {
	listener, err := net.Listen("tcp", s.settings.Listen)
	if err != nil {
		return trace.ConnectionProblem(err, "can't listen on %s; give it a free IP:port of this machine", s.settings.Listen)
	}
	s.serveCallers(listener, limits)
	s.daemon.Log.Info("listening", "addr", s.settings.Listen)
	return nil
}

// serveCallers takes callers' requests from a listener.
func (s *server) serveCallers(listener net.Listener, limits route.Limits) {
	httpServer := &http.Server{
		Handler:           http.HandlerFunc(s.serveRequest),
		ReadHeaderTimeout: clock.Duration(limits.HeaderUS),
		IdleTimeout:       idleUnbounded,
		MaxHeaderBytes:    int(limits.HeaderBytes),
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext:       withCallerConn,
		ConnState:         trackConnState,
	}
	if limits.HeaderUS <= 0 {
		httpServer.ReadHeaderTimeout = defaultHeaderTimeout
	}
	s.httpServer.Store(httpServer)
	s.daemon.Group.Go("callers", func(context.Context) {
		if err := httpServer.Serve(callerListener{Listener: listener, idleLimit: s.idleLimit}); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.daemon.Log.Info("serving_failed", "error", err.Error())
			s.daemon.Stop()
		}
	})
	s.daemon.Group.Go("callers.close", func(ctx context.Context) {
		<-ctx.Done()
		_ = httpServer.Close()
	})
}

// drain lets what is in flight end. For a while new requests are still taken, since
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
