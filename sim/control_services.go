package sim

import (
	"violetthread/membership"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

const planKey = "plan"

// controlServices are the services of a control node besides voting: it tracks the sessions of
// other nodes and caches the plan. Each process of the node starts with new ones.
type controlServices struct {
	sessions *membership.Sessions
	plan     plan.Cached
}

// addServices makes a control node start its services after its voter.
func (f *Fleet) addServices(node *ControlNode) {
	startVoter := node.boot
	node.boot = func() {
		startVoter()
		if node.Failure != nil {
			return
		}
		services := &controlServices{sessions: membership.New(node.Name)}
		f.services[node] = services
		node.Every(150_000, func() { f.refreshPlan(node, services) })
		node.Every(300_000, func() { f.announceSessions(node, services) })
	}
}

// refreshPlan reads the plan through the node itself or, if that fails, through another one:
// the link to the leader may be cut here but not there.
func (f *Fleet) refreshPlan(node *ControlNode, services *controlServices) {
	askedAt := node.Clock()
	read := quorum.Operation{Type: quorum.OpGet, Key: planKey}
	apply := func(result quorum.Result) (answered bool) {
		if result.Status == quorum.StatusDone && f.services[node] == services {
			update := plan.Update{Revision: result.Revision, Raw: result.Value, Confirmed: true}
			services.plan, _, _ = services.plan.Apply(update, askedAt)
		}
		return result.Status == quorum.StatusDone
	}
	node.Forward(read, 0, func(result quorum.Result) {
		other := pick(f.World, f.Cluster.Nodes)
		if apply(result) || other == node {
			return
		}
		serve := func(op quorum.Operation, reply func(quorum.Result)) { other.Forward(op, 1, reply) }
		Call(node.Host, other.Host, read, 600_000, serve, func(result quorum.Result) { apply(result) }, func() {})
	})
}

// announceSessions sends the other voters the list of live nodes.
func (f *Fleet) announceSessions(node *ControlNode, services *controlServices) {
	announcement := services.sessions.Announcement(node.Clock())
	if node.node == nil {
		return // not in a voter set yet
	}
	for _, other := range f.Cluster.Nodes {
		if _, isVoter := node.node.VoterSet().Find(other.Name); !isVoter || other == node {
			continue
		}
		f.World.observe("sessions", node.Name, other.Name, announcement)
		node.Send(other.Host, func() {
			if receiver := f.services[other]; receiver != nil {
				receiver.sessions.Merge(other.Clock(), announcement)
			}
		})
	}
}

// heartbeat records a node's heartbeat and responds with plan, nodes and voters.
func (s *controlServices) heartbeat(node *ControlNode, request *fb.HeartbeatRequestT) *fb.HeartbeatResponseT {
	now := node.Clock()
	s.sessions.Heartbeat(now, request.Node)
	response := &fb.HeartbeatResponseT{
		Revision:   s.plan.Revision,
		Age:        s.plan.Age(now),
		Confirmed:  s.plan.Known,
		Nodes:      s.sessions.Live(now),
		Generation: node.generation,
	}
	if response.Revision != request.HaveRevision {
		response.Plan = s.plan.Raw
	}
	for _, voter := range node.node.VoterSet().Voters {
		response.ControlNodes = append(response.ControlNodes, voter.Name)
	}
	return response
}
