// Package directory is the part of a core machine that follows the engines of a fleet
// whose requests are passed through: which there are, which prompt blocks they keep, which
// weights they run. It answers proxies, and brings engines to new weights (docs/design.md
// §12, §15).
//
// # What it does
//
// Each core machine runs one Directory beside its control node. It reads four registers of
// the control state (configuration, wanted weights, the rollout's role, the rollout's
// state), the platform's list of engines, and the cache events of every engine and store.
// Proxies ask for changes by a long poll (Handle), which is answered once there is
// something urgent.
//
// # Rollout of weights
//
// The directory that holds the lease of WeightsRoleKey is the rollout leader. The lease is
// a register of the control state, granted by a majority; its revision rises with each
// leader and is the fencing token of every update request (Kleppmann, "How to do
// distributed locking", 2016; Gray and Cheriton, "Leases", 1989). The leader writes the
// rollout's state before it sends a request, and looks at lease and token again as the
// request is written. What is to be done is decided by package rollout, which is pure.
//
// # Ages
//
// Whatever is handed on carries its age, counted from before the question that was
// answered, on the monotonic clock of this machine. Times and durations are microseconds.
//
// # Goroutines
//
// Handle, Refresh and Leave may be called from any goroutine. Directory.mu guards what the
// loops share; weightsRole.mu guards the rollout, and is taken before Directory.mu.
package directory
