package sim

import (
	"fmt"
	"slices"

	"violetthread/agent"
	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/index"
	"violetthread/internal/codec"
	"violetthread/membership"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
	"violetthread/wal"
)

// Fleet is a whole fleet: control nodes, index nodes, proxies with their agents,
// engines, the platform and callers, all running the daemons' deciding code.
type Fleet struct {
	World            *World
	Cluster          *Cluster
	IndexNodes       []*IndexNode
	Gateways         []*Gateway
	Agents           []*Agent
	Engines          []*Engine
	Platform         *Host
	listing          []index.ListedEngine
	services         map[*ControlNode]*controlServices
	checker          *checker
	requestsSent     int
	nameWeights      func() // names new weights, for last faults
	callerGeneration uint64 // newest that any proxy told its callers
	// MuteNews loses this part of hint news, in thousandths.
	EventLossPermille int
	// HandFail makes this part of hand-overs fail quietly, in thousandths.
	TransferFailurePermille int
	// SlowFrom are peers whose hand-overs take longer than anyone waits, and
	// Unlearnt leaves what was learnt of links out of all orders.
	SlowTransfersFrom  map[string]bool
	HideTransferScores bool
	// Docs is how many long beginnings each group's prompts have; 0 is one.
	Documents int
	Tally     Tally
}

// Tally counts what a day came to.
type Tally struct {
	Sent, Done, Rejected, Unknown, Lost                          int
	Runs, Blocks, Reused, Transferred, TransfersInVain           int
	FirstUS                                                      int64 // summed over runs
	Arrived, Retries, Attempts                                   uint64
	PlansAcknowledged, KeysRevoked, WeightsNamed, EnginesDrained int
	IsolationChanges                                             int
	SlowestRevocationUS, SlowestDrainUS, SlowestWeightUpdateUS   int64
}

// side is what a registrar does beside voting: sessions and the plan's cache.
type controlServices struct {
	sessions *membership.Sessions
	plan     plan.Cached
}

const planKey = "plan"

// FleetSize says how large a simulated fleet is.
type FleetSize struct{ Gateways, Engines int }

// NewFleet makes a fleet and starts it.
func NewFleet(seed int64, size FleetSize) *Fleet {
	world := NewWorld(seed)
	fleet := &Fleet{World: world, Cluster: NewCluster(world, 4), services: map[*ControlNode]*controlServices{}}
	fleet.Cluster.generationUS = 4_000_000
	fleet.Cluster.logConfig = wal.Config{SegmentCount: 16, SegmentBytes: 64 << 10}
	fleet.checker = newChecker(fleet)
	fleet.Platform = world.NewHost("platform", "north", func() {})
	fleet.Platform.Start()
	for _, r := range fleet.Cluster.Nodes {
		fleet.addServices(r)
	}
	fleet.Cluster.onNewNode = fleet.addServices
	fleet.Cluster.Start()
	for i := 0; i < size.Engines; i++ {
		engine := newEngine(fleet, fmt.Sprintf("e%02d", i), zones[i%len(zones)], false)
		fleet.Engines = append(fleet.Engines, engine)
		fleet.listing = append(fleet.listing, index.ListedEngine{Name: engine.Name, Addr: engine.Name, Zone: engine.Zone})
		engine.Start()
	}
	store := newEngine(fleet, "store", zones[0], true)
	fleet.Engines = append(fleet.Engines, store)
	fleet.listing = append(fleet.listing, index.ListedEngine{Name: "store", Addr: "store", Zone: zones[0], Store: true})
	store.Start()
	for i := 0; i < 4; i++ {
		indexNode := &IndexNode{fleet: fleet}
		indexNode.Host = world.NewHost(fmt.Sprint("custodian", i), zones[i], indexNode.start)
		fleet.IndexNodes = append(fleet.IndexNodes, indexNode)
		indexNode.Start()
	}
	for i := 0; i < size.Gateways; i++ {
		r := &Agent{fleet: fleet, gateway: fmt.Sprint("remisier", i)}
		r.Host = world.NewHost(fmt.Sprint("runner", i), zones[i%len(zones)], r.start)
		gateway := &Gateway{fleet: fleet, agent: r}
		gateway.Host = world.NewHost(r.gateway, r.Zone, gateway.start)
		gateway.onStop = gateway.stopped
		fleet.Agents, fleet.Gateways = append(fleet.Agents, r), append(fleet.Gateways, gateway)
		r.Start()
		gateway.Start()
	}
	world.invariants = append(world.invariants, fleet.checker.checkInvariants)
	return fleet
}

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

