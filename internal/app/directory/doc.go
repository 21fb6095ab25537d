// Package directory is the service discovery of a fleet whose requests are passed through. It
// tracks the engines: which exist, which prompt blocks they cache and which weights they run. It
// serves this to proxies, and rolls out new weights to the engines (docs/design.md §12, §15).
//
// # Overview
//
// Each core machine runs one Directory beside its control node. It reads four registers of
// the control state (configuration, announced weights, the lease of the rollout, the state of the
// rollout), the platform's list of engines, and the cache events of every engine and store.
// Proxies ask for changes with a long poll (Handle), which is answered at once when an urgent
// change happens, and after a delay otherwise.
//
// # Rollout of weights
//
// The directory that holds the lease of WeightsRoleKey is the rollout leader. The lease is
// a register of the control state, granted by a majority; its revision increases with each
// leader and is the fencing token of every update request (Kleppmann, "How to do
// distributed locking", 2016; Gray and Cheriton, "Leases", 1989). The leader persists the
// rollout's state before it sends a request, and checks lease and token again when the
// request is written to the connection. Package rollout, which has no side effects, decides
// which steps to take.
//
// # Ages
//
// All data that is passed on carries its age, counted from just before the request that it
// answered was sent, on the monotonic clock of this machine. Times and durations are in
// microseconds.
//
// # Goroutines
//
// Handle, Refresh and Leave may be called from any goroutine. Directory.mu guards the state that
// the loops share; weightsRole.mu guards the rollout, and is locked before Directory.mu.
package directory
