// Package rollout decides how the engines of a fleet come to the newest weights: a few at
// a time, spread over zones, all of them within the time that a deployment allows
// (docs/design.md §15).
//
// # Protocol
//
// One node at a time is the rollout leader: it holds a lease that a majority of the
// control nodes granted (Gray and Cheriton, "Leases", SOSP 1989). The revision of the
// lease's register rises with each leader and is the fencing token of every request that
// it sends; an engine refuses a token lower than one that it has seen. Since an engine may
// forget, no two leaders' requests to one engine come within a lease of each other either:
// a leader looks at Lease.Permit as a request is written, and a new one waits the former
// lease out for engines that the former leader may have sent a request to.
//
// An update of an engine goes through two phases. While it drains, proxies send the engine
// nothing new; then the request goes out, and is repeated until the engine runs the
// version, is gone, or the wanted version changed. The State is written to the control
// state before a request that follows from it goes out, so that the next leader knows
// where a request may be under way.
//
// # Pacing
//
// As few updates run at a time as end in time: see Scheduler.maxConcurrent.
//
// The package is pure: it has no clock, and times are microseconds of the caller's
// monotonic clock. A Scheduler belongs to one goroutine at a time.
package rollout
