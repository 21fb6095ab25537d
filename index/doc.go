// Package index implements the decision logic of an index node (docs/design.md §7, §8 and
// §10).
//
// Index nodes divide singleton roles among themselves: each engine has one owner, and so has
// each shard of the prefix-cache index. A role is held under a lease that a majority of the
// control nodes grants (Gray and Cheriton, "Leases", SOSP 1989). By its own clock, the holder
// stops before the lease ends, and the revision that granted the lease is the fencing token
// of its requests to engines. All nodes compute the same Placement from the same list of
// peers (rendezvous hashing with bounded loads), and each node acquires and releases leases
// until it holds the roles that are placed on it.
//
// The owner of an engine polls its reports, learns from them which blocks it has cached,
// grants each proxy a part of its capacity (package fairqueue), and updates its weights in
// waves over the fleet. The owner of a shard follows the update feeds of the engines' owners,
// and publishes to each zone which node is nearest for each block (package cacheindex). One
// index node for each zone relays those updates to the zone's proxies.
//
// The package does no I/O and reads no clock. A Node is not safe for concurrent use; callers
// hold a lock around each call. All times are in microseconds of a monotonic clock.
package index
