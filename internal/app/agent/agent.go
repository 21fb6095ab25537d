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

type server struct {
	settings  Settings
	daemon    *daemon.Daemon
	peers     *transport.PeerPool
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
func NewDaemon(settings Settings) (*daemon.Daemon, error) {
	if settings.TransportAddr == "" || len(settings.Seeds) == 0 {
		return nil, trace.BadParameter("wire and seeds are needed; give --wire a loopback IP:port and --seeds the registrars' addresses")
	}
	if h, _, _ := net.SplitHostPort(settings.TransportAddr); !net.ParseIP(h).IsLoopback() {
		return nil, trace.BadParameter("wire must be on loopback, beside its proxy; give --wire 127.0.0.1:port")
	}
	daemon := daemon.New("violetthread-agent", settings.Name+"-agent", settings.HTTPAddr, settings.DrainUS)
	if err := daemon.ProfileCPU(settings.CPUProfile); err != nil {
		return nil, err
	}
	s := &server{settings: settings, daemon: daemon, agent: agent.New(settings.Name, settings.Zone)}
	s.proxyNode.Store(&fb.NodeT{Name: settings.Name, Role: "remisier", Zone: settings.Zone, Addr: settings.TransportAddr})
	s.peers = transport.NewPeerPool(daemon.Group)
	s.session = session.New(daemon.Group, s.peers, settings.Seeds, func() *fb.NodeT { return s.proxyNode.Load() })
	l, err := net.Listen("tcp", settings.TransportAddr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; give --wire a free loopback IP:port", settings.TransportAddr)
	}
	transport.Serve(daemon.Group, l, s.handleFrame)
	s.session.Run()
	daemon.Group.Go("orders", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(queryInterval), s.queryIndexNodes) })
	daemon.Gauge("plan_rev", "revision of the plan held", func() float64 { return float64(s.session.View().Revision) })
	daemon.Gauge("plan_age_us", "time since the plan was vouched for", func() float64 { return float64(s.session.View().Age(clock.Now())) })
	daemon.SetReady("")
	return daemon, nil
}

func (s *server) handleFrame(ctx context.Context, f *fb.FrameT) *fb.FrameT {
	switch {
	case f.FeedRequest != nil && f.FeedRequest.Node != nil:
		return &fb.FrameT{FeedResponse: s.feedProxy(f.FeedRequest)}
	case f.OperationRequest != nil:
		t, err := s.session.Propose(ctx, f.OperationRequest, 1_900_000)
		if err != nil {
			s.daemon.Log.Info("op_unanswered", "key", f.OperationRequest.Key, "cause", err.Error())
			t = &fb.OperationResponseT{Status: byte(quorum.StatusUnknown)}
		}
		return &fb.FrameT{OperationResponse: t}
	}
	return nil
}

func (s *server) feedProxy(a *fb.FeedRequestT) *fb.FeedResponseT {
	s.proxyNode.Store(a.Node)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.session.View()
	return s.agent.Poll(clock.Now(), &v.Cached, v.Generation, a)
}

// round asks every index node for orders, each on its own.
func (s *server) queryIndexNodes(context.Context) {
	s.mu.Lock()
	as := s.agent.Queries(clock.Now(), s.session.View().Nodes)
	s.mu.Unlock()
	for _, a := range as {
		s.daemon.Group.Go("orders.ask", func(ctx context.Context) {
			at := clock.Now()
			f, err := s.peers.Get(a.Addr).Call(ctx, &fb.FrameT{CapacityRequest: a.Request}, queryTimeout)
			var t *fb.CapacityResponseT
			if err == nil {
				t = f.CapacityResponse
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.agent.HandleResponse(a, at, t)
		})
	}
}
