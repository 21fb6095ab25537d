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
	"violetthread/internal/limits"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/membership"
	"violetthread/placement"
	"violetthread/route"
	"violetthread/schema/fb"
)

// Settings of a proxy.
type Settings struct {
	Name        string              // unique in the fleet
	Zone        string              // where it runs; nodes and engines of the same zone are preferred
	HTTP        string              // IP:port of the operational endpoints (readiness, metrics)
	Listen      string              // IP:port for callers; opened once the proxy is ready
	Seeds       []string            // transport addresses of one to three control nodes
	Bounds      route.Bounds        // operator-defined limits
	HintEntries int                 // size of the hint table; a larger one covers more of the fleet's caches
	Policy      placement.Policy    // enabled mechanisms
	Cost        placement.CostModel // used to compare engines
	Machine     limits.Machine      // bounds what callers can make the proxy hold; what it leaves out is detected
}

// server is the state that the parts of the proxy share.
type server struct {
	settings     Settings
	daemon       *daemon.Daemon
	adapter      Adapter
	controlNodes *transport.PeerPool
	incarnation  uint64               // random id of this run of the process
	view         atomic.Pointer[view] // state of the fleet as last reported; never nil
	pool         *connPool
	callers      *limits.Port // share of the port for callers in the machine
	hints        *cacheindex.HolderTable
	hintsMu      sync.Mutex // guards writes to hints
	httpServer   atomic.Pointer[http.Server]
	enginesSeen  atomic.Bool // whether a fleet map with engines has been received
	counts       counts
	decisions    *decisionMetrics
	followed     atomic.Pointer[string] // address of the followed control node; nil for none
	loadChanges  chan struct{}          // wakes reportLoads

	mu                  sync.Mutex // guards the fields below
	picker              *placement.Picker
	retryWindows        map[string]*attempt.RetryWindow // by pool
	retryAllowance      float64                         // of each window
	loadsSequence       uint64                          // of the last report of loads
	pendingCacheUpdates []*fb.CacheUpdateT              // queued for the next report of loads
}

const (
	graceSlackUS = 700_000   // subtracted from the time for a graceful stop
	minGraceUS   = 1_000_000 // lower bound, however short that time is

	readinessIntervalUS = 40_000
	sweepIntervalUS     = 1_000_000

	// drainDelayUS is for how long new connections may still arrive after this proxy stops being
	// ready: the platform checks readiness once a second and acts on the second failure.
	drainDelayUS = 2_700_000

	// drainReceiveUS is for how long after that the rest of requests is still received. A request that is
	// complete later could not be answered before the process ends.
	drainReceiveUS = 500_000

	// retryShare is the fraction of the fleet's retry limits that is used, so that all proxies
	// together stay within the limits while they disagree on how many proxies there are.
	retryShare = 0.7

	// operationalFraction is the share of the port for readiness and metrics in what peers can make
	// the proxy hold.
	operationalFraction = 0.15

	portCallers = "callers" // name of the port for callers in logs and metrics
)

var noDeadline = time.Time{}

// New creates a proxy; Run starts it.
func New(settings Settings, adapter Adapter) (*daemon.Daemon, error) {
	if settings.Listen == "" || len(settings.Seeds) == 0 {
		return nil, trace.BadParameter("the proxy needs a listen address for callers and at least one control node; set bind-addresses.frontend and seed-nodes in the settings file")
	}
	incarnation, err := process.NewIncarnation()
	if err != nil {
		return nil, err
	}
	d := daemon.New("violetthread-proxy", settings.Name, settings.HTTP, max(settings.Bounds.GraceUS-graceSlackUS, minGraceUS))
	d.Machine, d.HTTPFraction = settings.Machine, operationalFraction
	s := &server{
		settings:       settings,
		daemon:         d,
		adapter:        adapter,
		controlNodes:   transport.NewPeerPool(d.Group),
		incarnation:    incarnation,
		pool:           newConnPool(),
		callers:        d.NewPort(portCallers, 1-operationalFraction),
		hints:          cacheindex.NewHolderTable(settings.HintEntries),
		retryWindows:   map[string]*attempt.RetryWindow{},
		retryAllowance: 1,
		counts:         counts{invalidResponses: newInvalidResponses()},
		decisions:      newDecisionMetrics(),
		loadChanges:    make(chan struct{}, 1),
	}
	s.picker = s.newPicker()
	s.pool.maxIdle = d.Machine.OrDetected().DialedConnections()
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

// newPicker returns a picker that knows no engines.
func (s *server) newPicker() *placement.Picker {
	picker := placement.New(s.settings.Zone, s.hints)
	picker.Policy, picker.Cost, picker.Connected = s.settings.Policy, s.settings.Cost, s.pool.connected
	return picker
}

// self returns the description of this proxy that control nodes list.
func (s *server) self() *fb.NodeT {
	return &fb.NodeT{Name: s.settings.Name, Role: membership.RoleProxy, Zone: s.settings.Zone, Http: s.settings.HTTP, Incarnation: s.incarnation, Ready: s.daemon.Ready()}
}

// retryWindow returns the window that holds this proxy's share of a pool's retries. The caller
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

// listen opens the port for callers.
func (s *server) listen() error {
	listener, err := limits.Listen(s.settings.Listen, s.callers)
	if err != nil {
		return trace.ConnectionProblem(err, "can't listen on %s; give it a free IP:port of this machine", s.settings.Listen)
	}
	s.serveCallers(listener)
	s.daemon.Log.Info("listening", "addr", s.settings.Listen)
	return nil
}

// serveCallers serves callers' requests from a listener. The limits of the configuration are looked up as
// requests arrive, since net/http's own are fixed when it starts.
func (s *server) serveCallers(listener net.Listener) {
	httpServer := &http.Server{
		Handler:           http.HandlerFunc(s.serveRequest),
		ReadHeaderTimeout: headerUnbounded,
		IdleTimeout:       idleUnbounded,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          log.New(io.Discard, "", 0),
		ConnContext:       withCallerConn,
		ConnState:         trackConnState,
	}
	s.httpServer.Store(httpServer)
	s.daemon.Group.Go("callers", func(context.Context) {
		if err := httpServer.Serve(callerListener{Listener: listener, idleLimit: s.idleLimit, headLimits: s.headLimits}); err != nil && !errors.Is(err, http.ErrServerClosed) {
			s.daemon.Log.Info("serving_failed", "error", err.Error())
			s.daemon.Stop()
		}
	})
	s.daemon.Group.Go("callers.close", func(ctx context.Context) {
		<-ctx.Done()
		_ = httpServer.Close()
	})
}

// drain lets requests in flight finish. New requests are accepted for drainDelayUS, since they
// still arrive; their responses ask the caller to close the connection, so that it connects to
// another proxy. Requests that are incomplete after that are cut off: they have not run.
func (s *server) drain(ctx context.Context) {
	httpServer := s.httpServer.Load()
	if httpServer == nil {
		return
	}
	taskgroup.Sleep(ctx, drainDelayUS)
	s.daemon.Group.Go("callers.close_waiting", func(context.Context) {
		taskgroup.Sleep(ctx, drainReceiveUS)
		s.callers.CloseWaiting()
	})
	_ = httpServer.Shutdown(ctx)
	s.pool.closeIdle()
}
