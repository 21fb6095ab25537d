// Package index is the deciding part of an index node (docs/design.md §7, §8 and §10).
//
// Index nodes divide singleton roles between them: each engine has one owner, and so has
// each shard of the prefix-cache index. A role is held under a lease that a majority of the
// control nodes grants (Gray and Cheriton, "Leases", SOSP 1989); its holder stops before
// the lease ends by its own clock, and the revision that granted it is the fencing token of
// what the holder orders. All nodes compute the same Placement from the same list of peers
// (rendezvous hashing within a bound on the load), and each works towards its own part.
//
// The owner of an engine polls its reports, learns from them which blocks it has cached,
// grants each proxy a part of its capacity (package fairqueue), and makes it change weights
// in waves. The owner of a shard follows the owners of the engines, and tells each zone
// which node is nearest for each block (package cacheindex); one index node for each zone
// brings that to the zone's proxies.
//
// The package is pure: no clock, socket or disk. A Node is not safe for concurrent use; its
// callers hold one lock around each call. All times are monotonic microseconds.
package index
