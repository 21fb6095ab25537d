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
	W          *World
	Core       *Core
	Custodians []*Custodian
	Proxies    []*Proxy
	Runners    []*Runner
	Engines    []*Engine
	Platform   *Host
	listing    []index.ListedEngine
	side       map[*Registrar]*side
	judge      *judge
	sent       int
	named      func() // names new weights, for last faults
	callerEra  uint64 // newest that any proxy told its callers
	// MuteNews loses this part of hint news, in thousandths.
	MuteNews int
	// HandFail makes this part of hand-overs fail quietly, in thousandths.
	HandFail int
	// SlowFrom are peers whose hand-overs take longer than anyone waits, and
	// Unlearnt leaves what was learnt of links out of all orders.
	SlowFrom map[string]bool
	Unlearnt bool
	// Docs is how many long beginnings each group's prompts have; 0 is one.
	Docs int
	Seen Tally
}

// Tally counts what a day came to.
type Tally struct {
	Sent, Done, Refused, Unknown, Lost int
	Runs, Parts, Reused, Taken, InVain int
	FirstUS                            int64 // summed over runs
	Arrived, Retries, Attempts         uint64
	PlanAcks, Revoked, Turned, Left    int
	Walls                              int
	WorstKey, WorstLeave, WorstTurn    int64
}

// side is what a registrar does beside voting: sessions and the plan's cache.
type side struct {
	roll *membership.Sessions
	held plan.Cached
}

const planKey = "plan"

// FleetSize says how large a simulated fleet is.
type FleetSize struct{ Proxies, Engines int }

// NewFleet makes a fleet and starts it.
func NewFleet(seed int64, z FleetSize) *Fleet {
	w := NewWorld(seed)
	f := &Fleet{W: w, Core: NewCore(w, 4), side: map[*Registrar]*side{}}
	f.Core.era = 4_000_000
	f.Core.rings = wal.Config{SegmentCount: 16, SegmentBytes: 64 << 10}
	f.judge = newJudge(f)
	f.Platform = w.NewHost("platform", "north", func() {})
	f.Platform.Start()
	for _, r := range f.Core.Nodes {
		f.besides(r)
	}
	f.Core.onNew = f.besides
	f.Core.Start()
	for i := 0; i < z.Engines; i++ {
		e := newEngine(f, fmt.Sprintf("e%02d", i), sites[i%len(sites)], false)
		f.Engines = append(f.Engines, e)
		f.listing = append(f.listing, index.ListedEngine{Name: e.Name, Addr: e.Name, Zone: e.Site})
		e.Start()
	}
	st := newEngine(f, "store", sites[0], true)
	f.Engines = append(f.Engines, st)
	f.listing = append(f.listing, index.ListedEngine{Name: "store", Addr: "store", Zone: sites[0], Store: true})
	st.Start()
	for i := 0; i < 4; i++ {
		c := &Custodian{f: f}
		c.Host = w.NewHost(fmt.Sprint("custodian", i), sites[i], c.start)
		f.Custodians = append(f.Custodians, c)
		c.Start()
	}
	for i := 0; i < z.Proxies; i++ {
		r := &Runner{f: f, proxy: fmt.Sprint("remisier", i)}
		r.Host = w.NewHost(fmt.Sprint("runner", i), sites[i%len(sites)], r.start)
		p := &Proxy{f: f, runner: r}
		p.Host = w.NewHost(r.proxy, r.Site, p.start)
		p.onDown = p.died
		f.Runners, f.Proxies = append(f.Runners, r), append(f.Proxies, p)
		r.Start()
		p.Start()
	}
	w.after = append(w.after, f.judge.step)
	return f
}

