package sim

import (
	"slices"

	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// session is the state that agents and index nodes share: the control nodes to which they send
// heartbeats, and the data from the responses.
type session struct {
	plan         plan.Cached
	nodes        []*fb.NodeT
	current      int // index of the control node in use
	controlNodes []*ControlNode
	generation   uint64 // newest generation of claims received
}

// keepSession sends heartbeats with a node's status until its process ends.
func (f *Fleet) keepSession(host *Host, s *session, status func() *fb.NodeT, answered func()) {
	f.seed(s)
	host.Every(150_000, func() {
		node := s.controlNodes[s.current%len(s.controlNodes)]
		askedAt := host.Clock()
		request := &fb.HeartbeatRequestT{Node: status(), HaveRevision: s.plan.Revision}
		serve := func(request *fb.HeartbeatRequestT, reply func(*fb.HeartbeatResponseT)) {
			if services := f.services[node]; services != nil && node.node != nil {
				reply(services.heartbeat(node, request))
			}
		}
		Call(host, node.Host, request, 600_000, serve, func(response *fb.HeartbeatResponseT) {
			s.apply(f.Cluster, node, response, askedAt)
			if answered != nil {
				answered()
			}
		}, func() { s.current++ })
	})
}

// seed gives a new session three of the current voters, since operators keep the settings up
// to date. Every response then updates the list of voters.
func (f *Fleet) seed(s *session) {
	first := f.World.Rng.Intn(4)
	if s.controlNodes != nil {
		return
	}
	_, voters := f.Cluster.currentVoters()
	for i := range min(3, len(voters)) {
		s.controlNodes = append(s.controlNodes, voters[(first+i)%len(voters)])
	}
	if len(voters) == 0 {
		s.controlNodes = f.Cluster.Nodes[:3]
	}
}

// apply takes over the data of a control node's response.
func (s *session) apply(cluster *Cluster, node *ControlNode, response *fb.HeartbeatResponseT, askedAt int64) {
	s.nodes, s.generation = response.Nodes, max(s.generation, response.Generation)
	var known []*ControlNode
	for _, other := range cluster.Nodes {
		if slices.Contains(response.ControlNodes, other.Name) {
			known = append(known, other)
		}
	}
	if i := slices.Index(known, node); i >= 0 {
		s.current = i
	}
	if len(known) > 0 {
		s.controlNodes = known
	}
	update := plan.Update{Revision: response.Revision, Age: response.Age, Raw: response.Plan, Confirmed: response.Confirmed}
	s.plan, _, _ = s.plan.Apply(update, askedAt)
}

// propose sends an operation to one control node after the other, starting at an index, until
// one has a definite result or the time is over.
func (f *Fleet) propose(host *Host, s *session, at int, op quorum.Operation, leftUS int64, end func(quorum.Result, bool)) {
	node := s.controlNodes[at%len(s.controlNodes)]
	askedAt := f.World.now
	next := func() {
		left := leftUS - (f.World.now - askedAt)
		if left > 30_000 && op.Type != quorum.OpPut {
			host.After(20_000, func() { f.propose(host, s, at+1, op, left-20_000, end) })
		} else {
			end(quorum.Result{}, false)
		}
	}
	Call(host, node.Host, op, min(leftUS, 900_000), node.serve, func(result quorum.Result) {
		if result.Status == quorum.StatusNotLeader || result.Status == quorum.StatusUnknown {
			next()
			return
		}
		end(result, true)
	}, next)
}
