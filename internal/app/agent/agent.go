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
	"violetthread/internal/base"
	"violetthread/internal/clock"
	"violetthread/internal/link"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// Settings of a runner.
type Settings struct{ base.Node }

// Defaults of the settings.
func Defaults() Settings { return Settings{base.Node{Drain: 500_000}} }

type server struct {
	settings  Settings
	daemon    *base.Daemon
	peers     *link.Book
	session   *session.Session
	proxyNode atomic.Pointer[fb.NodeT]
	mu        sync.Mutex
	agent     *agent.Agent
}

const (
	queryInterval = 120_000
	queryTimeout  = 700_000
)

// Run runs a runner until it is told to stop.
func Run(settings Settings) error {
	d, err := NewDaemon(settings)
	if err != nil {
		return err
	}
	return d.Run()
}

// New makes one, ready to Run.
func NewDaemon(settings Settings) (*base.Daemon, error) {
	if settings.Wire == "" || len(settings.Seeds) == 0 {
		return nil, trace.BadParameter("wire and seeds are needed; give --wire a loopback IP:port and --seeds the registrars' addresses")
	}
	if h, _, _ := net.SplitHostPort(settings.Wire); !net.ParseIP(h).IsLoopback() {
		return nil, trace.BadParameter("wire must be on loopback, beside its proxy; give --wire 127.0.0.1:port")
	}
	daemon := base.Start("runner", settings.Name+"-runner", settings.HTTP, settings.Drain)
	if err := daemon.Profile(settings.CPU); err != nil {
		return nil, err
	}
	s := &server{settings: settings, daemon: daemon, agent: agent.New(settings.Name, settings.Site)}
	s.proxyNode.Store(&fb.NodeT{Name: settings.Name, Role: "remisier", Site: settings.Site, Addr: settings.Wire})
	s.peers = link.NewBook(daemon.Group)
	s.session = session.New(daemon.Group, s.peers, settings.Seeds, func() *fb.NodeT { return s.proxyNode.Load() })
	l, err := net.Listen("tcp", settings.Wire)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; give --wire a free loopback IP:port", settings.Wire)
	}
	link.Serve(daemon.Group, l, s.handleFrame)
	s.session.Run()
	daemon.Group.Go("orders", func(ctx context.Context) { taskgroup.Every(ctx, clock.Micros(queryInterval), s.queryIndexNodes) })
	daemon.Gauge("plan_rev", "revision of the plan held", func() float64 { return float64(s.session.View().Rev) })
	daemon.Gauge("plan_age_us", "time since the plan was vouched for", func() float64 { return float64(s.session.View().Age(clock.Now())) })
	daemon.SetReady("")
	return daemon, nil
}

func (s *server) handleFrame(ctx context.Context, f *fb.FrameT) *fb.FrameT {
	switch {
	case f.FeedAsk != nil && f.FeedAsk.Node != nil:
		return &fb.FrameT{FeedTell: s.feedProxy(f.FeedAsk)}
	case f.OpAsk != nil:
		t, err := s.session.Op(ctx, f.OpAsk, 1_900_000)
		if err != nil {
			s.daemon.Log.Info("op_unanswered", "key", f.OpAsk.Key, "cause", err.Error())
			t = &fb.OpTellT{Status: byte(quorum.Unknown)}
		}
		return &fb.FrameT{OpTell: t}
	}
	return nil
}

func (s *server) feedProxy(a *fb.FeedAskT) *fb.FeedTellT {
	s.proxyNode.Store(a.Node)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.session.View()
	return s.agent.Feed(clock.Now(), &v.Held, v.Era, a)
}

// round asks every index node for orders, each on its own.
func (s *server) queryIndexNodes(context.Context) {
	s.mu.Lock()
	as := s.agent.Queries(clock.Now(), s.session.View().Nodes)
	s.mu.Unlock()
	for _, a := range as {
		s.daemon.Group.Go("orders.ask", func(ctx context.Context) {
			at := clock.Now()
			f, err := s.peers.At(a.Addr).Call(ctx, &fb.FrameT{RoomAsk: a.Request}, queryTimeout)
			var t *fb.RoomTellT
			if err == nil {
				t = f.RoomTell
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.agent.HandleReply(a, at, t)
		})
	}
}
