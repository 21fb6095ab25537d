package agent

import (
	"maps"
	"slices"

	"violetthread/plan"
	"violetthread/schema/fb"
)

// proxyTimeout is how long the demand in a proxy's last poll remains valid, in microseconds.
const proxyTimeout = 800_000

// Agent is the agent of one proxy. It is not safe for concurrent use.
type Agent struct {
	name, zone   string
	lastPoll     fb.FeedRequestT
	polledAt     int64
	polled       bool                  // whether the proxy has ever polled
	sources      map[string]*indexNode // by the index node's name
	cacheUpdates updateBatch
	relayTurn    int // rotates the index nodes that relay queries
}

// indexNode is the state of one index node: its grants, and the reports to send to it.
type indexNode struct {
	grants  []*fb.GrantT
	askedAt int64           // when the query that returned the grants was sent
	engines map[string]bool // the engines that it owns
	// Reports of the proxy that the next query will send.
	transfers []*fb.TransferT
	outcomes  []*fb.OutcomesT

	inFlight   bool  // whether a query is in flight
	relayUntil int64 // until then it is queried through another index node
}

// updateBatch is a batch of cache updates for the proxy's next poll.
type updateBatch struct {
	incarnation, since, next uint64
	reset, present           bool
	updates                  []*fb.CacheUpdateT
}

// follows reports whether a proxy at this position in the feed can apply the batch.
func (b *updateBatch) follows(incarnation, since uint64) bool {
	return b.present && (b.reset || b.incarnation == incarnation && b.since == since)
}

// New returns the agent of the proxy of the given name and zone.
func New(name, zone string) *Agent {
	return &Agent{name: name, zone: zone, sources: map[string]*indexNode{}}
}

// Poll stores the proxy's demand and reports, and returns the plan, grants and cache updates.
func (a *Agent) Poll(now int64, cached *plan.Cached, generation uint64, request *fb.FeedRequestT) *fb.FeedResponseT {
	a.lastPoll, a.polledAt, a.polled = *request, now, true
	response := &fb.FeedResponseT{Revision: cached.Revision, Age: cached.Age(now), Confirmed: cached.Known, Generation: generation}
	if cached.Revision != request.HaveRevision {
		response.Plan = cached.Raw
	}
	for _, name := range a.sourceNames() {
		source := a.sources[name]
		for _, grant := range source.grants {
			aged := *grant
			aged.Age += now - source.askedAt
			response.Grants = append(response.Grants, &aged)
		}
	}
	a.queueReports(request)
	if batch := &a.cacheUpdates; batch.follows(request.UpdatesIncarnation, request.UpdatesSince) {
		response.UpdatesIncarnation, response.UpdatesSince, response.UpdatesNext = batch.incarnation, batch.since, batch.next
		response.UpdatesReset, response.Updates = batch.reset, batch.updates
	}
	return response
}

// queueReports queues the proxy's reports on engines for the index nodes that own them.
func (a *Agent) queueReports(request *fb.FeedRequestT) {
	for _, transfer := range request.Transfers {
		if source := a.owner(transfer.Engine); source != nil {
			source.transfers = append(source.transfers, transfer)
		}
	}
	for _, outcome := range request.Outcomes {
		if source := a.owner(outcome.Engine); source != nil {
			source.outcomes = append(source.outcomes, outcome)
		}
	}
}

// sourceNames lists the names of the index nodes, sorted.
func (a *Agent) sourceNames() []string { return slices.Sorted(maps.Keys(a.sources)) }

// owner returns the index node that owns an engine, or nil.
func (a *Agent) owner(engine string) *indexNode {
	for _, name := range a.sourceNames() {
		if a.sources[name].engines[engine] {
			return a.sources[name]
		}
	}
	return nil
}
