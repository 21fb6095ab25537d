// Package gateway is the proxy: callers' tickets come in over HTTP and run on
// the engines that the desk chooses.
package gateway

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/daemon"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/recording"
	"violetthread/recording/replay"
	"violetthread/schema/fb"
)

// Settings of a remisier.
type Settings struct {
	daemon.NodeSettings
	Agent string `json:"agent" old:"runner" validate:"required,ipport" help:"loopback IP:port of the agent beside it"`
	Hints int    `json:"hints" validate:"min=64,max=16777216" help:"entries in the hint table"`
	Index bool   `json:"index" help:"false leaves the hint table unused, to measure what it is worth"`
	daemon.RecordingSettings
}

// Defaults of the settings.
func Defaults() Settings {
	return Settings{NodeSettings: daemon.NodeSettings{DrainUS: 12_000_000}, Hints: 1 << 16, Index: true, RecordingSettings: daemon.RecordingDefaults}
}

type gateway struct {
	settings    Settings
	daemon      *daemon.Daemon
	incarnation uint64
	agent       *transport.Peer
	table       *cacheindex.Table
	engineHTTP  *http.Client
	// plan is swapped whole; tickets read it without a lock.
	plan             atomic.Pointer[plan.Cached]
	lastRef          atomic.Uint64
	generation       atomic.Uint64 // newest era of claims known here
	mu               sync.Mutex
	dispatcher       *replay.Dispatcher
	calls            map[uint64]*call
	plainCalls       atomic.Int64 // plain calls under way
	updateCursor     codec.Cursor
	claimLatency     latencySum
	plainRetryBudget attempt.RetryBudget // for calls to app back ends; under mu
}

// lats sums how long something took.
type latencySum struct{ count, totalUS atomic.Int64 }

func (l *latencySum) add(us int64) { l.count.Add(1); l.totalUS.Add(us) }

// Run runs a remisier until it is told to stop.
func Run(s Settings) error {
	d, err := NewDaemon(s)
	if err != nil {
		return err
	}
	return d.Run()
}

// New makes one, ready to Run.
func NewDaemon(s Settings) (*daemon.Daemon, error) {
	d := daemon.New("violetthread-gateway", s.Name, s.HTTPAddr, s.DrainUS)
	// A proxy keeps little and makes much garbage: rarer collections cost it a few
	// megabytes and save processor time, for which its machines are paid.
	debug.SetGCPercent(400)
	if err := d.ProfileCPU(s.CPUProfile); err != nil {
		return nil, err
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, trace.Wrap(err)
	}
	r := &gateway{settings: s, daemon: d, incarnation: binary.LittleEndian.Uint64(b[:])>>24 | 1, table: cacheindex.NewTable(s.Hints), calls: map[uint64]*call{}}
	r.plan.Store(&plan.Cached{})
	r.dispatcher = &replay.Dispatcher{Dispatcher: dispatch.New(s.Name, s.Zone, r.incarnation)}
	if s.Recording != "" {
		w, err := recording.Create(s.Recording, recording.Header{Component: recording.ComponentDispatcher, Name: s.Name, Zone: s.Zone, Incarnation: r.incarnation}, s.RecordingBytes)
		if err != nil {
			return nil, err
		}
		w.OnFull = func() { d.Log.Info("recording_full", "file", s.Recording, "bytes", s.RecordingBytes) }
		r.dispatcher.Writer = w
		d.OnStop(func() { _ = w.Close() })
	}
	r.agent = transport.NewPeerPool(d.Group).Get(s.Agent)
	// No connection is used twice: a broken idle one would leave it open
	// whether an attempt began (design §6).
	dial := &net.Dialer{Timeout: 400 * time.Millisecond}
	r.engineHTTP = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial.DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	d.Handle("/v1/tickets", r.serveRequest)
	d.Handle("/v1/era", r.serveGeneration)
	d.HandlePrefix("/", r.serveRoute)
	d.Group.Go("feed", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(100_000), r.feed) })
	d.Group.Go("tick", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(dispatch.TickInterval), func(context.Context) {
			r.step(func(now int64) []dispatch.Action { return r.dispatcher.Tick(now) })
		})
	})
	r.registerMetrics()
	d.OnDrain(r.drain)
	return d, nil
}