// besides adds sessions and the plan's cache to a registrar's start.
func (f *Fleet) besides(r *Registrar) {
	vote, w := r.boot, f.W
	r.boot = func() {
		vote()
		if r.Dead != nil {
			return
		}
		s := &side{roll: membership.New(r.Name)}
		f.side[r] = s
		r.Every(150_000, func() {
			at := r.Clock()
			get := quorum.Operation{Type: quorum.OpGet, Key: planKey}
			take := func(a quorum.Result) bool {
				if a.Status == quorum.StatusDone && f.side[r] == s {
					s.held, _, _ = s.held.Apply(plan.Update{Revision: a.Revision, Raw: a.Value, Confirmed: true}, at)
				}
				return a.Status == quorum.StatusDone
			}
			r.Op(get, 0, func(a quorum.Result) {
				o := f.Core.Nodes[w.Rng.Intn(len(f.Core.Nodes))]
				if take(a) || o == r {
					return
				}
				// The way to the owner may be cut here and not elsewhere.
				Call(r.Host, o.Host, get, 600_000, func(q quorum.Operation, rep func(quorum.Result)) { o.Op(q, 1, rep) },
					func(a quorum.Result) { take(a) }, func() {})
			})
		})
		r.Every(300_000, func() {
			t := s.roll.Announcement(r.Clock())
			if r.node == nil {
				return // in no roster yet
			}
			for _, o := range f.Core.Nodes {
				if _, in := r.node.VoterSet().Find(o.Name); in && o != r {
					w.observe("sessions", r.Name, o.Name, t)
					r.Send(o.Host, func() {
						if x := f.side[o]; x != nil {
							x.roll.Merge(o.Clock(), t)
						}
					})
				}
			}
		})
	}
}

// member is what agents and index nodes have in common: a session.
type member struct {
	held  plan.Cached
	nodes []*fb.NodeT
	cur   int // of known
	known []*Registrar
	era   uint64
}

func (f *Fleet) beat(h *Host, m *member, self func() *fb.NodeT, got func()) {
	// Three seeds out of the voters of when it started (operators keep the settings
	// up), whatever becomes of them later; every answer tells the voters.
	first := f.W.Rng.Intn(4)
	if m.known == nil {
		_, in := f.Core.voters()
		for i := 0; i < min(3, len(in)); i++ {
			m.known = append(m.known, in[(first+i)%len(in)])
		}
		if len(in) == 0 {
			m.known = f.Core.Nodes[:3]
		}
	}
	h.Every(150_000, func() {
		r := m.known[m.cur%len(m.known)]
		at := h.Clock()
		Call(h, r.Host, &fb.HeartbeatRequestT{Node: self(), HaveRevision: m.held.Revision}, 600_000, func(q *fb.HeartbeatRequestT, rep func(*fb.HeartbeatResponseT)) {
			s := f.side[r]
			if s == nil || r.node == nil {
				return
			}
			now := r.Clock()
			s.roll.Heartbeat(now, q.Node)
			t := &fb.HeartbeatResponseT{Revision: s.held.Revision, Age: s.held.Age(now), Confirmed: s.held.Known, Nodes: s.roll.Live(now), Generation: r.era}
			if t.Revision != q.HaveRevision {
				t.Plan = s.held.Raw
			}
			for _, v := range r.node.VoterSet().Voters {
				t.ControlNodes = append(t.ControlNodes, v.Name)
			}
			rep(t)
		}, func(t *fb.HeartbeatResponseT) {
			m.nodes, m.era = t.Nodes, max(m.era, t.Generation)
			var known []*Registrar
			for _, o := range f.Core.Nodes {
				if slices.Contains(t.ControlNodes, o.Name) {
					known = append(known, o)
				}
			}
			for i, o := range known {
				if o == r {
					m.cur = i
				}
			}
			if len(known) > 0 {
				m.known = known
			}
			m.held, _, _ = m.held.Apply(plan.Update{Revision: t.Revision, Age: t.Age, Raw: t.Plan, Confirmed: t.Confirmed}, at)
			if got != nil {
				got()
			}
		}, func() { m.cur++ })
	})
}

// op carries an operation through registrars until one answers for the owner.
func (f *Fleet) op(h *Host, m *member, at int, op quorum.Operation, left int64, end func(quorum.Result, bool)) {
	r := m.known[at%len(m.known)]
	t0 := f.W.now
	next := func() {
		if l := left - (f.W.now - t0); l > 30_000 && op.Type != quorum.OpPut {
			h.After(20_000, func() { f.op(h, m, at+1, op, l-20_000, end) })
		} else {
			end(quorum.Result{}, false)
		}
	}
	Call(h, r.Host, op, min(left, 900_000), func(q quorum.Operation, rep func(quorum.Result)) { r.Op(q, 0, rep) },
		func(a quorum.Result) {
			if a.Status == quorum.StatusNotLeader || a.Status == quorum.StatusUnknown {
				next()
				return
			}
			end(a, true)
		}, next)
}

