// Package indexnode is the process of an index node: it owns engines and shards of the
// prefix-cache index on a core machine. What it decides is decided by package index, which
// is pure; this package carries it out (docs/design.md §3, §10).
//
// # What it does
//
//   - It follows the platform's list of engines.
//   - It holds the leases of the singleton roles that fall to it (owner of an engine, of a
//     shard), whose register's revision is the fencing token of what it sends to engines.
//   - It polls its engines for what they run and keep, and brings them to the plan's weights.
//   - It follows the updates of the other index nodes for its shards and zones.
//   - It answers agents' demands with grants of its engines' capacity.
//
// # Goroutines
//
// The index.Node is not safe for concurrent use: every access goes through withNode, which
// locks. Calls over the network are made outside of the lock, each in a goroutine of
// internal/taskgroup; spawn keeps one call of a kind under way for each engine or peer.
// Times and durations are microseconds.
package indexnode