// step runs the desk and carries its acts out.
func (g *gateway) step(f func(now int64) []dispatch.Action) {
	g.mu.Lock()
	acts := f(clock.Now())
	g.perform(acts)
	g.mu.Unlock()
}

// feed asks the agent for plan, orders and news, and tells it this proxy's need.
func (g *gateway) feed(ctx context.Context) {
	q := &fb.FeedRequestT{Node: &fb.NodeT{Name: g.settings.Name, Role: "remisier", Zone: g.settings.Zone, Http: g.settings.HTTPAddr, Incarnation: g.incarnation, Ready: g.daemon.Ready()},
		HaveRevision: g.plan.Load().Revision, UpdatesIncarnation: g.updateCursor.Incarnation, UpdatesSince: g.updateCursor.Next}
	g.mu.Lock()
	codec.FillFeedRequest(g.dispatcher.Dispatcher, q)
	g.mu.Unlock()
	at := clock.Now()
	f, err := g.agent.Call(ctx, &fb.FrameT{FeedRequest: q}, 500_000)
	if err == nil && f.FeedResponse != nil {
		g.applyFeed(f.FeedResponse, at)
	}
	g.updateReadiness()
}

// judge tells the platform whether this proxy can serve.
func (g *gateway) updateReadiness() {
	now := clock.Now()
	g.mu.Lock()
	room := g.dispatcher.Capacity(now)
	age := g.dispatcher.PlanAge(now)
	g.mu.Unlock()
	switch {
	case age > dispatch.MaxPlanAge:
		g.daemon.SetReady("no plan is known to be in force; check the runner beside this proxy and the registrars")
	case g.generation.Load() == 0:
		g.daemon.SetReady("no era of claims is known; check the runner beside this proxy and the registrars")
	case room == 0:
		g.daemon.SetReady("no engine has room for this proxy; check the custodians and the platform's list")
	default:
		g.daemon.SetReady("")
	}
}

func (g *gateway) applyFeed(t *fb.FeedResponseT, at int64) {
	n, changed, err := g.plan.Load().Apply(plan.Update{Revision: t.Revision, Age: t.Age, Raw: t.Plan, Confirmed: t.Confirmed}, at)
	if err != nil {
		g.daemon.Log.Info("plan_unreadable", "revision", t.Revision, "cause", err.Error())
	}
	g.plan.Store(&n)
	if changed {
		g.daemon.Log.Info("plan_updated", "revision", n.Revision, "age_us", n.Age(clock.Now()))
	}
	// Ages count from the question: the answer may have been long on its way.
	os := codec.UnpackGrants(t.Grants, clock.Now()-at)
	g.step(func(now int64) []dispatch.Action {
		var acts []dispatch.Action
		if n.Plan != nil {
			acts = g.dispatcher.ApplyPlan(now, &n)
		}
		return append(acts, g.dispatcher.ApplyGrants(now, os)...)
	})
	if t.Generation > g.generation.Load() {
		g.generation.Store(t.Generation)
	}
	g.updateCursor = codec.ApplyUpdates(g.table, g.updateCursor, t)
}

// carry hands the desk's acts to those who do them. The lock is held, so that
// nothing here may wait.
func (g *gateway) perform(acts []dispatch.Action) {
	for _, a := range acts {
		c := g.calls[a.Ref]
		switch a.Type {
		case dispatch.ActionClaim:
			g.daemon.Group.Go("claim", func(ctx context.Context) { g.claim(ctx, a) })
		case dispatch.ActionReleaseClaim:
			g.daemon.Group.Go("release", func(ctx context.Context) { g.releaseClaim(ctx, a) })
		case dispatch.ActionStartAttempt:
			if c == nil {
				continue
			}
			ctx, cut := context.WithCancel(g.daemon.Group.Context())
			c.cancels[a.AttemptID] = cut
			g.daemon.Group.Go("attempt", func(context.Context) {
				defer cut()
				g.runAttempt(ctx, c, a)
			})
		case dispatch.ActionCancelAttempt:
			if c != nil && c.cancels[a.AttemptID] != nil {
				c.cancels[a.AttemptID]()
			}
		case dispatch.ActionFinish:
			if c != nil {
				c.final = a
				close(c.done)
				delete(g.calls, a.Ref)
			}
		}
	}
}

