// Package dispatch makes the decisions of a proxy: it queues requests by group, requests claims
// for once-only ones, sends each request to one of the engines granted to this proxy, and ends it
// with one outcome (docs/design.md §6 and §8).
//
// The inputs are requests, plans, engine grants, answers to claims and the progress of attempts.
// The outputs are Actions, which the caller must carry out in order. The owner of an engine
// grants each proxy a part of the engine's capacity. Grants and the plan expire: after
// MaxGrantAge this proxy sends an engine no new work, and after MaxPlanAge it admits no requests,
// so that a proxy that is partitioned from the network stops by itself (docs/bounds.md). Package
// attempt determines the next step of a single request.
//
// The package is pure: it uses no clock, network or disk, so that the daemon, the simulator and
// the replay of a recording run the same code. A Dispatcher is not safe for concurrent use;
// callers hold one lock during each call and while carrying out its actions. All times are
// monotonic microseconds.
package dispatch
