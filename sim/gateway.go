package sim

import (
	"slices"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/internal/codec"
	"violetthread/membership"
	"violetthread/plan"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// Gateway is a gateway: the real dispatcher, connected to the simulated world.
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

// callerRequest is a request as a caller sent it to one gateway.
type callerRequest struct {
	group, kind, id, keyDigest string
	gateway                    *Gateway
	sentAt, deadline           int64 // true time
	planRevision               uint64
	attempts                   []string
	runs                       map[string]*engineRun
	pieces                     int
	piecesFrom                 string // attempt that the delivered pieces came from
	ended                      bool
	probe                      bool   // probe of RunFinalFault
	reason                     string // reason of its outcome
	generation                 uint64
	pieceDelayUS               int64 // additional delay of each piece
}

func (g *Gateway) start() {
	g.incarnation = uint64(g.fleet.World.Rng.Int63()) >> 24
	g.dispatcher = dispatch.New(g.Name, g.Zone, g.incarnation)
	g.plan = plan.Cached{}
	g.hints, g.hintCursor = cacheindex.NewTable(4096), codec.Cursor{}
	g.requests = map[uint64]*callerRequest{}
	g.Every(100_000, g.pollAgent)
	g.Every(dispatch.TickInterval, func() { g.perform(g.dispatcher.Tick(g.Clock())) })
}

// pollAgent reports demand to the agent and receives plan, grants and hints from it.
func (g *Gateway) pollAgent() {
	status := &fb.NodeT{Name: g.Name, Role: membership.RoleGateway, Zone: g.Zone, Incarnation: g.incarnation, Ready: true}
	request := codec.FillFeedRequest(g.dispatcher, &fb.FeedRequestT{
		Node:               status,
		HaveRevision:       g.plan.Revision,
		UpdatesIncarnation: g.hintCursor.Incarnation,
		UpdatesSince:       g.hintCursor.Next,
	})
	askedAt := g.Clock()
	Call(g.Host, g.agent.Host, request, 500_000, g.agent.answerGateway,
		func(response *fb.FeedResponseT) { g.applyFeed(response, askedAt) }, func() {})
}

func (g *Gateway) applyFeed(response *fb.FeedResponseT, askedAt int64) {
	before := g.plan.Revision
	g.plan, _, _ = g.plan.Apply(plan.Update{Revision: response.Revision, Age: response.Age, Raw: response.Plan, Confirmed: response.Confirmed}, askedAt)
	if g.plan.Revision < before {
		g.fleet.World.Violation("plan went back", "%s from revision %d to %d", g.Name, before, g.plan.Revision)
	}
	if g.plan.Plan != nil {
		g.perform(g.dispatcher.ApplyPlan(g.Clock(), g.plan.Plan, g.plan.ConfirmedAt))
	}
	g.perform(g.dispatcher.ApplyGrants(g.Clock(), codec.UnpackGrants(response.Grants, g.Clock()-askedAt)))
	g.hintCursor = codec.ApplyUpdates(g.hints, g.hintCursor, response)
	g.fleet.callerGeneration = max(g.fleet.callerGeneration, response.Generation)
}

// stopped ends all requests: callers and engines notice that their connections broke.
func (g *Gateway) stopped() {
	tally := &g.fleet.Tally
	counters := g.dispatcher.Counters
	tally.Arrived += counters.Arrived
	tally.Retries += counters.Retries
	tally.Attempts += counters.Attempts
	for _, ref := range sortedRefs(g.requests) {
		request := g.requests[ref]
		if !request.ended {
			request.ended = true
			tally.Lost++
		}
		for _, id := range request.attempts {
			if run := request.runs[id]; run != nil {
				run.cancel()
			}
		}
	}
	g.requests = map[uint64]*callerRequest{}
}

func sortedRefs(requests map[uint64]*callerRequest) []uint64 {
	var refs []uint64
	for ref := range requests {
		refs = append(refs, ref)
	}
	slices.Sort(refs)
	return refs
}

// admit handles a request that arrives at the gateway.
func (g *Gateway) admit(sent *callerRequest, prompt string, timeoutUS int64) {
	now := g.Clock()
	sent.deadline = g.fleet.World.now + timeoutUS // the timeout counts from arrival
	if reason := g.refusalReason(sent); reason != "" {
		g.fleet.requestEnded(sent, attempt.Rejected, reason)
		return
	}
	compiled := g.plan.Plan
	g.lastRef++
	request := dispatch.Request{
		Ref:          g.lastRef,
		ID:           sent.id,
		IDFromCaller: true,
		Generation:   sent.generation,
		Group:        sent.group,
		Kind:         sent.kind,
		KeyDigest:    sent.keyDigest,
		Deadline:     now + timeoutUS,
		Prompt:       prompt,
		Weights:      compiled.Weights,
		Domain:       compiled.CacheDomain(sent.group, compiled.Weights),
	}
	request.PrefixKeys = cacheindex.PrefixKeys(request.Domain, request.Weights, prompt)
	request.Hints = g.lookupHints(request.PrefixKeys)
	sent.planRevision, sent.runs = compiled.Revision, map[string]*engineRun{}
	g.requests[request.Ref] = sent
	actions, rejection := g.dispatcher.Admit(now, request)
	if rejection != nil {
		delete(g.requests, request.Ref)
		g.fleet.requestEnded(sent, attempt.Rejected, rejection.Reason)
		return
	}
	g.fleet.checker.requestAdmitted(sent)
	g.perform(actions)
}

// refusalReason returns why the gateway refuses a request before the dispatcher sees it, "" if
// it does not.
func (g *Gateway) refusalReason(sent *callerRequest) string {
	compiled := g.plan.Plan
	if compiled == nil || g.plan.Age(g.Clock()) > dispatch.MaxPlanAge {
		return "plan-not-fresh"
	}
	if group, ok := compiled.GroupOf(sent.keyDigest); !ok || group != sent.group {
		return "key-unknown"
	}
	return ""
}

// lookupHints returns up to four nodes that hold a prefix of the keys, the longest prefix
// first.
func (g *Gateway) lookupHints(chain []cacheindex.Key) []cacheindex.Hint {
	var hints []cacheindex.Hint
	for i := len(chain) - 1; i >= 0 && len(hints) < 4; i-- {
		node, ok := g.hints.Get(chain[i])
		known := slices.ContainsFunc(hints, func(hint cacheindex.Hint) bool { return hint.Node == node })
		if ok && !known {
			hints = append(hints, cacheindex.Hint{Block: i, Node: node})
		}
	}
	return hints
}

// perform carries out the dispatcher's actions, as the gateway's daemon does.
func (g *Gateway) perform(actions []dispatch.Action) {
	for _, action := range actions {
		g.fleet.World.observe("act", g.Name, "", action)
		request := g.requests[action.Ref]
		switch {
		case action.Type == dispatch.ActionClaim || action.Type == dispatch.ActionReleaseClaim:
			g.claim(action)
		case request == nil:
		case action.Type == dispatch.ActionStartAttempt:
			g.startAttempt(request, action)
		case action.Type == dispatch.ActionCancelAttempt:
			if run := request.runs[action.AttemptID]; run != nil {
				run.cancel()
			}
		case action.Type == dispatch.ActionFinish:
			delete(g.requests, action.Ref)
			g.fleet.requestEnded(request, action.Outcome, action.Reason)
		}
	}
}

// claim requests or releases a claim through the agent, as the daemons do.
func (g *Gateway) claim(action dispatch.Action) {
	op := quorum.Operation{Type: quorum.OpClaim, Key: action.ClaimKey, Value: []byte(action.ClaimNonce)}
	if action.Type == dispatch.ActionReleaseClaim {
		op.Type = quorum.OpUnclaim
	}
	answered := func(claim attempt.ClaimState) {
		if action.Type == dispatch.ActionClaim {
			g.perform(g.dispatcher.ClaimAnswered(g.Clock(), action.Ref, claim))
		}
	}
	Call(g.Host, g.agent.Host, op, 2_000_000, g.agent.propose,
		func(result quorum.Result) { answered(claimState(result.Status)) },
		func() { answered(attempt.ClaimUnknown) })
}

func claimState(status quorum.Status) attempt.ClaimState {
	switch status {
	case quorum.StatusDone:
		return attempt.ClaimGranted
	case quorum.StatusConflict:
		return attempt.ClaimTaken
	case quorum.StatusGenerationClosed:
		return attempt.ClaimClosed
	}
	return attempt.ClaimUnknown
}

// requestResult is the outcome of a request as reported to an observer.
type requestResult struct {
	outcome attempt.Outcome
	reason  string
}

// requestEnded delivers the final response to the caller.
func (f *Fleet) requestEnded(request *callerRequest, outcome attempt.Outcome, reason string) {
	if request.ended {
		f.World.Violation("two outcomes", "%s/%s", request.group, request.id)
	}
	f.World.observe("ended", request.group, request.id, requestResult{outcome, reason})
	request.ended = true
	request.reason = reason
	f.checker.requestEnded(request, outcome, reason)
}