func (g *gateway) claim(ctx context.Context, a dispatch.Action) {
	s := map[string]attempt.ClaimState{"": attempt.ClaimGranted, "duplicate": attempt.ClaimTaken, "era-closed": attempt.ClaimClosed, "claim-unavailable": attempt.ClaimUnknown}[g.askClaim(ctx, a)]
	g.step(func(now int64) []dispatch.Action { return g.dispatcher.ClaimAnswered(now, a.Ref, s) })
}

// claimWord asks for a claim; "" means it is held.
func (g *gateway) askClaim(ctx context.Context, a dispatch.Action) string {
	at := clock.Now()
	f, err := g.agent.Call(ctx, &fb.FrameT{OperationRequest: &fb.OperationRequestT{Type: byte(quorum.OpClaim), Key: a.ClaimKey, Value: []byte(a.ClaimNonce)}}, 2_000_000)
	if err != nil || f.OperationResponse == nil {
		return "claim-unavailable"
	}
	switch quorum.Status(f.OperationResponse.Status) {
	case quorum.StatusDone:
		g.claimLatency.add(clock.Now() - at)
		return ""
	case quorum.StatusConflict:
		return "duplicate"
	case quorum.StatusGenerationClosed:
		return "era-closed"
	}
	return "claim-unavailable"
}

func (g *gateway) releaseClaim(ctx context.Context, a dispatch.Action) {
	_, err := g.agent.Call(ctx, &fb.FrameT{OperationRequest: &fb.OperationRequestT{Type: byte(quorum.OpUnclaim), Key: a.ClaimKey, Value: []byte(a.ClaimNonce)}}, 2_000_000)
	if err != nil {
		// The claim stays; a resend of this ticket will not run.
		g.daemon.Log.Info("claim_kept", "group", a.Group, "ticket", a.RequestID, "cause", err.Error())
	}
}

// drain lets running tickets finish, then ends the rest explicitly.
func (g *gateway) drain(ctx context.Context) {
	for g.inFlight() > 0 {
		if !taskgroup.Sleep(ctx, 20_000) {
			break
		}
	}
	g.mu.Lock()
	for ref := range g.calls {
		g.perform(g.dispatcher.Stop(clock.Now(), ref, "stopping"))
	}
	g.mu.Unlock()
}

func (g *gateway) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls) + int(g.plainCalls.Load())
}

func (g *gateway) registerMetrics() {
	n := func(name, help string, f func(c dispatch.Counters) uint64) {
		g.daemon.Counter(name, help, func() float64 {
			g.mu.Lock()
			defer g.mu.Unlock()
			return float64(f(g.dispatcher.Counters))
		})
	}
	n("tickets_total", "tickets that passed the checks at the door", func(c dispatch.Counters) uint64 { return c.Arrived })
	n("done_total", "tickets done", func(c dispatch.Counters) uint64 { return c.Done })
	n("refused_total", "tickets refused after they were taken in", func(c dispatch.Counters) uint64 { return c.Refused })
	n("unknown_total", "tickets that ended unknown", func(c dispatch.Counters) uint64 { return c.Unknown })
	n("attempts_total", "attempts sent to engines", func(c dispatch.Counters) uint64 { return c.Attempts })
	n("retries_total", "attempts after a ticket's first", func(c dispatch.Counters) uint64 { return c.Retries })
	n("takes_total", "attempts told to take a part from a peer", func(c dispatch.Counters) uint64 { return c.Transfers })
	n("own_total", "attempts sent where a part already is", func(c dispatch.Counters) uint64 { return c.LocalHits })
	n("claims_total", "claims asked for", func(c dispatch.Counters) uint64 { return c.Claims })
	g.daemon.Counter("claim_us_total", "time spent on claims granted", func() float64 { return float64(g.claimLatency.totalUS.Load()) })
	g.daemon.Counter("claims_granted_total", "claims granted", func() float64 { return float64(g.claimLatency.count.Load()) })
	g.daemon.Gauge("hints", "entries used in the hint table", func() float64 { return float64(g.table.Len()) })
	g.daemon.Gauge("plan_rev", "revision of the plan in force here", func() float64 { return float64(g.plan.Load().Revision) })
	g.daemon.Gauge("plan_age_us", "time since the plan was vouched for", func() float64 { return float64(g.plan.Load().Age(clock.Now())) })
	g.daemon.Gauge("running", "tickets under way", func() float64 { return float64(g.inFlight()) })
}
