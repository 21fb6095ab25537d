package session

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"violetthread/internal/clock"
	"violetthread/internal/rendezvous"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/plan"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	heartbeatInterval = 150_000
	heartbeatTimeout  = 600_000 // for the response of one control node
)

// View has the state that a session gets from the control nodes: the plan and the live nodes.
// It is immutable once published.
type View struct {
	plan.Cached
	Nodes      []*fb.NodeT
	Generation uint64 // newest generation of claims known to be open
}

// Session is a node's session with the control nodes.
type Session struct {
	group *taskgroup.Group
	peers *transport.PeerPool
	self  func() *fb.NodeT
	seeds []string
	view  atomic.Pointer[View]

	mu           sync.Mutex
	controlNodes []string // addresses of the voters, from the latest response that had them
	current      string   // address of the control node that the session is with; "" if none
}

// New creates a session; Run starts it. self returns this node's own state, for each
// heartbeat.
func New(group *taskgroup.Group, peers *transport.PeerPool, seeds []string, self func() *fb.NodeT) *Session {
	s := &Session{group: group, peers: peers, seeds: seeds, self: self}
	s.view.Store(&View{})
	return s
}

// View returns the newest view.
func (s *Session) View() *View { return s.view.Load() }

// Run starts sending heartbeats, until the group stops.
func (s *Session) Run() {
	s.group.Go("session", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(heartbeatInterval), s.heartbeat)
	})
}

// candidates lists the control nodes to try: the current one first, then the others in this
// node's own order of preference, so that nodes spread over the control nodes.
func (s *Session) candidates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addrs := slices.Clone(s.controlNodes)
	for _, seed := range s.seeds {
		if !slices.Contains(addrs, seed) {
			addrs = append(addrs, seed)
		}
	}
	name := s.self().Name
	slices.SortFunc(addrs, func(a, b string) int {
		switch {
		case a == b:
			return 0
		case a == s.current:
			return -1
		case b == s.current:
			return 1
		}
		return cmp.Compare(rendezvous.Score(name, b), rendezvous.Score(name, a))
	})
	return addrs
}

// heartbeat sends a heartbeat to one control node after another until one responds.
func (s *Session) heartbeat(ctx context.Context) {
	for _, addr := range s.candidates() {
		before := s.view.Load()
		sentAt := clock.Now()
		request := &fb.HeartbeatRequestT{Node: s.self(), HaveRevision: before.Revision}
		frame, err := s.peers.Get(addr).Call(ctx, &fb.FrameT{HeartbeatRequest: request}, heartbeatTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil || frame.HeartbeatResponse == nil {
			s.closeSession(addr)
			continue
		}
		s.openSession(addr, frame.HeartbeatResponse.ControlNodes)
		s.publish(before, frame.HeartbeatResponse, sentAt)
		return
	}
}

// closeSession ends the session if it is with the given control node, which did not respond.
func (s *Session) closeSession(addr string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == addr {
		s.group.Log().Info("session_lost", "control_node", addr)
		s.current = ""
	}
}

// openSession makes the control node that responded the current one, and stores the voters'
// addresses from its response.
func (s *Session) openSession(addr string, controlNodes []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current != addr {
		s.group.Log().Info("session_opened", "control_node", addr)
	}
	s.current = addr
	if len(controlNodes) > 0 {
		s.controlNodes = controlNodes
	}
}

// publish publishes a new view. The age of the plan counts from before the heartbeat was sent,
// so that it includes any delay of the response (docs/design.md §3).
func (s *Session) publish(before *View, response *fb.HeartbeatResponseT, sentAt int64) {
	next := *before
	next.Nodes = response.Nodes
	next.Generation = max(next.Generation, response.Generation)
	update := plan.Update{Revision: response.Revision, Age: response.Age, Raw: response.Plan, Confirmed: response.Confirmed}
	cached, changed, err := before.Apply(update, sentAt)
	if err != nil {
		s.group.Log().Info("plan_unreadable", "revision", response.Revision, "cause", err.Error())
	}
	next.Cached = cached
	s.view.Store(&next)
	if changed {
		s.group.Log().Info("plan_updated", "revision", next.Revision, "age_us", next.Age(clock.Now()))
	}
}