// Custodian is an index node.
type Custodian struct {
	*Host
	f *Fleet
	m member
	k *index.Node
	// leaving: it was stopped politely, gives its duties back and then ends.
	leaving bool
}

func (c *Custodian) start() {
	f, w := c.f, c.f.W
	c.m, c.leaving = member{}, false
	inc := uint64(w.Rng.Int63()) >> 24
	c.k = index.New(c.Name, c.Site, inc)
	holder := fmt.Sprintf("%s#%x", c.Name, inc)
	k := c.k
	f.beat(c.Host, &c.m, func() *fb.NodeT {
		n := &fb.NodeT{Name: c.Name, Role: "custodian", Zone: c.Site, Addr: c.Name, Incarnation: inc, Ready: !c.leaving}
		return codec.AddIndexNodeStatus(k, c.Clock(), n)
	}, nil)
	c.Every(200_000, func() {
		at := c.Clock()
		Call(c.Host, f.Platform, 0, 600_000, func(_ int, rep func([]index.ListedEngine)) { rep(slices.Clone(f.listing)) },
			func(l []index.ListedEngine) { k.SetListing(at, l) }, func() {
				if !f.Platform.up { // its machine refuses connections
					k.ConfirmListing(at)
				}
			})
	})
	c.Every(100_000, func() {
		now := c.Clock()
		if c.m.held.Plan != nil {
			k.ApplyPlan(c.m.held.Plan, c.m.held.ConfirmedAt)
		}
		cs, me := codec.ReadyIndexNodes(c.m.nodes, c.Name)
		if !me && !c.leaving {
			return
		}
		if k.SetPeers(cs); c.leaving {
			if k.SetPeers(nil); k.HoldsNoLeases() {
				c.Kill()
				return
			}
		}
		asks := k.LeaseOps(now)
		w.orderDuties(asks)
		for _, a := range asks {
			op := quorum.Operation{Type: quorum.OpAcquire, Key: a.Key, ExpectedRevision: a.Token, Holder: holder, LeaseDuration: index.LeaseDuration}
			if a.Release {
				op.Type = quorum.OpRelease
			}
			f.op(c.Host, &c.m, w.Rng.Intn(4), op, 1_000_000, func(ans quorum.Result, ok bool) {
				k.LeaseAnswered(c.Clock(), a, now, ok && ans.Status == quorum.StatusDone, ans.Revision)
			})
		}
	})
	c.Every(150_000, func() {
		now := c.Clock()
		for _, p := range k.Polls(now) {
			c.poll(k, p)
		}
		for _, t := range k.WeightUpdates(now) {
			if e := f.engine(t.Engine); e != nil {
				w.observe("turn", c.Name, e.Name, t)
				c.Send(e.Host, func() { e.turn(t.Weights, t.FencingToken) })
			}
		}
	})
	c.Every(200_000, func() { c.news(k) })
}

// room answers an agent, or passes its question on to the index node that it is for.
func (c *Custodian) room(q *fb.CapacityRequestT, reply func(*fb.CapacityResponseT)) {
	if q.To == "" || q.To == c.Name {
		t := codec.AnswerCapacity(c.k, c.Clock(), c.Name, q)
		c.f.W.orderNews(t.Updates, t.UpdatesReset)
		reply(t)
		return
	}
	if o := c.f.custodian(q.To); o != nil {
		Call(c.Host, o.Host, q, relayPatience, o.room, reply, func() {})
	}
}

// relayPatience is how long an index node waits for an answer that it passes on.
const relayPatience = 500_000

// engineParts are all parts that an engine keeps, as of a number of its reports.
type engineParts struct {
	inc, seq uint64
	parts    []cacheindex.Key
}

func (c *Custodian) poll(k *index.Node, p index.Poll) {
	e := c.f.engine(p.Engine)
	if e == nil {
		return
	}
	ask := func(inc, after uint64) {
		at := c.Clock()
		Call(c.Host, e.Host, 0, 800_000, func(_ int, rep func(index.Report)) { rep(e.report(inc, after)) },
			func(r index.Report) { k.ApplyReport(c.Clock(), at, p.Engine, r) }, func() {})
	}
	if !p.NeedsHoldings {
		ask(p.Incarnation, p.AfterSeq)
		return
	}
	Call(c.Host, e.Host, 0, 800_000, func(_ int, rep func(engineParts)) { rep(engineParts{e.inc, e.seq, e.keeps()}) },
		func(x engineParts) {
			k.ResetHoldings(c.Clock(), p.Engine, x.inc, x.seq, x.parts)
			ask(x.inc, x.seq)
		}, func() {})
}

