// Package session keeps a node a member: it beats at a registrar, takes the
// plan and the members back with their age, and carries operations on keys.
package session

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"violetthread/internal/clock"
	"violetthread/internal/rendezvous"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

const (
	heartbeatInterval = 150_000
	heartbeatTimeout  = 600_000
)

// View is what a session knows: the plan in force, and the members. It never
// changes once published.
type View struct {
	plan.Cached
	Nodes      []*fb.NodeT
	Generation uint64 // newest era of claims
}

// Session is a node's tie to the control nodes.
type Session struct {
	group        *taskgroup.Group
	book         *transport.PeerPool
	self         func() *fb.NodeT
	seeds        []string
	mu           sync.Mutex
	controlNodes []string
	current      string
	view         atomic.Pointer[View]
}

// New makes a session; Run starts it. Self tells of this node at each beat.
func New(c *taskgroup.Group, book *transport.PeerPool, seeds []string, self func() *fb.NodeT) *Session {
	s := &Session{group: c, book: book, seeds: seeds, self: self}
	s.view.Store(&View{})
	return s
}

// View returns the newest view.
func (s *Session) View() *View { return s.view.Load() }

// Run keeps the session up until the group stops.
func (s *Session) Run() {
	s.group.Go("session", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(heartbeatInterval), s.heartbeat)
	})
}

// order lists the registrars to try: the current one first, then the others by
// this node's own preference, so that nodes spread.
func (s *Session) candidates() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := slices.Clone(s.controlNodes)
	for _, x := range s.seeds {
		if !slices.Contains(l, x) {
			l = append(l, x)
		}
	}
	me := s.self().Name
	w := func(a string) uint64 { return rendezvous.Score(me, a) }
	slices.SortFunc(l, func(a, b string) int {
		switch {
		case a == b:
			return 0
		case a == s.current || b != s.current && w(a) > w(b):
			return -1
		}
		return 1
	})
	return l
}

func (s *Session) heartbeat(ctx context.Context) {
	for _, a := range s.candidates() {
		v := s.view.Load()
		at := clock.Now()
		r, err := s.book.Get(a).Call(ctx, &fb.FrameT{HeartbeatRequest: &fb.HeartbeatRequestT{Node: s.self(), HaveRevision: v.Revision}}, heartbeatTimeout)
		if ctx.Err() != nil {
			return
		}
		if err != nil || r.HeartbeatResponse == nil {
			s.mu.Lock()
			if s.current == a {
				s.group.Log().Info("session_lost", "registrar", a)
				s.current = ""
			}
			s.mu.Unlock()
			continue
		}
		s.mu.Lock()
		if s.current != a {
			s.group.Log().Info("session", "registrar", a)
		}
		s.current = a
		if len(r.HeartbeatResponse.ControlNodes) > 0 {
			s.controlNodes = r.HeartbeatResponse.ControlNodes
		}
		s.mu.Unlock()
		s.publish(v, r.HeartbeatResponse, at)
		return
	}
}

// take publishes a new view. The age counts from before the question was sent,
// so whatever the answer went through is in it (design §3).
func (s *Session) publish(v *View, t *fb.HeartbeatResponseT, at int64) {
	n := *v
	n.Nodes, n.Generation = t.Nodes, max(n.Generation, t.Generation)
	h, changed, err := v.Apply(plan.Update{Revision: t.Revision, Age: t.Age, Raw: t.Plan, Confirmed: t.Confirmed}, at)
	if err != nil {
		s.group.Log().Info("plan_unreadable", "rev", t.Revision, "cause", err.Error())
	}
	n.Cached = h
	s.view.Store(&n)
	if changed {
		s.group.Log().Info("plan", "rev", n.Revision, "age_us", n.Age(clock.Now()))
	}
}

// Op asks for an operation on a key and waits up to us for its end. An error
// means that the outcome is not known.
func (s *Session) Propose(ctx context.Context, op *fb.OperationRequestT, us int64) (*fb.OperationResponseT, error) {
	end := clock.Now() + us
	var last error = trace.ConnectionProblem(nil, "no registrar is reachable; check the seeds and the core machines")
	for i := 0; clock.Now() < end && ctx.Err() == nil; i++ {
		as := s.candidates()
		if len(as) == 0 {
			break
		}
		cp := *op
		r, err := s.book.Get(as[i%len(as)]).Call(ctx, &fb.FrameT{OperationRequest: &cp}, max(1000, min(end-clock.Now(), us/2+1000)))
		switch {
		case err != nil:
			last = err
			if op.Type == byte(quorum.OpPut) {
				return nil, err // the one kind that must not be repeated blindly
			}
		case r.OperationResponse == nil:
			last = trace.BadParameter("a registrar answered out of turn")
		case quorum.Status(r.OperationResponse.Status) == quorum.StatusUnknown && op.Type != byte(quorum.OpPut):
			last = trace.ConnectionProblem(nil, "the key changed owners meanwhile; ask again")
		case quorum.Status(r.OperationResponse.Status) == quorum.StatusNotLeader:
			last = trace.ConnectionProblem(nil, "the key has no owner just now; try again in a second")
		default:
			return r.OperationResponse, nil
		}
		if !taskgroup.Sleep(ctx, 20_000) {
			break
		}
	}
	return nil, last
}
