package sim

import (
	"slices"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/internal/codec"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

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
			HaveRevision: g.plan.Revision, UpdatesIncarnation: g.hintCursor.Incarnation, UpdatesSince: g.hintCursor.Next})
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

// ticketEnd is what an observer is told of a ticket's end.
type requestResult struct {
	outcome attempt.Outcome
	reason  string
}

// ended is what the caller is told last.
func (f *Fleet) requestEnded(request *callerRequest, outcome attempt.Outcome, why string) {
	if request.ended {
		f.World.Violation("two ends", "%s/%s", request.group, request.id)
	}
	f.World.observe("ended", request.group, request.id, requestResult{outcome, why})
	request.ended = true
	request.reason = why
	f.checker.requestEnded(request, outcome, why)
}
