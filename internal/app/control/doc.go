// Package control implements a control node: it runs one voter of package quorum on its own
// disk, keeps the sessions of the fleet's nodes and serves the operators' HTTP API.
//
// # Overview
//
// A node reads its write-ahead log, joins the voter set that includes its disk (or
// bootstraps one together with its seeds), and runs the voter until a newer voter set
// excludes the disk or the disk can't be used (docs/design.md §4.6, §5). While it votes
// it serves reads and changes of control keys: an operation for a slot that another voter
// leads is forwarded to that leader, at most maxHops times (§4.5).
//
// # Protocol
//
// The consensus protocol is that of package quorum: each slot has a leader that holds a lease,
// terms as in Raft (Ongaro and Ousterhout 2014), and recovery of the newest log from a
// majority as in Paxos (Lamport 1998). This package applies the effects that a step of the
// voter returns, in this order: records to the disk, voter set, messages, results. The voter
// releases a message that depends on a record only after RecordsSynced covers that record;
// this package does not weaken that guarantee.
//
// # Goroutines
//
// The voter is owned by one loop ("voter", see startLoops): other goroutines access it by
// sending a function on Node.commands. The write-ahead log is owned by the writer's loop
// ("disk.write") while the voter runs, and by the lifecycle goroutine ("lifecycle")
// otherwise. Exported methods of Node may be called from any goroutine. All
// goroutines are started through internal/taskgroup.
//
// # Time
//
// All durations are in microseconds and all points in time are readings of the monotonic clock
// of internal/clock, unless a name or comment says otherwise.
package control
