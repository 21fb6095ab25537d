// Package proxy is the reverse proxy that forwards callers' requests to engines without
// interpreting their bodies. It reads the whole request, selects an engine and relays the
// response as it arrives. A request that is not idempotent runs at most once (docs/design.md
// §12 and §14).
//
// The files:
//
//	server.go          settings, listener, start and drain
//	admission.go       from a caller's request to its route, tenant and deadline
//	forwarded.go       the attempts of a request, as package attempt decides them
//	engineattempt.go   one attempt at one engine
//	enginerequest.go   encodes the request to the engine
//	engineresponse.go  reads and validates the head of the engine's response
//	invalidresponse.go what is reported about a response that breaks the protocol
//	versionwait.go     until when an attempt may start on an engine's weights
//	relay.go           passes a response on to the caller; stream.go: event streams
//	connpool.go        pool of connections to engines; engineconn.go: a single one
//	idlelimit.go       how long connections to engines may stay idle
//	framing.go         message framing (RFC 9112); splitter.go: on a caller's connection
//	callerconn.go      callers' connections; idle.go: their idle limit
//	view.go            the known state of the fleet; follow.go: polls control nodes for it
//	fleet.go           passes the state of the fleet to placement, and loads to control nodes
//	reject.go          error responses
//	readiness.go, metrics.go
//
// Whatever depends on the deployment, that is the headers and the format of the configuration,
// is behind the Adapter. Decisions are made by the pure packages attempt, route, placement and
// controlorder.
//
// Goroutines: net/http's goroutine of each caller's connection serves a request from admission
// to its last byte, with its attempts one after the other. One goroutine each polls control
// nodes, reports loads, updates readiness, and closes expired idle connections. The follower
// publishes a view with an atomic pointer; a published view is immutable. server.mu guards the
// picker and the retry windows, server.hintsMu writes to the hints.
package proxy
