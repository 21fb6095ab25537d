// Package fairqueue divides capacity fairly: between groups of callers at one proxy (Queue), and
// between proxies at the owner of an engine (Split); see docs/design.md §8.
//
// Queue is start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queuing", SIGCOMM
// 1996) over groups: each group has a virtual start time that advances by cost divided by share,
// the group with the earliest one is served next, and the virtual time of the queue is the
// start time of the group served last. Within a group, the item with the earliest deadline is
// served first.
//
// Split is weighted max-min fair sharing by progressive filling: groups whose demand is
// below their fair share get their demand, and the others share the remainder.
//
// The package is deterministic: it uses no clock and no randomness, and computes sums in a fixed
// order, so that a replay of the same calls gives bit-identical results. A Queue is not safe for
// concurrent use.
package fairqueue
