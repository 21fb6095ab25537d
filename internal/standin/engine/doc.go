// Package engine is a stand-in for a model engine and, with Settings.Store, for the shared
// store of cached blocks. It speaks the protocol of docs/engine-protocol.md without a model:
// recomputing a block, moving one, generating a piece and loading weights only take time, and
// blocks are cached by name alone.
//
// What no protocol promises can be made to happen: events get lost, reports withhold the
// newest events, transfers fail. The draws follow Settings.Seed, so that a trial can be
// repeated.
//
// An engine also counts what a judge outside the fleet has to know, and shows it at
// /v1/seen: which runs took place, which of them reused blocks across a wall between tenants
// or across weights, and which orders came under a fencing token that was already superseded.
//
// NewDaemon may be called from any goroutine. The HTTP handlers run concurrently; one mutex guards
// their state.
package engine
