// Package proxy is the reverse proxy that forwards callers' requests to engines unopened: it
// reads a request whole, selects an engine, relays the answer as it arrives, and sees to it
// that a request that is not idempotent runs once at most (docs/design.md §12 and §14).
//
// The parts, a file each:
//
//	server.go         settings, listener, start and drain
//	admission.go      from a caller's request to its route, tenant and deadline
//	forwarded.go      the request's next step, as package attempt decides it
//	engineattempt.go  one attempt at one engine
//	enginerequest.go  the request as the engine gets it
//	engineanswer.go   reading the head of the engine's answer, and judging it
//	versionwait.go    until when an attempt may begin on an engine's weights
//	relay.go          passing an answer on; stream.go: a stream of events
//	connpool.go       connections to engines, engineconn.go: one of them
//	framing.go        where a message ends (RFC 9112); splitter.go: on a connection
//	callerconn.go     callers' connections, idle.go: their idle limit
//	view.go           what is known of the fleet; follow.go: asking control nodes for it
//	fleet.go          handing it to placement; readiness.go, metrics.go
//
// What is deployment specific, the headers and the configuration's text, lies behind the
// Adapter. Decisions are made by the pure packages attempt, route, placement and
// controlorder.
//
// Goroutines: one for each caller's connection (net/http's), in which a request is served from
// admission to its last byte, with its attempts one after the other; one follower; one that
// updates readiness; one that closes idle connections. A view is published by the follower
// with an atomic pointer and never changed after. server.mu guards the picker and the retry
// windows, server.hintMu the writing of hints.
package proxy
