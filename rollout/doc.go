// Package rollout schedules the update of a fleet's engines to the newest weights: a few at a
// time, spread over zones, all of them within the time that a deployment allows
// (docs/design.md §15).
//
// # Protocol
//
// One node at a time is the rollout leader: it holds a lease granted by a majority of the
// control nodes (Gray and Cheriton, "Leases", SOSP 1989). The revision of the lease's register
// increases with each leader and is the fencing token of every update request that it sends;
// an engine rejects a token lower than one that it has seen. Since an engine may lose this
// state, requests of two leaders to one engine are also kept at least one lease apart: a leader
// checks Lease.Permit when it writes a request, and a new leader waits until the former lease
// has expired before it sends requests to engines that the former leader may have sent one to.
//
// The update of an engine has two phases. While the engine drains, proxies send it no new
// requests. Then the update request is sent, and repeated until the engine runs the version or
// is gone; each repetition names the newest version. The State is written to the control state
// before any request that follows from it is sent, so that the next leader knows which engines
// may have received a request.
//
// # Pacing
//
// The scheduler runs as few concurrent updates as are needed to finish in time: see
// Scheduler.maxConcurrent.
//
// The package has no clock; times are microseconds of the caller's monotonic clock. A Scheduler
// must be used by one goroutine at a time.
package rollout
