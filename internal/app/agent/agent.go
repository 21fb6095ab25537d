// Package agent is the agent beside a proxy: it keeps the link to the control
// nodes and the index nodes, and feeds the proxy over loopback.
package agent

import (
	"context"
	"net"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"violetthread/agent"
	"violetthread/internal/app/session"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// Settings of a runner.
type Settings struct{ daemon.NodeSettings }

// Defaults of the settings.
func Defaults() Settings { return Settings{daemon.NodeSettings{DrainUS: 500_000}} }

type runner struct {
	s    Settings
	d    *daemon.Daemon
	book *transport.PeerPool
	ses  *session.Session
	node atomic.Pointer[fb.NodeT]
	mu   sync.Mutex
	g    *agent.Agent
}

const (
	period   = 120_000
	patience = 700_000
)

// Run runs a runner until it is told to stop.
func Run(s Settings) error {
	d, err := New(s)
	if err != nil {
		return err
	}
	return d.Run()
}

// New makes one, ready to Run.
func New(s Settings) (*daemon.Daemon, error) {
	if s.TransportAddr == "" || len(s.Seeds) == 0 {
		return nil, trace.BadParameter("wire and seeds are needed; give --wire a loopback IP:port and --seeds the registrars' addresses")
	}
	if h, _, _ := net.SplitHostPort(s.TransportAddr); !net.ParseIP(h).IsLoopback() {
		return nil, trace.BadParameter("wire must be on loopback, beside its proxy; give --wire 127.0.0.1:port")
	}
	d := daemon.New("violetthread-agent", s.Name+"-agent", s.HTTPAddr, s.DrainUS)
	if err := d.ProfileCPU(s.CPUProfile); err != nil {
		return nil, err
	}
	r := &runner{s: s, d: d, g: agent.New(s.Name, s.Zone)}
	r.node.Store(&fb.NodeT{Name: s.Name, Role: "remisier", Site: s.Zone, Addr: s.TransportAddr})
	r.book = transport.NewPeerPool(d.Group)
	r.ses = session.New(d.Group, r.book, s.Seeds, func() *fb.NodeT { return r.node.Load() })
	l, err := net.Listen("tcp", s.TransportAddr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; give --wire a free loopback IP:port", s.TransportAddr)
	}
	transport.Serve(d.Group, l, r.handle)
	r.ses.Run()
	d.Group.Go("orders", func(ctx context.Context) { taskgroup.Every(ctx, clock.Micros(period), r.round) })
	d.Gauge("plan_rev", "revision of the plan held", func() float64 { return float64(r.ses.View().Rev) })
	d.Gauge("plan_age_us", "time since the plan was vouched for", func() float64 { return float64(r.ses.View().Age(clock.Now())) })
	d.SetReady("")
	return d, nil
}

func (r *runner) handle(ctx context.Context, f *fb.FrameT) *fb.FrameT {
	switch {
	case f.FeedAsk != nil && f.FeedAsk.Node != nil:
		return &fb.FrameT{FeedTell: r.feed(f.FeedAsk)}
	case f.OpAsk != nil:
		t, err := r.ses.Op(ctx, f.OpAsk, 1_900_000)
		if err != nil {
			r.d.Log.Info("op_unanswered", "key", f.OpAsk.Key, "cause", err.Error())
			t = &fb.OpTellT{Status: byte(quorum.Unknown)}
		}
		return &fb.FrameT{OpTell: t}
	}
	return nil
}

func (r *runner) feed(a *fb.FeedAskT) *fb.FeedTellT {
	r.node.Store(a.Node)
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.ses.View()
	return r.g.Feed(clock.Now(), &v.Held, v.Era, a)
}

// round asks every index node for orders, each on its own.
func (r *runner) round(context.Context) {
	r.mu.Lock()
	as := r.g.Asks(clock.Now(), r.ses.View().Nodes)
	r.mu.Unlock()
	for _, a := range as {
		r.d.Group.Go("orders.ask", func(ctx context.Context) {
			at := clock.Now()
			f, err := r.book.Get(a.Addr).Call(ctx, &fb.FrameT{RoomAsk: a.Room}, patience)
			var t *fb.RoomTellT
			if err == nil {
				t = f.RoomTell
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.g.Told(a, at, t)
		})
	}
}
