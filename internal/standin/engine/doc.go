// Package engine simulates a model engine and, with Settings.Store, the shared store of cached
// blocks. It implements the protocol of docs/engine-protocol.md without a model: recomputing
// a block, transferring one, generating a piece and loading weights are only delays, and a
// cached block is only its name.
//
// Faults that the protocol allows can be injected: lost events, reports without their newest
// events, failed transfers. They are drawn at random from Settings.Seed, so that a trial can
// be repeated.
//
// For tests that check a fleet from outside, an engine also records what it ran and serves it
// at /v1/seen: the runs, reuse of blocks across cache domains or weights, and requests with a
// fencing token that was already superseded.
//
// NewDaemon is safe for concurrent use. The HTTP handlers run concurrently; one mutex guards
// their state.
package engine
