package agent

import (
	"violetthread/membership"
	"violetthread/schema/fb"
)

// relayDuration is how long an index node that did not answer is queried through another
// one before it is queried directly again, in microseconds.
const relayDuration = 3_000_000

// Query is a question for the index node named IndexNode, to be sent to the one named Via
// at Addr: the same one, or another that relays it.
type Query struct {
	IndexNode, Via, Addr string
	Request              *fb.CapacityRequestT
}

// Queries lists the queries to put now: one to each index node that has answered the last
// one, so that a slow one holds up nobody. Each must end in HandleResponse.
func (a *Agent) Queries(now int64, nodes []*fb.NodeT) []Query {
	live := addrsOfIndexNodes(nodes)
	for name, source := range a.sources {
		if live[name] == "" && !source.busy {
			delete(a.sources, name)
		}
	}
	if !a.polled || now-a.polledAt > proxyTimeout {
		return nil // no proxy, no demand
	}
	for name := range live {
		if a.sources[name] == nil {
			a.sources[name] = &indexNode{}
		}
	}
	var queries []Query
	for _, name := range a.sourceNames() {
		if source := a.sources[name]; !source.busy && live[name] != "" {
			queries = append(queries, a.query(now, name, live))
		}
	}
	return queries
}

// addrsOfIndexNodes is where each index node listens, by name.
func addrsOfIndexNodes(nodes []*fb.NodeT) map[string]string {
	addrs := map[string]string{}
	for _, node := range nodes {
		if node.Role == membership.RoleIndexNode && node.Addr != "" {
			addrs[node.Name] = node.Addr
		}
	}
	return addrs
}

// query begins a query to an index node; the reports that wait for it go along.
func (a *Agent) query(now int64, name string, live map[string]string) Query {
	source := a.sources[name]
	source.busy = true
	request := &fb.CapacityRequestT{
		Proxy:              a.name,
		Zone:               a.zone,
		Demand:             a.lastPoll.Demand,
		Active:             a.lastPoll.Active,
		UpdatesIncarnation: a.lastPoll.UpdatesIncarnation,
		UpdatesSince:       a.lastPoll.UpdatesSince,
		Transfers:          source.imports,
		Outcomes:           source.seen,
	}
	source.imports, source.seen = nil, nil
	via := a.relay(now, name, live)
	if via != name {
		request.To = name
	}
	return Query{IndexNode: name, Via: via, Addr: live[via], Request: request}
}

// relay is the index node to send a query for an index node to: that one, or, for a while
// after it did not answer, one of those that do.
func (a *Agent) relay(now int64, name string, live map[string]string) string {
	if now >= a.sources[name].relayUntil {
		return name
	}
	var others []string
	for _, other := range a.sourceNames() {
		if other != name && live[other] != "" && now >= a.sources[other].relayUntil {
			others = append(others, other)
		}
	}
	if len(others) == 0 {
		return name
	}
	a.relayTurn++
	return others[a.relayTurn%len(others)]
}

// HandleResponse takes in the response to a query that was put at a time; nil if there was
// none. What the query reported may be lost then, which cache locations and transfer scores
// tolerate.
func (a *Agent) HandleResponse(query Query, askedAt int64, response *fb.CapacityResponseT) {
	source := a.sources[query.IndexNode]
	if source == nil {
		return
	}
	source.busy = false
	if response == nil {
		if query.Via == query.IndexNode {
			source.relayUntil = askedAt + relayDuration
		}
		return
	}
	source.grants, source.askedAt, source.engines = response.Grants, askedAt, map[string]bool{}
	for _, grant := range response.Grants {
		source.engines[grant.Engine] = true
	}
	if response.HasUpdates && (response.UpdatesReset || len(response.Updates) > 0 || response.UpdatesIncarnation != query.Request.UpdatesIncarnation) {
		a.cacheUpdates = updateBatch{
			incarnation: response.UpdatesIncarnation,
			since:       response.UpdatesSince,
			next:        response.UpdatesNext,
			reset:       response.UpdatesReset,
			present:     true,
			updates:     response.Updates,
		}
	}
}
