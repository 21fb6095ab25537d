package sim

import (
	"slices"

	"violetthread/membership"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// side is what a registrar does beside voting: sessions and the plan's cache.
type controlServices struct {
	sessions *membership.Sessions
	plan     plan.Cached
}

const planKey = "plan"

// besides adds sessions and the plan's cache to a registrar's start.
func (f *Fleet) addServices(node *ControlNode) {
	vote, world := node.boot, f.World
	node.boot = func() {
		vote()
		if node.Failure != nil {
			return
		}
		services := &controlServices{sessions: membership.New(node.Name)}
		f.services[node] = services
		node.Every(150_000, func() {
			at := node.Clock()
			get := quorum.Operation{Type: quorum.OpGet, Key: planKey}
			take := func(result quorum.Result) bool {
				if result.Status == quorum.StatusDone && f.services[node] == services {
					services.plan, _, _ = services.plan.Apply(plan.Update{Revision: result.Revision, Raw: result.Value, Confirmed: true}, at)
				}
				return result.Status == quorum.StatusDone
			}
			node.Forward(get, 0, func(result quorum.Result) {
				other := f.Cluster.Nodes[world.Rng.Intn(len(f.Cluster.Nodes))]
				if take(result) || other == node {
					return
				}
				// The way to the owner may be cut here and not elsewhere.
				Call(node.Host, other.Host, get, 600_000, func(operation quorum.Operation, reply func(quorum.Result)) { other.Forward(operation, 1, reply) },
					func(result quorum.Result) { take(result) }, func() {})
			})
		})
		node.Every(300_000, func() {
			t := services.sessions.Announcement(node.Clock())
			if node.node == nil {
				return // in no roster yet
			}
			for _, other := range f.Cluster.Nodes {
				if _, in := node.node.VoterSet().Find(other.Name); in && other != node {
					world.observe("sessions", node.Name, other.Name, t)
					node.Send(other.Host, func() {
						if x := f.services[other]; x != nil {
							x.sessions.Merge(other.Clock(), t)
						}
					})
				}
			}
		})
	}
}

// member is what agents and index nodes have in common: a session.
type session struct {
	plan         plan.Cached
	nodes        []*fb.NodeT
	current      int // of known
	controlNodes []*ControlNode
	generation   uint64
}

func (f *Fleet) keepSession(host *Host, m *session, self func() *fb.NodeT, got func()) {
	// Three seeds out of the voters of when it started (operators keep the settings
	// up), whatever becomes of them later; every answer tells the voters.
	first := f.World.Rng.Intn(4)
	if m.controlNodes == nil {
		_, members := f.Cluster.currentVoters()
		for i := 0; i < min(3, len(members)); i++ {
			m.controlNodes = append(m.controlNodes, members[(first+i)%len(members)])
		}
		if len(members) == 0 {
			m.controlNodes = f.Cluster.Nodes[:3]
		}
	}
	host.Every(150_000, func() {
		node := m.controlNodes[m.current%len(m.controlNodes)]
		at := host.Clock()
		Call(host, node.Host, &fb.HeartbeatRequestT{Node: self(), HaveRevision: m.plan.Revision}, 600_000, func(request *fb.HeartbeatRequestT, reply func(*fb.HeartbeatResponseT)) {
			services := f.services[node]
			if services == nil || node.node == nil {
				return
			}
			now := node.Clock()
			services.sessions.Heartbeat(now, request.Node)
			t := &fb.HeartbeatResponseT{Revision: services.plan.Revision, Age: services.plan.Age(now), Confirmed: services.plan.Known, Nodes: services.sessions.Live(now), Generation: node.generation}
			if t.Revision != request.HaveRevision {
				t.Plan = services.plan.Raw
			}
			for _, voter := range node.node.VoterSet().Voters {
				t.ControlNodes = append(t.ControlNodes, voter.Name)
			}
			reply(t)
		}, func(t *fb.HeartbeatResponseT) {
			m.nodes, m.generation = t.Nodes, max(m.generation, t.Generation)
			var known []*ControlNode
			for _, other := range f.Cluster.Nodes {
				if slices.Contains(t.ControlNodes, other.Name) {
					known = append(known, other)
				}
			}
			for i, other := range known {
				if other == node {
					m.current = i
				}
			}
			if len(known) > 0 {
				m.controlNodes = known
			}
			m.plan, _, _ = m.plan.Apply(plan.Update{Revision: t.Revision, Age: t.Age, Raw: t.Plan, Confirmed: t.Confirmed}, at)
			if got != nil {
				got()
			}
		}, func() { m.current++ })
	})
}

// op carries an operation through registrars until one answers for the owner.
func (f *Fleet) propose(host *Host, m *session, at int, op quorum.Operation, left int64, end func(quorum.Result, bool)) {
	node := m.controlNodes[at%len(m.controlNodes)]
	t0 := f.World.now
	next := func() {
		if l := left - (f.World.now - t0); l > 30_000 && op.Type != quorum.OpPut {
			host.After(20_000, func() { f.propose(host, m, at+1, op, l-20_000, end) })
		} else {
			end(quorum.Result{}, false)
		}
	}
	Call(host, node.Host, op, min(left, 900_000), func(operation quorum.Operation, reply func(quorum.Result)) { node.Forward(operation, 0, reply) },
		func(result quorum.Result) {
			if result.Status == quorum.StatusNotLeader || result.Status == quorum.StatusUnknown {
				next()
				return
			}
			end(result, true)
		}, next)
}
