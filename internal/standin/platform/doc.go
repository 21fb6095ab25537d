// Package platform is a stand-in for what runs the machines: it lists the engines and the
// store (docs/engine-protocol.md), takes in what becomes of an engine at /v1/mark, which
// trials use to take engines away, and asks nodes whether they are ready.
//
// NewDaemon may be called from any goroutine; handlers run concurrently.
package platform
