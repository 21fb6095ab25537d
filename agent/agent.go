package agent

import (
	"maps"
	"slices"

	"violetthread/plan"
	"violetthread/schema/fb"
)

// proxyTimeout is how long a proxy's last poll counts as its demand, in microseconds.
const proxyTimeout = 800_000

// Agent is that of one proxy. It is not safe for concurrent use.
type Agent struct {
	name, zone   string
	lastPoll     fb.FeedRequestT
	polledAt     int64
	polled       bool                  // the proxy polled once
	sources      map[string]*indexNode // by the index node's name
	cacheUpdates updateBatch
	relayTurn    int // rotates the index nodes that relay queries
}

// indexNode is what came from one index node, and what is to go there.
type indexNode struct {
	grants  []*fb.GrantT
	askedAt int64           // when the query was put that brought them
	engines map[string]bool // that it owns
	// Reports of the proxy that wait for the next query.
	imports []*fb.TransferT
	seen    []*fb.OutcomesT

	busy       bool  // a query is under way
	relayUntil int64 // it is queried through another index node until then
}

// updateBatch is a batch of cache updates that waits for the proxy to fetch it.
type updateBatch struct {
	incarnation, since, next uint64
	reset, present           bool
	updates                  []*fb.CacheUpdateT
}

// follows reports whether a proxy that asks from this position can use the batch.
func (b *updateBatch) follows(incarnation, since uint64) bool {
	return b.present && (b.reset || b.incarnation == incarnation && b.since == since)
}

// New makes the agent of the proxy of that name.
func New(name, zone string) *Agent {
	return &Agent{name: name, zone: zone, sources: map[string]*indexNode{}}
}

// Poll answers the proxy with plan, grants and cache updates, and takes in its demand and
// its reports.
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

// queueReports keeps what the proxy reports of engines for the index nodes that own them.
func (a *Agent) queueReports(request *fb.FeedRequestT) {
	for _, imported := range request.Transfers {
		if source := a.owner(imported.Engine); source != nil {
			source.imports = append(source.imports, imported)
		}
	}
	for _, seen := range request.Outcomes {
		if source := a.owner(seen.Engine); source != nil {
			source.seen = append(source.seen, seen)
		}
	}
}

// sourceNames lists the index nodes, by name.
func (a *Agent) sourceNames() []string { return slices.Sorted(maps.Keys(a.sources)) }

// owner is the index node that owns an engine, or nil.
func (a *Agent) owner(engine string) *indexNode {
	for _, name := range a.sourceNames() {
		if a.sources[name].engines[engine] {
			return a.sources[name]
		}
	}
	return nil
}
