// Package control is a control node: the process part that runs one voter of package
// quorum on a disk of its own, keeps the sessions of the fleet's nodes and answers
// operators.
//
// # What it does
//
// A node reads its write-ahead log, joins the voter set that includes its disk (or
// bootstraps one together with its seeds), and runs the voter until a newer voter set
// leaves the disk out or the disk can't be used (docs/design.md §4.6, §5). While it votes
// it serves reads and changes of control keys: an operation for a slot that another voter
// leads is forwarded to that leader, at most maxHops times (§4.5).
//
// # Protocol
//
// The agreement protocol is that of package quorum: per slot a leader under a lease,
// terms as in Raft (Ongaro and Ousterhout 2014), recovery of the newest log from a
// majority as in Paxos (Lamport 1998). This package carries out what a step of the voter
// returns, in this order: records to the disk, voter set, messages, results. A message
// that depends on a record is given out by the voter only after RecordsSynced covers the
// record; nothing here weakens that.
//
// # Goroutines
//
// The voter belongs to one loop ("voter", see startLoops): everything else reaches it by
// sending a function on Node.commands. The write-ahead log belongs to the writer's loop
// ("disk.write") while the voter runs, and to the lifecycle's goroutine ("lifecycle")
// otherwise. Methods of Node that are exported may be called from any goroutine. All
// goroutines start in internal/taskgroup.
//
// # Time
//
// All durations are microseconds and all instants are of the monotonic clock of
// internal/clock, unless a name or comment says otherwise.
package control
