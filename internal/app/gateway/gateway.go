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
	"violetthread/dispatch"
	"violetthread/hint"
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
	Runner string `json:"agent" old:"runner" validate:"required,ipport" help:"loopback IP:port of the agent beside it"`
	Hints  int    `json:"hints" validate:"min=64,max=16777216" help:"entries in the hint table"`
	Index  bool   `json:"index" help:"false leaves the hint table unused, to measure what it is worth"`
	daemon.RecordingSettings
}

// Defaults of the settings.
func Defaults() Settings {
	return Settings{NodeSettings: daemon.NodeSettings{DrainUS: 12_000_000}, Hints: 1 << 16, Index: true, RecordingSettings: daemon.RecordingDefaults}
}

type remisier struct {
	s      Settings
	d      *daemon.Daemon
	inc    uint64
	agent  *transport.Peer
	table  *hint.Table
	engine *http.Client
	// plan is swapped whole; tickets read it without a lock.
	plan   atomic.Pointer[plan.Held]
	refs   atomic.Uint64
	era    atomic.Uint64 // newest era of claims known here
	mu     sync.Mutex
	desk   *replay.Dispatcher
	calls  map[uint64]*call
	plain  atomic.Int64 // plain calls under way
	newsAt codec.Cursor
	claims lats
	spare  attempt.Budget // for calls to app back ends; under mu
}

// lats sums how long something took.
type lats struct{ n, us atomic.Int64 }

func (l *lats) add(us int64) { l.n.Add(1); l.us.Add(us) }

// Run runs a remisier until it is told to stop.
func Run(s Settings) error {
	d, err := New(s)
	if err != nil {
		return err
	}
	return d.Run()
}

// New makes one, ready to Run.
func New(s Settings) (*daemon.Daemon, error) {
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
	r := &remisier{s: s, d: d, inc: binary.LittleEndian.Uint64(b[:])>>24 | 1, table: hint.NewTable(s.Hints), calls: map[uint64]*call{}}
	r.plan.Store(&plan.Held{})
	r.desk = &replay.Dispatcher{Desk: dispatch.New(s.Name, s.Zone, r.inc)}
	if s.Recording != "" {
		w, err := recording.Create(s.Recording, recording.Header{Component: "desk", Name: s.Name, Zone: s.Zone, Incarnation: r.inc}, s.RecordingBytes)
		if err != nil {
			return nil, err
		}
		w.OnFull = func() { d.Log.Info("tape_full", "file", s.Recording, "bytes", s.RecordingBytes) }
		r.desk.Writer = w
		d.OnStop(func() { _ = w.Close() })
	}
	r.agent = transport.NewPeerPool(d.Group).Get(s.Runner)
	// No connection is used twice: a broken idle one would leave it open
	// whether an attempt began (design §6).
	dial := &net.Dialer{Timeout: 400 * time.Millisecond}
	r.engine = &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial.DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	d.Handle("/v1/tickets", r.ticketHTTP)
	d.Handle("/v1/era", r.eraHTTP)
	d.HandlePrefix("/", r.entryHTTP)
	d.Group.Go("feed", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(100_000), r.feed) })
	d.Group.Go("tick", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(dispatch.TickEvery), func(context.Context) {
			r.step(func(now int64) []dispatch.Act { return r.desk.Tick(now) })
		})
	})
	r.vitals()
	d.OnDrain(r.drain)
	return d, nil
}

// step runs the desk and carries its acts out.
func (r *remisier) step(f func(now int64) []dispatch.Act) {
	r.mu.Lock()
	acts := f(clock.Now())
	r.carry(acts)
	r.mu.Unlock()
}

// feed asks the agent for plan, orders and news, and tells it this proxy's need.
func (r *remisier) feed(ctx context.Context) {
	q := &fb.FeedAskT{Node: &fb.NodeT{Name: r.s.Name, Role: "remisier", Site: r.s.Zone, Http: r.s.HTTPAddr, Inc: r.inc, Ready: r.d.Ready()},
		Have: r.plan.Load().Rev, NewsInc: r.newsAt.Inc, NewsSince: r.newsAt.Next}
	r.mu.Lock()
	codec.FillFeedRequest(r.desk.Desk, q)
	r.mu.Unlock()
	at := clock.Now()
	f, err := r.agent.Call(ctx, &fb.FrameT{FeedAsk: q}, 500_000)
	if err == nil && f.FeedTell != nil {
		r.take(f.FeedTell, at)
	}
	r.judge()
}

// judge tells the platform whether this proxy can serve.
func (r *remisier) judge() {
	now := clock.Now()
	r.mu.Lock()
	room := r.desk.Room(now)
	age := r.desk.PlanAge(now)
	r.mu.Unlock()
	switch {
	case age > dispatch.PlanLimit:
		r.d.SetReady("no plan is known to be in force; check the runner beside this proxy and the registrars")
	case r.era.Load() == 0:
		r.d.SetReady("no era of claims is known; check the runner beside this proxy and the registrars")
	case room == 0:
		r.d.SetReady("no engine has room for this proxy; check the custodians and the platform's list")
	default:
		r.d.SetReady("")
	}
}

func (r *remisier) take(t *fb.FeedTellT, at int64) {
	n, changed, err := r.plan.Load().Take(plan.Word{Rev: t.Rev, Age: t.Age, Raw: t.Plan, Fresh: t.Fresh}, at)
	if err != nil {
		r.d.Log.Info("plan_unreadable", "rev", t.Rev, "cause", err.Error())
	}
	r.plan.Store(&n)
	if changed {
		r.d.Log.Info("plan", "rev", n.Rev, "age_us", n.Age(clock.Now()))
	}
	// Ages count from the question: the answer may have been long on its way.
	os := codec.UnpackGrants(t.Orders, clock.Now()-at)
	r.step(func(now int64) []dispatch.Act {
		var acts []dispatch.Act
		if n.Plan != nil {
			acts = r.desk.Plan(now, &n)
		}
		return append(acts, r.desk.Orders(now, os)...)
	})
	if t.Era > r.era.Load() {
		r.era.Store(t.Era)
	}
	r.newsAt = codec.ApplyUpdates(r.table, r.newsAt, t)
}