func (c *Custodian) news(k *index.Node) {
	cs, _ := codec.ReadyIndexNodes(c.m.nodes, c.Name)
	for _, p := range cs {
		o := c.f.custodian(p.Name)
		if o == nil || c.f.W.Rng.Intn(1000) < c.f.MuteNews {
			continue
		}
		ask := func(q *fb.UpdatesRequestT, got func(*fb.UpdatesResponseT)) {
			q.From = c.Name
			Call(c.Host, o.Host, q, 800_000, func(q *fb.UpdatesRequestT, rep func(*fb.UpdatesResponseT)) { rep(o.newsTell(q)) }, got, func() {})
		}
		if mine := k.HeldShards(c.Clock()); len(mine) > 0 {
			cur := k.HoldingsCursor(p.Name)
			ask(&fb.UpdatesRequestT{Feed: codec.HoldingsFeed, Shards: mine, Incarnation: cur.Incarnation, Since: cur.Next}, func(t *fb.UpdatesResponseT) {
				if k.HoldingsCursor(p.Name) == cur {
					codec.ApplyHoldings(k, c.Clock(), p.Name, t)
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
func (c *Custodian) newsTell(q *fb.UpdatesRequestT) *fb.UpdatesResponseT {
	t := codec.AnswerUpdates(c.k, q)
	c.f.W.orderNews(t.Updates, t.Reset)
	c.f.W.orderPlaces(t.Locations)
	return t
}

func (f *Fleet) engine(n string) *Engine {
	for _, e := range f.Engines {
		if e.Name == n {
			return e
		}
	}
	return nil
}

func (f *Fleet) custodian(n string) *Custodian {
	for _, c := range f.Custodians {
		if c.Name == n {
			return c
		}
	}
	return nil
}

// Runner is the agent beside a proxy.
type Runner struct {
	*Host
	f     *Fleet
	proxy string
	m     member
	g     *agent.Agent
	node  *fb.NodeT
}

func (r *Runner) start() {
	r.m, r.g = member{}, agent.New(r.proxy, r.Site)
	r.node = &fb.NodeT{Name: r.proxy, Role: "remisier", Zone: r.Site}
	g := r.g
	r.f.beat(r.Host, &r.m, func() *fb.NodeT { return r.node }, nil)
	r.Every(120_000, func() {
		for _, a := range g.Queries(r.Clock(), r.m.nodes) {
			c, at := r.f.custodian(a.Via), r.Clock()
			Call(r.Host, c.Host, a.Request, 700_000, c.room, func(t *fb.CapacityResponseT) {
				if r.f.Unlearnt {
					for _, o := range t.Grants {
						o.TransferScores = nil
					}
				}
				g.HandleReply(a, at, t)
			}, func() { g.HandleReply(a, at, nil) })
		}
	})
}

// Proxy is a remisier: the real desk, and adapters to the simulated world.
type Proxy struct {
	*Host
	f      *Fleet
	runner *Runner
	d      *dispatch.Dispatcher
	held   plan.Cached
	table  *cacheindex.Table
	cur    codec.Cursor
	inc    uint64
	refs   uint64
	calls  map[uint64]*send
}

// send is one sending of a ticket by a caller.
type send struct {
	group, kind, id, digest string
	proxy                   *Proxy
	born, due               int64 // true time
	rev                     uint64
	attempts                []string
	runs                    map[string]*run
	pieces                  int
	from                    string // the attempt its pieces came from
	ended                   bool
	probe                   bool
	why                     string
	era                     uint64
	pace                    int64 // how much longer each of its pieces takes
}

func (p *Proxy) start() {
	f := p.f
	p.inc = uint64(f.W.Rng.Int63()) >> 24
	p.d, p.held, p.table, p.cur, p.calls = dispatch.New(p.Name, p.Site, p.inc), plan.Cached{}, cacheindex.NewTable(4096), codec.Cursor{}, map[uint64]*send{}
	d := p.d
	p.Every(100_000, func() {
		q := codec.FillFeedRequest(d, &fb.FeedRequestT{Node: &fb.NodeT{Name: p.Name, Role: "remisier", Zone: p.Site, Incarnation: p.inc, Ready: true},
			HaveRevision: p.held.Revision, UpdatesIncarnation: p.cur.Inc, UpdatesSince: p.cur.Next})
		at := p.Clock()
		r := p.runner
		Call(p.Host, r.Host, q, 500_000, func(q *fb.FeedRequestT, rep func(*fb.FeedResponseT)) {
			r.node = q.Node
			rep(r.g.Poll(r.Clock(), &r.m.held, r.m.era, q))
		}, func(t *fb.FeedResponseT) {
			old := p.held.Revision
			p.held, _, _ = p.held.Apply(plan.Update{Revision: t.Revision, Age: t.Age, Raw: t.Plan, Confirmed: t.Confirmed}, at)
			if p.held.Revision < old {
				f.W.Wrong("fell back", "%s from revision %d to %d", p.Name, old, p.held.Revision)
			}
			if p.held.Plan != nil {
				p.carry(d.ApplyPlan(p.Clock(), p.held.Plan, p.held.ConfirmedAt))
			}
			p.carry(d.ApplyGrants(p.Clock(), codec.UnpackGrants(t.Grants, p.Clock()-at)))
			p.cur = codec.ApplyUpdates(p.table, p.cur, t)
			f.callerEra = max(f.callerEra, t.Generation)
		}, func() {})
	})
	p.Every(dispatch.TickInterval, func() { p.carry(d.Tick(p.Clock())) })
}

// died tells callers and engines that their wires broke.
func (p *Proxy) died() {
	f := p.f
	c := p.d.Counters
	f.Seen.Arrived += c.Arrived
	f.Seen.Retries += c.Retries
	f.Seen.Attempts += c.Attempts
	for _, ref := range sortedRefs(p.calls) {
		s := p.calls[ref]
		if !s.ended {
			s.ended = true
			f.Seen.Lost++
		}
		for _, a := range s.attempts {
			if r := s.runs[a]; r != nil {
				r.cancel()
			}
		}
	}
	p.calls = map[uint64]*send{}
}

func sortedRefs(m map[uint64]*send) []uint64 {
	var rs []uint64
	for r := range m {
		rs = append(rs, r)
	}
	slices.Sort(rs)
	return rs
}

// arrive is a ticket at the proxy's door.
func (p *Proxy) arrive(s *send, prompt string, dueUS int64) {
	f := p.f
	now := p.Clock()
	s.due = f.W.now + dueUS // it counts from arrival
	c := p.held.Plan
	refused := func(why string) { f.ended(s, attempt.Rejected, why) }
	if c == nil || p.held.Age(now) > dispatch.MaxPlanAge {
		refused("plan-not-fresh")
		return
	}
	g, ok := c.GroupOf(s.digest)
	if !ok || g != s.group {
		refused("key-unknown")
		return
	}
	p.refs++
	t := dispatch.Request{Ref: p.refs, ID: s.id, IDFromCaller: true, Generation: s.era, Group: g, Kind: s.kind, KeyDigest: s.digest, Deadline: now + dueUS, Prompt: prompt, Weights: c.Weights, Domain: c.CacheDomain(g, c.Weights)}
	t.Chain = cacheindex.PrefixKeys(t.Domain, t.Weights, prompt)
	for i := len(t.Chain) - 1; i >= 0 && len(t.Hints) < 4; i-- {
		n, ok := p.table.Get(t.Chain[i])
		for _, h := range t.Hints {
			ok = ok && h.Node != n
		}
		if ok {
			t.Hints = append(t.Hints, cacheindex.Hint{Block: i, Node: n})
		}
	}
	s.rev, s.runs = c.Revision, map[string]*run{}
	p.calls[t.Ref] = s
	acts, no := p.d.Admit(now, t)
	if no != nil {
		delete(p.calls, t.Ref)
		refused(no.Reason)
		return
	}
	f.judge.allowed(s)
	p.carry(acts)
}

func (p *Proxy) carry(acts []dispatch.Action) {
	f := p.f
	for _, a := range acts {
		f.W.observe("act", p.Name, "", a)
		s := p.calls[a.Ref]
		switch a.Type {
		case dispatch.ActionClaim, dispatch.ActionReleaseClaim:
			op := quorum.Operation{Type: quorum.OpClaim, Key: a.ClaimKey, Value: []byte(a.ClaimNonce)}
			if a.Type == dispatch.ActionReleaseClaim {
				op.Type = quorum.OpUnclaim
			}
			p.claim(a, op)
		case dispatch.ActionStartAttempt:
			if s != nil {
				p.startRun(s, a)
			}
		case dispatch.ActionCancelAttempt:
			if s != nil {
				if r := s.runs[a.AttemptID]; r != nil {
					r.cancel()
				}
			}
		case dispatch.ActionFinish:
			if s != nil {
				delete(p.calls, a.Ref)
				f.ended(s, a.Outcome, a.Reason)
			}
		}
	}
}

// claim goes by the agent to the control nodes, as in the daemons.
func (p *Proxy) claim(a dispatch.Action, op quorum.Operation) {
	r := p.runner
	Call(p.Host, r.Host, op, 2_000_000, func(q quorum.Operation, rep func(quorum.Result)) {
		p.f.op(r.Host, &r.m, r.m.cur, q, 1_900_000, func(ans quorum.Result, ok bool) {
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
		p.carry(p.d.ClaimAnswered(p.Clock(), a.Ref, c))
	}, func() {
		if a.Type == dispatch.ActionClaim {
			p.carry(p.d.ClaimAnswered(p.Clock(), a.Ref, attempt.ClaimUnknown))
		}
	})
}

// attemptNote is what an observer is told of an attempt's course.
type attemptNote struct {
	state attempt.State
	cause string
}

func (p *Proxy) note(a dispatch.Action, st attempt.State, cause string) {
	p.f.W.observe("attempt", p.Name, a.AttemptID, attemptNote{st, cause})
	p.carry(p.d.AttemptProgressed(p.Clock(), a.Ref, a.AttemptID, st, cause))
}

// startRun dials an engine: a connection that fails is proof that nothing began.
func (p *Proxy) startRun(s *send, a dispatch.Action) {
	f := p.f
	s.attempts = append(s.attempts, a.AttemptID)
	e := f.engine(a.Grant.Addr)
	if p.Clock() > a.StartBefore {
		p.After(1, func() { p.note(a, attempt.NotStarted, "woke-late") })
		return
	}
	if e == nil || !e.up {
		p.After(300, func() { p.note(a, attempt.NotStarted, "unreachable") })
		return
	}
	if e.frozen || f.W.cut[[2]string{p.Name, e.Name}] || f.W.cut[[2]string{e.Name, p.Name}] {
		p.After(400_000, func() { p.note(a, attempt.NotStarted, "unreachable") })
		return
	}
	r := &run{f: f, s: s, p: p, a: a, e: e, life: e.life, plife: p.life}
	s.runs[a.AttemptID] = r
	p.Send(e.Host, func() { e.begin(r) })
	// A wire whose far end dies is noticed; one whose messages are lost only by
	// the due.
	p.After(5_000, func() { r.watch() })
}

// out passes a piece on to the caller.
func (p *Proxy) out(r *run, n int) {
	p.f.W.observe("piece", p.Name, r.a.AttemptID, n)
	s := r.s
	if s.ended || p.calls[r.a.Ref] != s {
		return
	}
	if n == 0 && !p.d.AllowFirstByte(r.a.Ref, r.a.AttemptID) {
		return
	}
	if s.from != "" && s.from != r.a.AttemptID || n != s.pieces {
		p.f.W.Wrong("stitched", "%s/%s got piece %d of %s after %d of %s", s.group, s.id, n, r.a.AttemptID, s.pieces, s.from)
	}
	s.from = r.a.AttemptID
	s.pieces++
	p.f.judge.piece(s)
}

// ticketEnd is what an observer is told of a ticket's end.
type ticketEnd struct {
	outcome attempt.Outcome
	reason  string
}

// ended is what the caller is told last.
func (f *Fleet) ended(s *send, o attempt.Outcome, why string) {
	if s.ended {
		f.W.Wrong("two ends", "%s/%s", s.group, s.id)
	}
	f.W.observe("ended", s.group, s.id, ticketEnd{o, why})
	s.ended = true
	s.why = why
	f.judge.told(s, o, why)
}
