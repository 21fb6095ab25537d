// Package dispatch is the deciding part of a proxy: it queues requests by group, claims the
// once-only ones, sends each to one of the engines that this proxy was granted, and ends it
// with one outcome (docs/design.md §6 and §8).
//
// Requests, plans, engine grants, answers to claims and the progress of attempts go in;
// Actions come out, which the caller must carry out in their order. The owner of an engine
// grants each proxy a part of the engine's capacity. A grant and the plan both age: past
// MaxGrantAge an engine gets no new work from here, and past MaxPlanAge no request is taken
// in, so that a proxy that is cut off stops by itself (docs/bounds.md). What comes next for
// a single request is decided by package attempt.
//
// The package is pure: it has no clock, socket or disk, so that the daemon, the simulator
// and a replay of a recording run the same code. A Dispatcher is not safe for concurrent
// use; its callers hold one lock around each call and around carrying out its actions.
// All times are monotonic microseconds.
package dispatch
