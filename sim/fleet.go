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
	f := &Fleet{World: world, Cluster: NewCluster(world, 4), services: map[*ControlNode]*controlServices{}}
	f.Cluster.generationUS = 4_000_000
	f.Cluster.logConfig = wal.Config{SegmentCount: 16, SegmentBytes: 64 << 10}
	f.checker = newChecker(f)
	f.Platform = world.NewHost("platform", "north", func() {})
	f.Platform.Start()
	for _, r := range f.Cluster.Nodes {
		f.addServices(r)
	}
	f.Cluster.onNewNode = f.addServices
	f.Cluster.Start()
	for i := 0; i < size.Engines; i++ {
		e := newEngine(f, fmt.Sprintf("e%02d", i), zones[i%len(zones)], false)
		f.Engines = append(f.Engines, e)
		f.listing = append(f.listing, index.ListedEngine{Name: e.Name, Addr: e.Name, Zone: e.Zone})
		e.Start()
	}
	st := newEngine(f, "store", zones[0], true)
	f.Engines = append(f.Engines, st)
	f.listing = append(f.listing, index.ListedEngine{Name: "store", Addr: "store", Zone: zones[0], Store: true})
	st.Start()
	for i := 0; i < 4; i++ {
		c := &IndexNode{fleet: f}
		c.Host = world.NewHost(fmt.Sprint("custodian", i), zones[i], c.start)
		f.IndexNodes = append(f.IndexNodes, c)
		c.Start()
	}
	for i := 0; i < size.Gateways; i++ {
		r := &Agent{fleet: f, gateway: fmt.Sprint("remisier", i)}
		r.Host = world.NewHost(fmt.Sprint("runner", i), zones[i%len(zones)], r.start)
		p := &Gateway{fleet: f, agent: r}
		p.Host = world.NewHost(r.gateway, r.Zone, p.start)
		p.onStop = p.stopped
		f.Agents, f.Gateways = append(f.Agents, r), append(f.Gateways, p)
		r.Start()
		p.Start()
	}
	world.invariants = append(world.invariants, f.checker.checkInvariants)
	return f
}