// carry hands the desk's acts to those who do them. The lock is held, so that
// nothing here may wait.
func (r *remisier) carry(acts []dispatch.Act) {
	for _, a := range acts {
		c := r.calls[a.Ref]
		switch a.Do {
		case dispatch.DoClaim:
			r.d.Group.Go("claim", func(ctx context.Context) { r.claim(ctx, a) })
		case dispatch.DoRelease:
			r.d.Group.Go("release", func(ctx context.Context) { r.unclaim(ctx, a) })
		case dispatch.DoStart:
			if c == nil {
				continue
			}
			ctx, cut := context.WithCancel(r.d.Group.Context())
			c.cuts[a.Attempt] = cut
			r.d.Group.Go("attempt", func(context.Context) {
				defer cut()
				r.attempt(ctx, c, a)
			})
		case dispatch.DoCancel:
			if c != nil && c.cuts[a.Attempt] != nil {
				c.cuts[a.Attempt]()
			}
		case dispatch.DoEnd:
			if c != nil {
				c.end = a
				close(c.done)
				delete(r.calls, a.Ref)
			}
		}
	}
}

func (r *remisier) claim(ctx context.Context, a dispatch.Act) {
	s := map[string]attempt.Claim{"": attempt.Held, "duplicate": attempt.Taken, "era-closed": attempt.Closed, "claim-unavailable": attempt.Doubtful}[r.claimWord(ctx, a)]
	r.step(func(now int64) []dispatch.Act { return r.desk.Claimed(now, a.Ref, s) })
}

// claimWord asks for a claim; "" means it is held.
func (r *remisier) claimWord(ctx context.Context, a dispatch.Act) string {
	at := clock.Now()
	f, err := r.agent.Call(ctx, &fb.FrameT{OpAsk: &fb.OpAskT{Kind: byte(quorum.OpClaim), Key: a.Claim, Val: []byte(a.Nonce)}}, 2_000_000)
	if err != nil || f.OpTell == nil {
		return "claim-unavailable"
	}
	switch quorum.Status(f.OpTell.Status) {
	case quorum.StatusDone:
		r.claims.add(clock.Now() - at)
		return ""
	case quorum.StatusConflict:
		return "duplicate"
	case quorum.StatusGenerationClosed:
		return "era-closed"
	}
	return "claim-unavailable"
}

func (r *remisier) unclaim(ctx context.Context, a dispatch.Act) {
	_, err := r.agent.Call(ctx, &fb.FrameT{OpAsk: &fb.OpAskT{Kind: byte(quorum.OpUnclaim), Key: a.Claim, Val: []byte(a.Nonce)}}, 2_000_000)
	if err != nil {
		// The claim stays; a resend of this ticket will not run.
		r.d.Log.Info("claim_kept", "group", a.Group, "ticket", a.ID, "cause", err.Error())
	}
}

// drain lets running tickets finish, then ends the rest explicitly.
func (r *remisier) drain(ctx context.Context) {
	for r.load() > 0 {
		if !taskgroup.Sleep(ctx, 20_000) {
			break
		}
	}
	r.mu.Lock()
	for ref := range r.calls {
		r.carry(r.desk.Stop(clock.Now(), ref, "stopping"))
	}
	r.mu.Unlock()
}

func (r *remisier) load() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.calls) + int(r.plain.Load())
}

func (r *remisier) vitals() {
	n := func(name, help string, f func(c dispatch.Counts) uint64) {
		r.d.Counter(name, help, func() float64 {
			r.mu.Lock()
			defer r.mu.Unlock()
			return float64(f(r.desk.Counts))
		})
	}
	n("tickets_total", "tickets that passed the checks at the door", func(c dispatch.Counts) uint64 { return c.Arrived })
	n("done_total", "tickets done", func(c dispatch.Counts) uint64 { return c.Done })
	n("refused_total", "tickets refused after they were taken in", func(c dispatch.Counts) uint64 { return c.Refused })
	n("unknown_total", "tickets that ended unknown", func(c dispatch.Counts) uint64 { return c.Unknown })
	n("attempts_total", "attempts sent to engines", func(c dispatch.Counts) uint64 { return c.Attempts })
	n("retries_total", "attempts after a ticket's first", func(c dispatch.Counts) uint64 { return c.Retries })
	n("takes_total", "attempts told to take a part from a peer", func(c dispatch.Counts) uint64 { return c.Takes })
	n("own_total", "attempts sent where a part already is", func(c dispatch.Counts) uint64 { return c.Own })
	n("claims_total", "claims asked for", func(c dispatch.Counts) uint64 { return c.Claims })
	r.d.Counter("claim_us_total", "time spent on claims granted", func() float64 { return float64(r.claims.us.Load()) })
	r.d.Counter("claims_granted_total", "claims granted", func() float64 { return float64(r.claims.n.Load()) })
	r.d.Gauge("hints", "entries used in the hint table", func() float64 { return float64(r.table.Len()) })
	r.d.Gauge("plan_rev", "revision of the plan in force here", func() float64 { return float64(r.plan.Load().Rev) })
	r.d.Gauge("plan_age_us", "time since the plan was vouched for", func() float64 { return float64(r.plan.Load().Age(clock.Now())) })
	r.d.Gauge("running", "tickets under way", func() float64 { return float64(r.load()) })
}