// Custodian is an index node.
type IndexNode struct {
	*Host
	fleet   *Fleet
	session session
	node    *index.Node
	// leaving: it was stopped politely, gives its duties back and then ends.
	leaving bool
}

func (n *IndexNode) start() {
	fleet, world := n.fleet, n.fleet.World
	n.session, n.leaving = session{}, false
	inc := uint64(world.Rng.Int63()) >> 24
	n.node = index.New(n.Name, n.Zone, inc)
	holder := fmt.Sprintf("%s#%x", n.Name, inc)
	node := n.node
	fleet.keepSession(n.Host, &n.session, func() *fb.NodeT {
		status := &fb.NodeT{Name: n.Name, Role: "custodian", Zone: n.Zone, Addr: n.Name, Incarnation: inc, Ready: !n.leaving}
		return codec.AddIndexNodeStatus(node, n.Clock(), status)
	}, nil)
	n.Every(200_000, func() {
		at := n.Clock()
		Call(n.Host, fleet.Platform, 0, 600_000, func(_ int, reply func([]index.ListedEngine)) { reply(slices.Clone(fleet.listing)) },
			func(l []index.ListedEngine) { node.SetListing(at, l) }, func() {
				if !fleet.Platform.up { // its machine refuses connections
					node.ConfirmListing(at)
				}
			})
	})
	n.Every(100_000, func() {
		now := n.Clock()
		if n.session.plan.Plan != nil {
			node.ApplyPlan(n.session.plan.Plan, n.session.plan.ConfirmedAt)
		}
		peers, me := codec.ReadyIndexNodes(n.session.nodes, n.Name)
		if !me && !n.leaving {
			return
		}
		if node.SetPeers(peers); n.leaving {
			if node.SetPeers(nil); node.HoldsNoLeases() {
				n.Kill()
				return
			}
		}
		asks := node.LeaseOps(now)
		world.orderDuties(asks)
		for _, leaseOp := range asks {
			op := quorum.Operation{Type: quorum.OpAcquire, Key: leaseOp.Key, ExpectedRevision: leaseOp.Token, Holder: holder, LeaseDuration: index.LeaseDuration}
			if leaseOp.Release {
				op.Type = quorum.OpRelease
			}
			fleet.propose(n.Host, &n.session, world.Rng.Intn(4), op, 1_000_000, func(ans quorum.Result, ok bool) {
				node.LeaseAnswered(n.Clock(), leaseOp, now, ok && ans.Status == quorum.StatusDone, ans.Revision)
			})
		}
	})
	n.Every(150_000, func() {
		now := n.Clock()
		for _, p := range node.Polls(now) {
			n.pollEngine(node, p)
		}
		for _, t := range node.WeightUpdates(now) {
			if engine := fleet.engineNamed(t.Engine); engine != nil {
				world.observe("turn", n.Name, engine.Name, t)
				n.Send(engine.Host, func() { engine.updateWeights(t.Weights, t.FencingToken) })
			}
		}
	})
	n.Every(200_000, func() { n.followPeers(node) })
}

// room answers an agent, or passes its question on to the index node that it is for.
func (n *IndexNode) issueGrants(request *fb.CapacityRequestT, reply func(*fb.CapacityResponseT)) {
	if request.To == "" || request.To == n.Name {
		response := codec.AnswerCapacity(n.node, n.Clock(), n.Name, request)
		n.fleet.World.orderNews(response.Updates, response.UpdatesReset)
		reply(response)
		return
	}
	if other := n.fleet.indexNodeNamed(request.To); other != nil {
		Call(n.Host, other.Host, request, relayTimeout, other.issueGrants, reply, func() {})
	}
}

