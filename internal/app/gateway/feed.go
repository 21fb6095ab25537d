package gateway

import (
	"context"

	"violetthread/dispatch"
	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/membership"
	"violetthread/plan"
	"violetthread/schema/fb"
)

// feedTimeout is the time-out of a poll of the agent, in microseconds.
const feedTimeout = 500_000

// feed polls the agent for plan, grants and cache updates, and reports this proxy's demand.
func (g *gateway) feed(ctx context.Context) {
	request := &fb.FeedRequestT{
		Node: &fb.NodeT{
			Name:        g.settings.Name,
			Role:        membership.RoleGateway,
			Zone:        g.settings.Zone,
			Http:        g.settings.HTTPAddr,
			Incarnation: g.incarnation,
			Ready:       g.daemon.Ready(),
		},
		HaveRevision:       g.plan.Load().Revision,
		UpdatesIncarnation: g.updateCursor.Incarnation,
		UpdatesSince:       g.updateCursor.Next,
	}
	g.mu.Lock()
	codec.FillFeedRequest(g.dispatcher.Dispatcher, request)
	g.mu.Unlock()
	askedAt := clock.Now()
	frame, err := g.agent.Call(ctx, &fb.FrameT{FeedRequest: request}, feedTimeout)
	if err == nil && frame.FeedResponse != nil {
		g.applyFeed(frame.FeedResponse, askedAt)
	}
	g.updateReadiness()
}

// applyFeed applies the agent's response. Ages count from when the poll was sent, because the
// response may have been delayed.
func (g *gateway) applyFeed(response *fb.FeedResponseT, askedAt int64) {
	update := plan.Update{Revision: response.Revision, Age: response.Age, Raw: response.Plan, Confirmed: response.Confirmed}
	cached, changed, err := g.plan.Load().Apply(update, askedAt)
	if err != nil {
		g.daemon.Log.Info("plan_unreadable", "revision", response.Revision, "cause", err.Error())
	}
	g.plan.Store(&cached)
	if changed {
		g.daemon.Log.Info("plan_updated", "revision", cached.Revision, "age_us", cached.Age(clock.Now()))
	}
	grants := codec.UnpackGrants(response.Grants, clock.Now()-askedAt)
	g.step(func(now int64) []dispatch.Action {
		var actions []dispatch.Action
		if cached.Plan != nil {
			actions = g.dispatcher.ApplyPlan(now, &cached)
		}
		return append(actions, g.dispatcher.ApplyGrants(now, grants)...)
	})
	if response.Generation > g.generation.Load() {
		g.generation.Store(response.Generation)
	}
	g.updateCursor = codec.ApplyUpdates(g.table, g.updateCursor, response)
}

// updateReadiness sets whether this proxy is ready to serve, which the platform asks for.
func (g *gateway) updateReadiness() {
	now := clock.Now()
	g.mu.Lock()
	capacity := g.dispatcher.Capacity(now)
	planAge := g.dispatcher.PlanAge(now)
	g.mu.Unlock()
	switch {
	case planAge > dispatch.MaxPlanAge:
		g.daemon.SetReady("no plan is known to be in force; check the agent beside this proxy and the control nodes")
	case g.generation.Load() == 0:
		g.daemon.SetReady("no generation of claims is known; check the agent beside this proxy and the control nodes")
	case capacity == 0:
		g.daemon.SetReady("no engine has capacity for this proxy; check the index nodes and the platform's list")
	default:
		g.daemon.SetReady("")
	}
}