// besides adds sessions and the plan's cache to a registrar's start.
func (f *Fleet) addServices(r *ControlNode) {
	vote, world := r.boot, f.World
	r.boot = func() {
		vote()
		if r.Failure != nil {
			return
		}
		s := &controlServices{sessions: membership.New(r.Name)}
		f.services[r] = s
		r.Every(150_000, func() {
			at := r.Clock()
			get := quorum.Operation{Type: quorum.OpGet, Key: planKey}
			take := func(a quorum.Result) bool {
				if a.Status == quorum.StatusDone && f.services[r] == s {
					s.plan, _, _ = s.plan.Apply(plan.Update{Revision: a.Revision, Raw: a.Value, Confirmed: true}, at)
				}
				return a.Status == quorum.StatusDone
			}
			r.Forward(get, 0, func(a quorum.Result) {
				o := f.Cluster.Nodes[world.Rng.Intn(len(f.Cluster.Nodes))]
				if take(a) || o == r {
					return
				}
				// The way to the owner may be cut here and not elsewhere.
				Call(r.Host, o.Host, get, 600_000, func(q quorum.Operation, rep func(quorum.Result)) { o.Forward(q, 1, rep) },
					func(a quorum.Result) { take(a) }, func() {})
			})
		})
		r.Every(300_000, func() {
			t := s.sessions.Announcement(r.Clock())
			if r.node == nil {
				return // in no roster yet
			}
			for _, o := range f.Cluster.Nodes {
				if _, in := r.node.VoterSet().Find(o.Name); in && o != r {
					world.observe("sessions", r.Name, o.Name, t)
					r.Send(o.Host, func() {
						if x := f.services[o]; x != nil {
							x.sessions.Merge(o.Clock(), t)
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

func (f *Fleet) keepSession(h *Host, m *session, self func() *fb.NodeT, got func()) {
	// Three seeds out of the voters of when it started (operators keep the settings
	// up), whatever becomes of them later; every answer tells the voters.
	first := f.World.Rng.Intn(4)
	if m.controlNodes == nil {
		_, in := f.Cluster.currentVoters()
		for i := 0; i < min(3, len(in)); i++ {
			m.controlNodes = append(m.controlNodes, in[(first+i)%len(in)])
		}
		if len(in) == 0 {
			m.controlNodes = f.Cluster.Nodes[:3]
		}
	}
	h.Every(150_000, func() {
		r := m.controlNodes[m.current%len(m.controlNodes)]
		at := h.Clock()
		Call(h, r.Host, &fb.HeartbeatRequestT{Node: self(), HaveRevision: m.plan.Revision}, 600_000, func(q *fb.HeartbeatRequestT, rep func(*fb.HeartbeatResponseT)) {
			s := f.services[r]
			if s == nil || r.node == nil {
				return
			}
			now := r.Clock()
			s.sessions.Heartbeat(now, q.Node)
			t := &fb.HeartbeatResponseT{Revision: s.plan.Revision, Age: s.plan.Age(now), Confirmed: s.plan.Known, Nodes: s.sessions.Live(now), Generation: r.generation}
			if t.Revision != q.HaveRevision {
				t.Plan = s.plan.Raw
			}
			for _, v := range r.node.VoterSet().Voters {
				t.ControlNodes = append(t.ControlNodes, v.Name)
			}
			rep(t)
		}, func(t *fb.HeartbeatResponseT) {
			m.nodes, m.generation = t.Nodes, max(m.generation, t.Generation)
			var known []*ControlNode
			for _, o := range f.Cluster.Nodes {
				if slices.Contains(t.ControlNodes, o.Name) {
					known = append(known, o)
				}
			}
			for i, o := range known {
				if o == r {
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
func (f *Fleet) propose(h *Host, m *session, at int, op quorum.Operation, left int64, end func(quorum.Result, bool)) {
	r := m.controlNodes[at%len(m.controlNodes)]
	t0 := f.World.now
	next := func() {
		if l := left - (f.World.now - t0); l > 30_000 && op.Type != quorum.OpPut {
			h.After(20_000, func() { f.propose(h, m, at+1, op, l-20_000, end) })
		} else {
			end(quorum.Result{}, false)
		}
	}
	Call(h, r.Host, op, min(left, 900_000), func(q quorum.Operation, rep func(quorum.Result)) { r.Forward(q, 0, rep) },
		func(a quorum.Result) {
			if a.Status == quorum.StatusNotLeader || a.Status == quorum.StatusUnknown {
				next()
				return
			}
			end(a, true)
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
	f, world := n.fleet, n.fleet.World
	n.session, n.leaving = session{}, false
	inc := uint64(world.Rng.Int63()) >> 24
	n.node = index.New(n.Name, n.Zone, inc)
	holder := fmt.Sprintf("%s#%x", n.Name, inc)
	node := n.node
	f.keepSession(n.Host, &n.session, func() *fb.NodeT {
		status := &fb.NodeT{Name: n.Name, Role: "custodian", Zone: n.Zone, Addr: n.Name, Incarnation: inc, Ready: !n.leaving}
		return codec.AddIndexNodeStatus(node, n.Clock(), status)
	}, nil)
	n.Every(200_000, func() {
		at := n.Clock()
		Call(n.Host, f.Platform, 0, 600_000, func(_ int, rep func([]index.ListedEngine)) { rep(slices.Clone(f.listing)) },
			func(l []index.ListedEngine) { node.SetListing(at, l) }, func() {
				if !f.Platform.up { // its machine refuses connections
					node.ConfirmListing(at)
				}
			})
	})
	n.Every(100_000, func() {
		now := n.Clock()
		if n.session.plan.Plan != nil {
			node.ApplyPlan(n.session.plan.Plan, n.session.plan.ConfirmedAt)
		}
		cs, me := codec.ReadyIndexNodes(n.session.nodes, n.Name)
		if !me && !n.leaving {
			return
		}
		if node.SetPeers(cs); n.leaving {
			if node.SetPeers(nil); node.HoldsNoLeases() {
				n.Kill()
				return
			}
		}
		asks := node.LeaseOps(now)
		world.orderDuties(asks)
		for _, a := range asks {
			op := quorum.Operation{Type: quorum.OpAcquire, Key: a.Key, ExpectedRevision: a.Token, Holder: holder, LeaseDuration: index.LeaseDuration}
			if a.Release {
				op.Type = quorum.OpRelease
			}
			f.propose(n.Host, &n.session, world.Rng.Intn(4), op, 1_000_000, func(ans quorum.Result, ok bool) {
				node.LeaseAnswered(n.Clock(), a, now, ok && ans.Status == quorum.StatusDone, ans.Revision)
			})
		}
	})
	n.Every(150_000, func() {
		now := n.Clock()
		for _, p := range node.Polls(now) {
			n.pollEngine(node, p)
		}
		for _, t := range node.WeightUpdates(now) {
			if e := f.engineNamed(t.Engine); e != nil {
				world.observe("turn", n.Name, e.Name, t)
				n.Send(e.Host, func() { e.updateWeights(t.Weights, t.FencingToken) })
			}
		}
	})
	n.Every(200_000, func() { n.followPeers(node) })
}

// room answers an agent, or passes its question on to the index node that it is for.
func (n *IndexNode) issueGrants(q *fb.CapacityRequestT, reply func(*fb.CapacityResponseT)) {
	if q.To == "" || q.To == n.Name {
		t := codec.AnswerCapacity(n.node, n.Clock(), n.Name, q)
		n.fleet.World.orderNews(t.Updates, t.UpdatesReset)
		reply(t)
		return
	}
	if o := n.fleet.indexNodeNamed(q.To); o != nil {
		Call(n.Host, o.Host, q, relayTimeout, o.issueGrants, reply, func() {})
	}
}

// relayPatience is how long an index node waits for an answer that it passes on.
const relayTimeout = 500_000

// engineParts are all parts that an engine keeps, as of a number of its reports.
type engineParts struct {
	inc, seq uint64
	parts    []cacheindex.Key
}

func (n *IndexNode) pollEngine(k *index.Node, p index.Poll) {
	e := n.fleet.engineNamed(p.Engine)
	if e == nil {
		return
	}
	ask := func(inc, after uint64) {
		at := n.Clock()
		Call(n.Host, e.Host, 0, 800_000, func(_ int, rep func(index.Report)) { rep(e.report(inc, after)) },
			func(r index.Report) { k.ApplyReport(n.Clock(), at, p.Engine, r) }, func() {})
	}
	if !p.NeedsHoldings {
		ask(p.Incarnation, p.AfterSeq)
		return
	}
	Call(n.Host, e.Host, 0, 800_000, func(_ int, rep func(engineParts)) { rep(engineParts{e.incarnation, e.lastSequence, e.heldBlocks()}) },
		func(x engineParts) {
			k.ResetHoldings(n.Clock(), p.Engine, x.inc, x.seq, x.parts)
			ask(x.inc, x.seq)
		}, func() {})
}

func (n *IndexNode) followPeers(k *index.Node) {
	cs, _ := codec.ReadyIndexNodes(n.session.nodes, n.Name)
	for _, p := range cs {
		o := n.fleet.indexNodeNamed(p.Name)
		if o == nil || n.fleet.World.Rng.Intn(1000) < n.fleet.EventLossPermille {
			continue
		}
		ask := func(q *fb.UpdatesRequestT, got func(*fb.UpdatesResponseT)) {
			q.From = n.Name
			Call(n.Host, o.Host, q, 800_000, func(q *fb.UpdatesRequestT, rep func(*fb.UpdatesResponseT)) { rep(o.newsTell(q)) }, got, func() {})
		}
		if mine := k.HeldShards(n.Clock()); len(mine) > 0 {
			cur := k.HoldingsCursor(p.Name)
			ask(&fb.UpdatesRequestT{Feed: codec.HoldingsFeed, Shards: mine, Incarnation: cur.Incarnation, Since: cur.Next}, func(t *fb.UpdatesResponseT) {
				if k.HoldingsCursor(p.Name) == cur {
					codec.ApplyHoldings(k, n.Clock(), p.Name, t)
				}
			})
		}
		for _, s := range k.ServedZones() {
			cur := *k.ZoneCursor(s, p.Name)
			ask(&fb.UpdatesRequestT{Feed: codec.ZoneFeed, Zone: s, Incarnation: cur.Incarnation, Since: cur.Next}, func(t *fb.UpdatesResponseT) {
				if *k.ZoneCursor(s, p.Name) == cur {
					k.ApplyZoneUpdates(s, p.Name, index.ShardsOf(p), codec.UnpackBatch(t))
				}
			})
		}
	}
}

// newsTell answers another index node.
func (n *IndexNode) newsTell(q *fb.UpdatesRequestT) *fb.UpdatesResponseT {
	t := codec.AnswerUpdates(n.node, q)
	n.fleet.World.orderNews(t.Updates, t.Reset)
	n.fleet.World.orderPlaces(t.Locations)
	return t
}

func (f *Fleet) engineNamed(n string) *Engine {
	for _, e := range f.Engines {
		if e.Name == n {
			return e
		}
	}
	return nil
}

func (f *Fleet) indexNodeNamed(n string) *IndexNode {
	for _, c := range f.IndexNodes {
		if c.Name == n {
			return c
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
			Call(a.Host, indexNode.Host, query.Request, 700_000, indexNode.issueGrants, func(t *fb.CapacityResponseT) {
				if a.fleet.HideTransferScores {
					for _, o := range t.Grants {
						o.TransferScores = nil
					}
				}
				agent.HandleResponse(query, at, t)
			}, func() { agent.HandleResponse(query, at, nil) })
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
	f := g.fleet
	g.incarnation = uint64(f.World.Rng.Int63()) >> 24
	g.dispatcher, g.plan, g.hints, g.hintCursor, g.requests = dispatch.New(g.Name, g.Zone, g.incarnation), plan.Cached{}, cacheindex.NewTable(4096), codec.Cursor{}, map[uint64]*callerRequest{}
	d := g.dispatcher
	g.Every(100_000, func() {
		q := codec.FillFeedRequest(d, &fb.FeedRequestT{Node: &fb.NodeT{Name: g.Name, Role: "remisier", Zone: g.Zone, Incarnation: g.incarnation, Ready: true},
			HaveRevision: g.plan.Revision, UpdatesIncarnation: g.hintCursor.Inc, UpdatesSince: g.hintCursor.Next})
		at := g.Clock()
		r := g.agent
		Call(g.Host, r.Host, q, 500_000, func(q *fb.FeedRequestT, rep func(*fb.FeedResponseT)) {
			r.status = q.Node
			rep(r.agent.Poll(r.Clock(), &r.session.plan, r.session.generation, q))
		}, func(t *fb.FeedResponseT) {
			old := g.plan.Revision
			g.plan, _, _ = g.plan.Apply(plan.Update{Revision: t.Revision, Age: t.Age, Raw: t.Plan, Confirmed: t.Confirmed}, at)
			if g.plan.Revision < old {
				f.World.Violation("fell back", "%s from revision %d to %d", g.Name, old, g.plan.Revision)
			}
			if g.plan.Plan != nil {
				g.perform(d.ApplyPlan(g.Clock(), g.plan.Plan, g.plan.ConfirmedAt))
			}
			g.perform(d.ApplyGrants(g.Clock(), codec.UnpackGrants(t.Grants, g.Clock()-at)))
			g.hintCursor = codec.ApplyUpdates(g.hints, g.hintCursor, t)
			f.callerGeneration = max(f.callerGeneration, t.Generation)
		}, func() {})
	})
	g.Every(dispatch.TickInterval, func() { g.perform(d.Tick(g.Clock())) })
}

// died tells callers and engines that their wires broke.
func (g *Gateway) stopped() {
	f := g.fleet
	c := g.dispatcher.Counters
	f.Tally.Arrived += c.Arrived
	f.Tally.Retries += c.Retries
	f.Tally.Attempts += c.Attempts
	for _, ref := range sortedRefs(g.requests) {
		s := g.requests[ref]
		if !s.ended {
			s.ended = true
			f.Tally.Lost++
		}
		for _, a := range s.attempts {
			if r := s.runs[a]; r != nil {
				r.cancel()
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
	f := g.fleet
	now := g.Clock()
	sent.deadline = f.World.now + dueUS // it counts from arrival
	compiled := g.plan.Plan
	refused := func(why string) { f.requestEnded(sent, attempt.Rejected, why) }
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
	acts, no := g.dispatcher.Admit(now, request)
	if no != nil {
		delete(g.requests, request.Ref)
		refused(no.Reason)
		return
	}
	f.checker.requestAdmitted(sent)
	g.perform(acts)
}

func (g *Gateway) perform(acts []dispatch.Action) {
	f := g.fleet
	for _, a := range acts {
		f.World.observe("act", g.Name, "", a)
		s := g.requests[a.Ref]
		switch a.Type {
		case dispatch.ActionClaim, dispatch.ActionReleaseClaim:
			op := quorum.Operation{Type: quorum.OpClaim, Key: a.ClaimKey, Value: []byte(a.ClaimNonce)}
			if a.Type == dispatch.ActionReleaseClaim {
				op.Type = quorum.OpUnclaim
			}
			g.claim(a, op)
		case dispatch.ActionStartAttempt:
			if s != nil {
				g.startAttempt(s, a)
			}
		case dispatch.ActionCancelAttempt:
			if s != nil {
				if r := s.runs[a.AttemptID]; r != nil {
					r.cancel()
				}
			}
		case dispatch.ActionFinish:
			if s != nil {
				delete(g.requests, a.Ref)
				f.requestEnded(s, a.Outcome, a.Reason)
			}
		}
	}
}

// claim goes by the agent to the control nodes, as in the daemons.
func (g *Gateway) claim(a dispatch.Action, op quorum.Operation) {
	r := g.agent
	Call(g.Host, r.Host, op, 2_000_000, func(q quorum.Operation, rep func(quorum.Result)) {
		g.fleet.propose(r.Host, &r.session, r.session.current, q, 1_900_000, func(ans quorum.Result, ok bool) {
			if !ok {
				ans.Status = quorum.StatusUnknown
			}
			rep(ans)
		})
	}, func(ans quorum.Result) {
		if a.Type != dispatch.ActionClaim {
			return
		}
		c := map[quorum.Status]attempt.ClaimState{quorum.StatusDone: attempt.ClaimGranted, quorum.StatusConflict: attempt.ClaimTaken, quorum.StatusGenerationClosed: attempt.ClaimClosed}[ans.Status]
		if c == attempt.ClaimNotRequested {
			c = attempt.ClaimUnknown
		}
		g.perform(g.dispatcher.ClaimAnswered(g.Clock(), a.Ref, c))
	}, func() {
		if a.Type == dispatch.ActionClaim {
			g.perform(g.dispatcher.ClaimAnswered(g.Clock(), a.Ref, attempt.ClaimUnknown))
		}
	})
}

// attemptNote is what an observer is told of an attempt's course.
type attemptNote struct {
	state attempt.State
	cause string
}

func (g *Gateway) progress(a dispatch.Action, st attempt.State, cause string) {
	g.fleet.World.observe("attempt", g.Name, a.AttemptID, attemptNote{st, cause})
	g.perform(g.dispatcher.AttemptProgressed(g.Clock(), a.Ref, a.AttemptID, st, cause))
}

// startRun dials an engine: a connection that fails is proof that nothing began.
func (g *Gateway) startAttempt(s *callerRequest, a dispatch.Action) {
	f := g.fleet
	s.attempts = append(s.attempts, a.AttemptID)
	e := f.engineNamed(a.Grant.Addr)
	if g.Clock() > a.StartBefore {
		g.After(1, func() { g.progress(a, attempt.NotStarted, "woke-late") })
		return
	}
	if e == nil || !e.up {
		g.After(300, func() { g.progress(a, attempt.NotStarted, "unreachable") })
		return
	}
	if e.frozen || f.World.cutLinks[[2]string{g.Name, e.Name}] || f.World.cutLinks[[2]string{e.Name, g.Name}] {
		g.After(400_000, func() { g.progress(a, attempt.NotStarted, "unreachable") })
		return
	}
	r := &engineRun{fleet: f, request: s, gateway: g, action: a, engine: e, engineProcess: e.process, gatewayProcess: g.process}
	s.runs[a.AttemptID] = r
	g.Send(e.Host, func() { e.startRun(r) })
	// A wire whose far end dies is noticed; one whose messages are lost only by
	// the due.
	g.After(5_000, func() { r.checkEngine() })
}

// out passes a piece on to the caller.
func (g *Gateway) deliverPiece(r *engineRun, n int) {
	g.fleet.World.observe("piece", g.Name, r.action.AttemptID, n)
	s := r.request
	if s.ended || g.requests[r.action.Ref] != s {
		return
	}
	if n == 0 && !g.dispatcher.AllowFirstByte(r.action.Ref, r.action.AttemptID) {
		return
	}
	if s.piecesFrom != "" && s.piecesFrom != r.action.AttemptID || n != s.pieces {
		g.fleet.World.Violation("stitched", "%s/%s got piece %d of %s after %d of %s", s.group, s.id, n, r.action.AttemptID, s.pieces, s.piecesFrom)
	}
	s.piecesFrom = r.action.AttemptID
	s.pieces++
	g.fleet.checker.pieceDelivered(s)
}

// ticketEnd is what an observer is told of a ticket's end.
type ticketEnd struct {
	outcome attempt.Outcome
	reason  string
}

// ended is what the caller is told last.
func (f *Fleet) requestEnded(s *callerRequest, o attempt.Outcome, why string) {
	if s.ended {
		f.World.Violation("two ends", "%s/%s", s.group, s.id)
	}
	f.World.observe("ended", s.group, s.id, ticketEnd{o, why})
	s.ended = true
	s.reason = why
	f.checker.requestEnded(s, o, why)
}