// relayPatience is how long an index node waits for an answer that it passes on.
const relayTimeout = 500_000

// engineParts are all parts that an engine keeps, as of a number of its reports.
type engineParts struct {
	inc, seq uint64
	parts    []cacheindex.Key
}

func (n *IndexNode) pollEngine(indexNode *index.Node, p index.Poll) {
	engine := n.fleet.engineNamed(p.Engine)
	if engine == nil {
		return
	}
	ask := func(inc, after uint64) {
		at := n.Clock()
		Call(n.Host, engine.Host, 0, 800_000, func(_ int, rep func(index.Report)) { rep(engine.report(inc, after)) },
			func(report index.Report) { indexNode.ApplyReport(n.Clock(), at, p.Engine, report) }, func() {})
	}
	if !p.NeedsHoldings {
		ask(p.Incarnation, p.AfterSeq)
		return
	}
	Call(n.Host, engine.Host, 0, 800_000, func(_ int, rep func(engineParts)) {
		rep(engineParts{engine.incarnation, engine.lastSequence, engine.heldBlocks()})
	},
		func(x engineParts) {
			indexNode.ResetHoldings(n.Clock(), p.Engine, x.inc, x.seq, x.parts)
			ask(x.inc, x.seq)
		}, func() {})
}

func (n *IndexNode) followPeers(indexNode *index.Node) {
	peers, _ := codec.ReadyIndexNodes(n.session.nodes, n.Name)
	for _, p := range peers {
		other := n.fleet.indexNodeNamed(p.Name)
		if other == nil || n.fleet.World.Rng.Intn(1000) < n.fleet.EventLossPermille {
			continue
		}
		ask := func(q *fb.UpdatesRequestT, got func(*fb.UpdatesResponseT)) {
			q.From = n.Name
			Call(n.Host, other.Host, q, 800_000, func(q *fb.UpdatesRequestT, reply func(*fb.UpdatesResponseT)) { reply(other.newsTell(q)) }, got, func() {})
		}
		if mine := indexNode.HeldShards(n.Clock()); len(mine) > 0 {
			cur := indexNode.HoldingsCursor(p.Name)
			ask(&fb.UpdatesRequestT{Feed: codec.HoldingsFeed, Shards: mine, Incarnation: cur.Incarnation, Since: cur.Next}, func(response *fb.UpdatesResponseT) {
				if indexNode.HoldingsCursor(p.Name) == cur {
					codec.ApplyHoldings(indexNode, n.Clock(), p.Name, response)
				}
			})
		}
		for _, s := range indexNode.ServedZones() {
			cur := *indexNode.ZoneCursor(s, p.Name)
			ask(&fb.UpdatesRequestT{Feed: codec.ZoneFeed, Zone: s, Incarnation: cur.Incarnation, Since: cur.Next}, func(response *fb.UpdatesResponseT) {
				if *indexNode.ZoneCursor(s, p.Name) == cur {
					indexNode.ApplyZoneUpdates(s, p.Name, index.ShardsOf(p), codec.UnpackBatch(response))
				}
			})
		}
	}
}

// newsTell answers another index node.
func (n *IndexNode) newsTell(q *fb.UpdatesRequestT) *fb.UpdatesResponseT {
	response := codec.AnswerUpdates(n.node, q)
	n.fleet.World.orderNews(response.Updates, response.Reset)
	n.fleet.World.orderPlaces(response.Locations)
	return response
}

func (f *Fleet) engineNamed(n string) *Engine {
	for _, engine := range f.Engines {
		if engine.Name == n {
			return engine
		}
	}
	return nil
}

func (f *Fleet) indexNodeNamed(n string) *IndexNode {
	for _, indexNode := range f.IndexNodes {
		if indexNode.Name == n {
			return indexNode
		}
	}
	return nil
}

// Runner is the agent beside a proxy.
type Agent struct {
	*Host
	fleet   *Fleet
	gateway string
	session session
	agent   *agent.Agent
	status  *fb.NodeT
}

