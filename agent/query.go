package agent

import (
	"violetthread/membership"
	"violetthread/schema/fb"
)

// relayDuration is how long an index node that did not answer is queried through another
// one before it is queried directly again, in microseconds.
const relayDuration = 3_000_000

// Query is a request for the index node named IndexNode. It is sent to the index node named
// Via at Addr, which is the same one, or another that relays it.
type Query struct {
	IndexNode, Via, Addr string
	Request              *fb.CapacityRequestT
}

// Queries returns the queries to send now: one to each index node that has none in flight, so
// that a slow index node does not delay the others. HandleResponse must be called for each.
func (a *Agent) Queries(now int64, nodes []*fb.NodeT) []Query {
	live := addrsOfIndexNodes(nodes)
	for name, source := range a.sources {
		if live[name] == "" && !source.inFlight {
			delete(a.sources, name)
		}
	}
	if !a.polled || now-a.polledAt > proxyTimeout {
		return nil // the proxy does not poll: there is no demand to report
	}
	for name := range live {
		if a.sources[name] == nil {
			a.sources[name] = &indexNode{}
		}
	}
	var queries []Query
	for _, name := range a.sourceNames() {
		if source := a.sources[name]; !source.inFlight && live[name] != "" {
			queries = append(queries, a.query(now, name, live))
		}
	}
	return queries
}

// addrsOfIndexNodes returns the address of each index node, by name.
func addrsOfIndexNodes(nodes []*fb.NodeT) map[string]string {
	addrs := map[string]string{}
	for _, node := range nodes {
		if node.Role == membership.RoleIndexNode && node.Addr != "" {
			addrs[node.Name] = node.Addr
		}
	}
	return addrs
}

// query returns a new query to an index node, which includes the reports queued for it.
func (a *Agent) query(now int64, name string, live map[string]string) Query {
	source := a.sources[name]
	source.inFlight = true
	request := &fb.CapacityRequestT{
		Proxy:              a.name,
		Zone:               a.zone,
		Demand:             a.lastPoll.Demand,
		Active:             a.lastPoll.Active,
		UpdatesIncarnation: a.lastPoll.UpdatesIncarnation,
		UpdatesSince:       a.lastPoll.UpdatesSince,
		Transfers:          source.transfers,
		Outcomes:           source.outcomes,
	}
	source.transfers, source.outcomes = nil, nil
	via := a.relay(now, name, live)
	if via != name {
		request.To = name
	}
	return Query{IndexNode: name, Via: via, Addr: live[via], Request: request}
}

// relay returns the index node to which the query for the given index node is sent: the same
// one, or, for relayDuration after it did not respond, another one that responds.
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

// HandleResponse applies the response to a query that was sent at time askedAt; nil if there
// was none. In that case the reports in the query may be lost, which cache locations and
// transfer scores tolerate.
func (a *Agent) HandleResponse(query Query, askedAt int64, response *fb.CapacityResponseT) {
	source := a.sources[query.IndexNode]
	if source == nil {
		return
	}
	source.inFlight = false
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
