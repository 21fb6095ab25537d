// Package agent implements the decision logic of the agent beside a proxy: it collects grants
// of engines and cache updates from all index nodes, and passes them to the proxy with their
// ages (docs/design.md §3).
//
// # Protocol
//
// The proxy polls its agent with its demand (Agent.Poll). The agent queries every index node
// for grants and cache updates (Agent.Queries), one query at a time to each, and applies the
// response (Agent.HandleResponse). An index node that does not respond is queried through
// another one for a while: in a partial network partition, the owner of an engine may be
// unreachable from a proxy that reaches the engine itself.
//
// A grant's age counts from before the query that returned it was sent, also if the query was
// relayed. Responses may be lost: the next response replaces the previous one.
//
// # Assumptions
//
// The package does no I/O and reads no clock. Times are in microseconds of the caller's
// monotonic clock. An Agent is used by one goroutine at a time.
package agent