func (a *Agent) start() {
	a.session, a.agent = session{}, agent.New(a.gateway, a.Zone)
	a.status = &fb.NodeT{Name: a.gateway, Role: "remisier", Zone: a.Zone}
	agent := a.agent
	a.fleet.keepSession(a.Host, &a.session, func() *fb.NodeT { return a.status }, nil)
	a.Every(120_000, func() {
		for _, query := range agent.Queries(a.Clock(), a.session.nodes) {
			indexNode, at := a.fleet.indexNodeNamed(query.Via), a.Clock()
			Call(a.Host, indexNode.Host, query.Request, 700_000, indexNode.issueGrants, func(response *fb.CapacityResponseT) {
				if a.fleet.HideTransferScores {
					for _, o := range response.Grants {
						o.TransferScores = nil
					}
				}
				agent.HandleReply(query, at, response)
			}, func() { agent.HandleReply(query, at, nil) })
		}
	})
}

// Proxy is a remisier: the real desk, and adapters to the simulated world.
type Gateway struct {
	*Host
	fleet       *Fleet
	agent       *Agent
	dispatcher  *dispatch.Dispatcher
	plan        plan.Cached
	hints       *cacheindex.Table
	hintCursor  codec.Cursor
	incarnation uint64
	lastRef     uint64
	requests    map[uint64]*callerRequest
}

// send is one sending of a ticket by a caller.
type callerRequest struct {
	group, kind, id, keyDigest string
	gateway                    *Gateway
	sentAt, deadline           int64 // true time
	planRevision               uint64
	attempts                   []string
	runs                       map[string]*engineRun
	pieces                     int
	piecesFrom                 string // the attempt its pieces came from
	ended                      bool
	probe                      bool
	reason                     string
	generation                 uint64
	pieceDelayUS               int64 // how much longer each of its pieces takes
}

func (g *Gateway) start() {
	fleet := g.fleet
	g.incarnation = uint64(fleet.World.Rng.Int63()) >> 24
	g.dispatcher, g.plan, g.hints, g.hintCursor, g.requests = dispatch.New(g.Name, g.Zone, g.incarnation), plan.Cached{}, cacheindex.NewTable(4096), codec.Cursor{}, map[uint64]*callerRequest{}
	dispatcher := g.dispatcher
	g.Every(100_000, func() {
		q := codec.FillFeedRequest(dispatcher, &fb.FeedRequestT{Node: &fb.NodeT{Name: g.Name, Role: "remisier", Zone: g.Zone, Incarnation: g.incarnation, Ready: true},
			HaveRevision: g.plan.Revision, UpdatesIncarnation: g.hintCursor.Inc, UpdatesSince: g.hintCursor.Next})
		at := g.Clock()
		agent := g.agent
		Call(g.Host, agent.Host, q, 500_000, func(q *fb.FeedRequestT, reply func(*fb.FeedResponseT)) {
			agent.status = q.Node
			reply(agent.agent.Poll(agent.Clock(), &agent.session.plan, agent.session.generation, q))
		}, func(response *fb.FeedResponseT) {
			old := g.plan.Revision
			g.plan, _, _ = g.plan.Apply(plan.Update{Revision: response.Revision, Age: response.Age, Raw: response.Plan, Confirmed: response.Confirmed}, at)
			if g.plan.Revision < old {
				fleet.World.Violation("fell back", "%s from revision %d to %d", g.Name, old, g.plan.Revision)
			}
			if g.plan.Plan != nil {
				g.perform(dispatcher.ApplyPlan(g.Clock(), g.plan.Plan, g.plan.ConfirmedAt))
			}
			g.perform(dispatcher.ApplyGrants(g.Clock(), codec.UnpackGrants(response.Grants, g.Clock()-at)))
			g.hintCursor = codec.ApplyUpdates(g.hints, g.hintCursor, response)
			fleet.callerGeneration = max(fleet.callerGeneration, response.Generation)
		}, func() {})
	})
	g.Every(dispatch.TickInterval, func() { g.perform(dispatcher.Tick(g.Clock())) })
}

