// Package agent is the deciding part of the agent beside a proxy: it gathers grants of
// engines and cache updates from every index node and hands them on with their ages
// (docs/design.md §3).
//
// # Protocol
//
// The proxy polls its agent with its demand (Agent.Poll). The agent queries every index
// node for what the proxy may send (Agent.Queries), one query at a time to each, and takes
// the response in (Agent.HandleResponse). An index node that does not answer is queried through
// another one for a while: with a part of the network lost, the owner of an engine may be
// unreachable from a proxy that reaches the engine itself.
//
// A grant's age counts from before the query that brought it, whatever its way. Responses
// may be lost: the next one replaces what the last one said.
//
// # Assumptions
//
// The package is pure: it has no clock, and times are microseconds of the caller's
// monotonic clock. An Agent belongs to one goroutine at a time.
package agent
