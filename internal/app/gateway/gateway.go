package gateway

import (
	"context"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/internal/app/process"
	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/daemon"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/plan"
	"violetthread/recording"
	"violetthread/recording/replay"
)

// Settings of a gateway.
type Settings struct {
	daemon.NodeSettings
	// Agent is the loopback IP:port of the agent beside the gateway. No default.
	Agent string `json:"agent" old:"runner" validate:"required,ipport" help:"loopback IP:port of the agent beside it"`
	// Hints is the number of entries of the hint table, 32 bytes each. Default 65,536.
	Hints int `json:"hints" validate:"min=64,max=16777216" help:"entries in the hint table"`
	// Index enables the use of the hint table; false is for measuring its benefit. Default true.
	Index bool `json:"index" help:"false leaves the hint table unused, to measure what it is worth"`
	daemon.RecordingSettings
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{NodeSettings: daemon.NodeSettings{DrainUS: 12_000_000}, Hints: 1 << 16, Index: true, RecordingSettings: daemon.RecordingDefaults}
}

const (
	feedInterval = 100_000 // microseconds between two polls of the agent
	dialTimeout  = 400 * time.Millisecond
	// A proxy has a small heap and a high allocation rate: less frequent garbage collection
	// costs a few megabytes and saves CPU time, which is the main cost of its machines.
	gcPercent = 400
)

// gateway is a running gateway.
type gateway struct {
	settings     Settings
	daemon       *daemon.Daemon
	incarnation  uint64
	agent        *transport.Peer
	table        *cacheindex.Table // hint table; only the feed loop writes it
	updateCursor codec.Cursor      // of the feed loop
	backends     *http.Client      // for engines and application back ends

	plan       atomic.Pointer[plan.Cached] // the pointed-to plan is immutable
	generation atomic.Uint64               // newest known generation of claims, 0 for none
	lastRef    atomic.Uint64               // latest number of a request or of a plain call's claim
	plainCalls atomic.Int64                // plain calls in flight

	mu               sync.Mutex // guards the fields below
	dispatcher       *replay.Dispatcher
	calls            map[uint64]*call    // by reference
	plainRetryBudget attempt.RetryBudget // of calls to application back ends

	claimLatency latencySum
}

// latencySum counts operations and sums their durations.
type latencySum struct{ count, totalUS atomic.Int64 }

func (l *latencySum) add(us int64) {
	l.count.Add(1)
	l.totalUS.Add(us)
}

// Run runs a gateway until it is stopped.
func Run(settings Settings) error {
	d, err := NewDaemon(settings)
	if err != nil {
		return err
	}
	return d.Run()
}

// NewDaemon creates the daemon of a gateway and starts its loops. The caller runs it with Run.
func NewDaemon(settings Settings) (*daemon.Daemon, error) {
	d := daemon.New("violetthread-gateway", settings.Name, settings.HTTPAddr, settings.DrainUS)
	d.Machine, d.HTTPFraction = settings.Machine(), 1
	debug.SetGCPercent(gcPercent)
	if err := d.ProfileCPU(settings.CPUProfile); err != nil {
		return nil, err
	}
	incarnation, err := process.NewIncarnation()
	if err != nil {
		return nil, err
	}
	header := recording.Header{Component: recording.ComponentDispatcher, Name: settings.Name, Zone: settings.Zone, Incarnation: incarnation}
	writer, err := process.StartRecording(d, settings.RecordingSettings, header)
	if err != nil {
		return nil, err
	}
	g := &gateway{
		settings:    settings,
		daemon:      d,
		incarnation: incarnation,
		agent:       transport.NewPeerPool(d.Group).Get(settings.Agent),
		table:       cacheindex.NewTable(settings.Hints),
		backends:    newBackendClient(),
		dispatcher:  &replay.Dispatcher{Dispatcher: dispatch.New(settings.Name, settings.Zone, incarnation), Writer: writer},
		calls:       map[uint64]*call{},
	}
	g.plan.Store(&plan.Cached{})
	g.start()
	return d, nil
}

// newBackendClient returns the client for engines and application back ends. Connections are
// not reused: if a request fails on an idle connection, it is unknown whether the attempt has
// started (docs/design.md §6).
func newBackendClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dialer.DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// start registers the handlers and starts the loops.
func (g *gateway) start() {
	g.daemon.Handle("/v1/tickets", g.serveRequest)
	g.daemon.Handle("/v1/era", g.serveGeneration)
	g.daemon.HandlePrefix("/", g.serveRoute)
	g.daemon.Group.Go("feed", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(feedInterval), g.feed)
	})
	g.daemon.Group.Go("tick", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(dispatch.TickInterval), func(context.Context) {
			g.step(func(now int64) []dispatch.Action { return g.dispatcher.Tick(now) })
		})
	})
	g.registerMetrics()
	g.daemon.OnDrain(g.drain)
}

// step calls the dispatcher under the lock and starts the actions that it returns.
func (g *gateway) step(decide func(now int64) []dispatch.Action) {
	g.mu.Lock()
	g.perform(decide(clock.Now()))
	g.mu.Unlock()
}

// perform starts actions. The caller holds the lock, so perform must not block.
func (g *gateway) perform(actions []dispatch.Action) {
	for _, action := range actions {
		call := g.calls[action.Ref]
		switch action.Type {
		case dispatch.ActionClaim:
			g.daemon.Group.Go("claim", func(ctx context.Context) { g.claim(ctx, action) })
		case dispatch.ActionReleaseClaim:
			g.daemon.Group.Go("release", func(ctx context.Context) { g.releaseClaim(ctx, action) })
		case dispatch.ActionStartAttempt:
			if call != nil {
				g.startAttempt(call, action)
			}
		case dispatch.ActionCancelAttempt:
			if call != nil && call.cancels[action.AttemptID] != nil {
				call.cancels[action.AttemptID]()
			}
		case dispatch.ActionFinish:
			if call != nil {
				call.final = action
				close(call.done)
				delete(g.calls, action.Ref)
			}
		}
	}
}

func (g *gateway) startAttempt(call *call, action dispatch.Action) {
	ctx, cancel := context.WithCancel(g.daemon.Group.Context())
	call.cancels[action.AttemptID] = cancel
	g.daemon.Group.Go("attempt", func(context.Context) {
		defer cancel()
		g.runAttempt(ctx, call, action)
	})
}

// drainCheckInterval is how often drain checks for remaining requests, in microseconds.
const drainCheckInterval = 20_000

// drain waits for running requests until ctx ends, and then stops the remaining ones, so that
// their callers get a last frame.
func (g *gateway) drain(ctx context.Context) {
	for g.inFlight() > 0 {
		if !taskgroup.Sleep(ctx, drainCheckInterval) {
			break
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for ref := range g.calls {
		g.perform(g.dispatcher.Stop(clock.Now(), ref, reasonStopping))
	}
}

// inFlight returns the number of requests and plain calls that have not ended.
func (g *gateway) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls) + int(g.plainCalls.Load())
}