// died tells callers and engines that their wires broke.
func (g *Gateway) stopped() {
	fleet := g.fleet
	c := g.dispatcher.Counters
	fleet.Tally.Arrived += c.Arrived
	fleet.Tally.Retries += c.Retries
	fleet.Tally.Attempts += c.Attempts
	for _, ref := range sortedRefs(g.requests) {
		request := g.requests[ref]
		if !request.ended {
			request.ended = true
			fleet.Tally.Lost++
		}
		for _, a := range request.attempts {
			if run := request.runs[a]; run != nil {
				run.cancel()
			}
		}
	}
	g.requests = map[uint64]*callerRequest{}
}

func sortedRefs(m map[uint64]*callerRequest) []uint64 {
	var rs []uint64
	for r := range m {
		rs = append(rs, r)
	}
	slices.Sort(rs)
	return rs
}

// arrive is a ticket at the proxy's door.
func (g *Gateway) admit(sent *callerRequest, prompt string, dueUS int64) {
	fleet := g.fleet
	now := g.Clock()
	sent.deadline = fleet.World.now + dueUS // it counts from arrival
	compiled := g.plan.Plan
	refused := func(why string) { fleet.requestEnded(sent, attempt.Rejected, why) }
	if compiled == nil || g.plan.Age(now) > dispatch.MaxPlanAge {
		refused("plan-not-fresh")
		return
	}
	group, ok := compiled.GroupOf(sent.keyDigest)
	if !ok || group != sent.group {
		refused("key-unknown")
		return
	}
	g.lastRef++
	request := dispatch.Request{Ref: g.lastRef, ID: sent.id, IDFromCaller: true, Generation: sent.generation, Group: group, Kind: sent.kind, KeyDigest: sent.keyDigest, Deadline: now + dueUS, Prompt: prompt, Weights: compiled.Weights, Domain: compiled.CacheDomain(group, compiled.Weights)}
	request.Chain = cacheindex.PrefixKeys(request.Domain, request.Weights, prompt)
	for i := len(request.Chain) - 1; i >= 0 && len(request.Hints) < 4; i-- {
		n, ok := g.hints.Get(request.Chain[i])
		for _, h := range request.Hints {
			ok = ok && h.Node != n
		}
		if ok {
			request.Hints = append(request.Hints, cacheindex.Hint{Block: i, Node: n})
		}
	}
	sent.planRevision, sent.runs = compiled.Revision, map[string]*engineRun{}
	g.requests[request.Ref] = sent
	actions, rejection := g.dispatcher.Admit(now, request)
	if rejection != nil {
		delete(g.requests, request.Ref)
		refused(rejection.Reason)
		return
	}
	fleet.checker.requestAdmitted(sent)
	g.perform(actions)
}

func (g *Gateway) perform(actions []dispatch.Action) {
	fleet := g.fleet
	for _, action := range actions {
		fleet.World.observe("act", g.Name, "", action)
		request := g.requests[action.Ref]
		switch action.Type {
		case dispatch.ActionClaim, dispatch.ActionReleaseClaim:
			op := quorum.Operation{Type: quorum.OpClaim, Key: action.ClaimKey, Value: []byte(action.ClaimNonce)}
			if action.Type == dispatch.ActionReleaseClaim {
				op.Type = quorum.OpUnclaim
			}
			g.claim(action, op)
		case dispatch.ActionStartAttempt:
			if request != nil {
				g.startAttempt(request, action)
			}
		case dispatch.ActionCancelAttempt:
			if request != nil {
				if run := request.runs[action.AttemptID]; run != nil {
					run.cancel()
				}
			}
		case dispatch.ActionFinish:
			if request != nil {
				delete(g.requests, action.Ref)
				fleet.requestEnded(request, action.Outcome, action.Reason)
			}
		}
	}
}

