// Package platform simulates the platform that runs the machines: it serves the list of
// engines and of the store (docs/engine-protocol.md), accepts changes of that list at
// /v1/mark, which trials use to drain and remove engines, and polls the readiness of nodes.
//
// NewDaemon is safe for concurrent use, and so are the handlers.
package platform
