// Package fairqueue shares capacity fairly: between groups of callers at one proxy (Queue),
// and between proxies at the owner of an engine (Split); see docs/design.md §8.
//
// Queue is start-time fair queueing (Goyal, Vin, Cheng: "Start-time Fair Queuing", SIGCOMM
// 1996) over groups: each group has a virtual start time that advances by cost over share,
// the group with the earliest one is served next, and the virtual time of the queue is the
// start time of the group served last. Within a group the earliest deadline goes first.
//
// Split is weighted max-min fair sharing by progressive filling: groups whose demand is
// below their fair share get their demand, and the others share what is left.
//
// The package is pure: no clock, no randomness, and sums are formed in a fixed order, so
// that a replay of the same calls gives the same results to the bit. Nothing here may be
// called from two goroutines at once.
package fairqueue
