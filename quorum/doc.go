// Package quorum is the agreement core of the control nodes: small registers that are kept
// on a majority of synced disks and survive the loss of any minority.
//
// # Model
//
// Every key hashes to one of a fixed number of slots (SlotOf). Each slot is a replicated
// log of its own, as a multi-Raft group is: voters replicate it, one of them leads it for a
// term, and slots spread their leaders over the voters. There is no log common to all slots.
// Only the newest change of each key is kept, so a slot's state is a set of entries ordered
// by Position (term, index), not a list of all changes.
//
// # Terms and elections (election.go, recovery.go)
//
// A term is a ballot number of Paxos: a counter in the upper bits and the candidate's Number in
// the lowest 16, so that no two voters ever choose the same one. A candidate records its promise, then asks for votes
// (MsgVoteRequest). A voter refuses while it knows a live leader, or for one lease after it
// started; else it records the promise and answers with all that it has beyond what the
// candidate is certain of (phase 1 of Paxos). With a majority of votes the candidate takes
// over the newest log among them (the one of the highest LogTerm): what an older log has
// beyond its committed position was either carried into the newer log or never committed.
// It appends nothing on top of it. The new log begins at position (term, 0), and a majority
// must have copied it to disk before the leader serves (stateRecovering). A change that was
// answered StatusUnknown may take effect until its key is next changed; never afterwards.
//
// # Replication (replication.go)
//
// The leader sends each change (MsgAppend); a follower that has all before it records it and,
// once it is synced, acknowledges its last position. The highest position that a majority
// acknowledged is committed. Acknowledgements are repeated with every heartbeat, so any
// message may be lost, delayed or repeated.
//
// # Leases (lease.go)
//
// Leaders send heartbeats; a follower that answers one votes for nobody else for
// Config.LeaseDurationUS. The leader's lease counts from when it sent the newest heartbeat that a
// majority answered, less Config.LeaseMarginUS for the drift of clocks. Under a live lease it
// answers reads alone (OpGet); this is the lease read of Raft's dissertation, and the
// master lease of Chubby.
//
// # Catching up (snapshot.go)
//
// A replica that lacks changes asks its leader for them in chunks ordered by position. What
// has come is staged in memory and counts for nothing before the last chunk: until then a key
// that changed again meanwhile is missing.
//
// # Voter set (voterset.go, admission.go, change.go, install.go)
//
// The list of voters is itself a register (VoterSetKey), committed by a majority of the set
// before. One step adds a voter, removes one, or replaces one of an even number, so that
// every majority of one set shares a voter with every majority of the next (single-server
// changes of Raft's dissertation). The next step waits until every slot was recovered under
// the present set. Messages from under another set are refused.
//
// # Claims and role leases (claims.go, role.go)
//
// A claim is granted once and belongs to a numbered generation; claims of closed generations
// are refused and forgotten. A role lease gives a singleton role to one holder at a time; the
// register's revision is its fencing token.
//
// # On disk (record.go)
//
// Promises, entries, deletions, log states and voter sets are records, appended in the order
// given and synced together. Nothing that other voters or callers may rely on is said before
// the records that it rests on are synced: such effects wait in Node.afterSync.
//
// # Use
//
// The package is a pure state machine: no clock, socket, disk or goroutine. Every input
// (Tick, Receive, RecordsSynced, Propose, ...) takes the time and returns a Ready with the
// effects, which the caller carries out in order. Times are monotonic int64 microseconds of
// the caller's clock. A Node is not safe for concurrent use; the daemon (internal/app/control)
// and the simulator (sim) each call it from one goroutine.
//
// It assumes that clocks run at rates that differ by less than LeaseMarginUS in a LeaseDurationUS,
// that a synced record stays on its disk, that an emptied disk comes back under another
// incarnation, and that messages may be lost, delayed, repeated and reordered but not forged.
//
// Sources: L. Lamport, "Paxos Made Simple" (2001); D. Ongaro and J. Ousterhout, "In Search of
// an Understandable Consensus Algorithm" (2014), and Ongaro's dissertation, chapters 4 and 6;
// M. Burrows, "The Chubby Lock Service" (2006), and T. Chandra et al., "Paxos Made Live"
// (2007), for leases. The project's reasons are in docs/design.md, section 4.
package quorum
