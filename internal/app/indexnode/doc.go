// Package indexnode implements the process of an index node, which owns engines and shards of
// the prefix-cache index on a core machine. Package index makes the decisions and does no I/O;
// this package carries them out (docs/design.md §3, §10).
//
// # Tasks
//
//   - Poll the platform's list of engines.
//   - Hold the leases of the singleton roles that are placed on this node (owner of an engine
//     or of a shard). The revision of the lease's register is the fencing token of requests
//     to engines.
//   - Poll the engines for their running requests and cached blocks, and update their weights
//     to the plan's.
//   - Follow the update feeds of the other index nodes for this node's shards and zones.
//   - Answer agents' capacity requests with grants of the engines' capacity.
//
// # Goroutines
//
// The index.Node is not safe for concurrent use: every access goes through withNode, which
// locks. Network calls are made without the lock, each in a goroutine of internal/taskgroup;
// spawn limits them to one call of a kind at a time for each engine or peer. Times and
// durations are in microseconds.
package indexnode