// claim goes by the agent to the control nodes, as in the daemons.
func (g *Gateway) claim(action dispatch.Action, op quorum.Operation) {
	agent := g.agent
	Call(g.Host, agent.Host, op, 2_000_000, func(operation quorum.Operation, reply func(quorum.Result)) {
		g.fleet.propose(agent.Host, &agent.session, agent.session.current, operation, 1_900_000, func(ans quorum.Result, ok bool) {
			if !ok {
				ans.Status = quorum.StatusUnknown
			}
			reply(ans)
		})
	}, func(ans quorum.Result) {
		if action.Type != dispatch.ActionClaim {
			return
		}
		claim := map[quorum.Status]attempt.ClaimState{quorum.StatusDone: attempt.ClaimGranted, quorum.StatusConflict: attempt.ClaimTaken, quorum.StatusGenerationClosed: attempt.ClaimClosed}[ans.Status]
		if claim == attempt.ClaimNotRequested {
			claim = attempt.ClaimUnknown
		}
		g.perform(g.dispatcher.ClaimAnswered(g.Clock(), action.Ref, claim))
	}, func() {
		if action.Type == dispatch.ActionClaim {
			g.perform(g.dispatcher.ClaimAnswered(g.Clock(), action.Ref, attempt.ClaimUnknown))
		}
	})
}

// attemptNote is what an observer is told of an attempt's course.
type attemptNote struct {
	state attempt.State
	cause string
}

func (g *Gateway) progress(action dispatch.Action, st attempt.State, cause string) {
	g.fleet.World.observe("attempt", g.Name, action.AttemptID, attemptNote{st, cause})
	g.perform(g.dispatcher.AttemptProgressed(g.Clock(), action.Ref, action.AttemptID, st, cause))
}

// startRun dials an engine: a connection that fails is proof that nothing began.
func (g *Gateway) startAttempt(request *callerRequest, action dispatch.Action) {
	fleet := g.fleet
	request.attempts = append(request.attempts, action.AttemptID)
	engine := fleet.engineNamed(action.Grant.Addr)
	if g.Clock() > action.StartBefore {
		g.After(1, func() { g.progress(action, attempt.NotStarted, "woke-late") })
		return
	}
	if engine == nil || !engine.up {
		g.After(300, func() { g.progress(action, attempt.NotStarted, "unreachable") })
		return
	}
	if engine.frozen || fleet.World.cutLinks[[2]string{g.Name, engine.Name}] || fleet.World.cutLinks[[2]string{engine.Name, g.Name}] {
		g.After(400_000, func() { g.progress(action, attempt.NotStarted, "unreachable") })
		return
	}
	run := &engineRun{fleet: fleet, request: request, gateway: g, action: action, engine: engine, engineProcess: engine.process, gatewayProcess: g.process}
	request.runs[action.AttemptID] = run
	g.Send(engine.Host, func() { engine.startRun(run) })
	// A wire whose far end dies is noticed; one whose messages are lost only by
	// the due.
	g.After(5_000, func() { run.checkEngine() })
}

// out passes a piece on to the caller.
func (g *Gateway) deliverPiece(run *engineRun, n int) {
	g.fleet.World.observe("piece", g.Name, run.action.AttemptID, n)
	request := run.request
	if request.ended || g.requests[run.action.Ref] != request {
		return
	}
	if n == 0 && !g.dispatcher.AllowFirstByte(run.action.Ref, run.action.AttemptID) {
		return
	}
	if request.piecesFrom != "" && request.piecesFrom != run.action.AttemptID || n != request.pieces {
		g.fleet.World.Violation("stitched", "%s/%s got piece %d of %s after %d of %s", request.group, request.id, n, run.action.AttemptID, request.pieces, request.piecesFrom)
	}
	request.piecesFrom = run.action.AttemptID
	request.pieces++
	g.fleet.checker.pieceDelivered(request)
}

// ticketEnd is what an observer is told of a ticket's end.
type ticketEnd struct {
	outcome attempt.Outcome
	reason  string
}

// ended is what the caller is told last.
func (f *Fleet) requestEnded(request *callerRequest, outcome attempt.Outcome, why string) {
	if request.ended {
		f.World.Violation("two ends", "%s/%s", request.group, request.id)
	}
	f.World.observe("ended", request.group, request.id, ticketEnd{outcome, why})
	request.ended = true
	request.reason = why
	f.checker.requestEnded(request, outcome, why)
}
