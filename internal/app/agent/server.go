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
	"violetthread/internal/limits"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/membership"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// Settings of an agent are those of every node. Name is the name of its proxy.
type Settings struct{ daemon.NodeSettings }

// Defaults returns the default settings.
func Defaults() Settings { return Settings{daemon.NodeSettings{DrainUS: 500_000}} }

// Microseconds.
const (
	queryInterval    = 120_000   // between two rounds of queries to the index nodes
	queryTimeout     = 700_000   // for the response to a query
	operationTimeout = 1_900_000 // for an operation on a control key that the proxy requested
)

// server is a running agent.
type server struct {
	settings  Settings
	daemon    *daemon.Daemon
	peers     *transport.PeerPool
	session   *session.Session
	proxyNode atomic.Pointer[fb.NodeT] // the proxy's state from its latest poll, for heartbeats

	mu    sync.Mutex // guards agent
	agent *agent.Agent
}

// Run runs an agent until it is stopped.
func Run(settings Settings) error {
	process, err := NewDaemon(settings)
	if err != nil {
		return err
	}
	return process.Run()
}

// NewDaemon creates the daemon of an agent and starts its loops. The caller runs it with Run.
func NewDaemon(settings Settings) (*daemon.Daemon, error) {
	if err := settings.check(); err != nil {
		return nil, err
	}
	process := daemon.New("violetthread-agent", settings.Name+"-agent", settings.HTTPAddr, settings.DrainUS)
	if err := process.ProfileCPU(settings.CPUProfile); err != nil {
		return nil, err
	}
	s := &server{
		settings: settings,
		daemon:   process,
		peers:    transport.NewPeerPool(process.Group),
		agent:    agent.New(settings.Name, settings.Zone),
	}
	s.proxyNode.Store(&fb.NodeT{Name: settings.Name, Role: membership.RoleGateway, Zone: settings.Zone, Addr: settings.TransportAddr})
	s.session = session.New(process.Group, s.peers, settings.Seeds, s.proxyNode.Load)
	process.Machine = settings.Machine()
	listener, err := limits.Listen(settings.TransportAddr, process.NewPort(transport.PortName, 1-process.HTTPFraction))
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; set --wire to a free loopback IP:port", settings.TransportAddr)
	}
	transport.Serve(process.Group, listener, s.handleFrame)
	s.session.Run()
	process.Group.Go("queries", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(queryInterval), s.queryIndexNodes)
	})
	s.registerMetrics()
	process.SetReady("")
	return process, nil
}

// check validates settings beyond their form.
func (s Settings) check() error {
	if s.TransportAddr == "" || len(s.Seeds) == 0 {
		return trace.BadParameter("settings wire and seeds are required; set --wire to a loopback IP:port and --seeds to the addresses of the control nodes")
	}
	if host, _, _ := net.SplitHostPort(s.TransportAddr); !net.ParseIP(host).IsLoopback() {
		return trace.BadParameter("setting wire must be a loopback address, on the machine of the proxy; set --wire to 127.0.0.1:port")
	}
	return nil
}

func (s *server) registerMetrics() {
	s.daemon.Gauge("plan_rev", "revision of the plan held", func() float64 { return float64(s.session.View().Revision) })
	s.daemon.Gauge("plan_age_us", "time since the plan was vouched for", func() float64 { return float64(s.session.View().Age(clock.Now())) })
}

// handleFrame handles the requests of the proxy.
func (s *server) handleFrame(ctx context.Context, frame *fb.FrameT) *fb.FrameT {
	switch {
	case frame.FeedRequest != nil && frame.FeedRequest.Node != nil:
		return &fb.FrameT{FeedResponse: s.feedProxy(frame.FeedRequest)}
	case frame.OperationRequest != nil:
		return &fb.FrameT{OperationResponse: s.execute(ctx, frame.OperationRequest)}
	}
	return nil
}

// feedProxy answers the proxy's poll.
func (s *server) feedProxy(poll *fb.FeedRequestT) *fb.FeedResponseT {
	s.proxyNode.Store(poll.Node)
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.session.View()
	return s.agent.Poll(clock.Now(), &view.Cached, view.Generation, poll)
}

// execute has a control node execute an operation. If there is no response, the operation may
// still have taken effect.
func (s *server) execute(ctx context.Context, request *fb.OperationRequestT) *fb.OperationResponseT {
	response, err := s.session.Propose(ctx, request, operationTimeout)
	if err != nil {
		s.daemon.Log.Info("operation_unanswered", "key", request.Key, "cause", err.Error())
		return &fb.OperationResponseT{Status: byte(quorum.StatusUnknown)}
	}
	return response
}

// queryIndexNodes sends the queries that are due, each in a goroutine of its own.
func (s *server) queryIndexNodes(context.Context) {
	s.mu.Lock()
	queries := s.agent.Queries(clock.Now(), s.session.View().Nodes)
	s.mu.Unlock()
	for _, query := range queries {
		s.daemon.Group.Go("queries.ask", func(ctx context.Context) { s.query(ctx, query) })
	}
}

// query sends one query and passes its response to the agent.
func (s *server) query(ctx context.Context, query agent.Query) {
	askedAt := clock.Now()
	answer, err := s.peers.Get(query.Addr).Call(ctx, &fb.FrameT{CapacityRequest: query.Request}, queryTimeout)
	var response *fb.CapacityResponseT
	if err == nil {
		response = answer.CapacityResponse
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agent.HandleResponse(query, askedAt, response)
}
