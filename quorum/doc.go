// Package quorum is the consensus core of the control nodes: small registers that are
// replicated to a majority of synced disks and survive the loss of any minority.
//
// # Model
//
// Every key hashes to one of a fixed number of slots (SlotOf). Each slot is a replicated log
// of its own, as in multi-Raft: the voters replicate it, one of them leads it for a term, and
// the leaders of the slots are spread over the voters. There is no log common to all slots.
// Only the newest change of each key is kept, so the state of a slot is a set of entries
// ordered by Position (term, index), not a list of all changes.
//
// # Terms and elections (election.go, recovery.go)
//
// A term is a ballot number as in Paxos: a counter in the upper bits and the candidate's
// Number in the lowest 16, so that no two voters ever choose the same term. A candidate
// records a promise to itself, then requests votes (MsgVoteRequest). A voter refuses while it
// knows a live leader, or during the first lease duration after a restart; otherwise it
// records the promise and answers with everything that it has beyond what the candidate knows
// to be committed (phase 1 of Paxos). With a majority of votes the candidate takes over the
// newest log among them (the one with the highest LogTerm): what an older log has after its
// committed position was either copied into the newer log or never committed. The old log is
// not extended. The new log begins at position (term, 0), and a majority must have copied it
// to disk before the leader serves (stateRecovering). A change that was answered with
// StatusUnknown may take effect until its key is next changed, but never afterwards.
//
// # Replication (replication.go)
//
// The leader sends each change (MsgAppend). A follower that has all earlier changes records it
// and acknowledges its last position once the record is synced. The highest position that a
// majority acknowledged is committed. Acknowledgements are repeated with every heartbeat, so
// any message may be lost, delayed or duplicated.
//
// # Leases (lease.go)
//
// Leaders send heartbeats; a follower that acknowledges one votes for nobody else for
// Config.LeaseDurationUS. The leader's lease counts from when it sent the newest heartbeat
// that a majority acknowledged, and ends Config.LeaseMarginUS early to allow for clock drift.
// Under a live lease the leader answers reads alone (OpGet). This is the lease-based read of
// Ongaro's dissertation on Raft, and the master lease of Chubby.
//
// # Catching up (snapshot.go)
//
// A replica that lacks changes requests them from its leader in chunks ordered by position.
// The chunks are staged in memory and have no effect before the last one: until then, a key
// that changes again during the transfer is missing.
//
// # Voter set (voterset.go, admission.go, change.go, install.go)
//
// The list of voters is itself a register (VoterSetKey), committed by a majority of the
// previous set. One change, called a step, adds a voter, removes one, or replaces one of an
// even number, so that every majority of one set shares a voter with every majority of the
// next (single-server changes of Ongaro's dissertation). The next step waits until every slot
// was recovered under the current set. Messages sent under another set are refused.
//
// # Claims and role leases (claims.go, role.go)
//
// A claim is granted once and belongs to a numbered generation; claims of closed generations
// are refused and deleted. A role lease gives a singleton role to one holder at a time; the
// register's revision is its fencing token.
//
// # On disk (record.go)
//
// Promises, entries, deletions, log states and voter sets are records, appended in the order
// given and synced together. Nothing that other voters or callers may rely on is sent before
// the records that it depends on are synced: such effects wait in Node.afterSync.
//
// # Use
//
// The package is a pure state machine: no clock, socket, disk or goroutine. Every input
// (Tick, Receive, RecordsSynced, Propose, ...) takes the time and returns a Ready with the
// effects, which the caller carries out in order. Times are monotonic int64 microseconds of
// the caller's clock. A Node is not safe for concurrent use; the daemon (internal/app/control)
// and the simulator (sim) each call it from one goroutine.
//
// It assumes that clock rates differ by less than LeaseMarginUS per LeaseDurationUS, that a
// synced record stays on its disk, that an emptied disk returns with another incarnation, and
// that messages may be lost, delayed, duplicated and reordered but not forged.
//
// Sources: L. Lamport, "Paxos Made Simple" (2001); D. Ongaro and J. Ousterhout, "In Search of
// an Understandable Consensus Algorithm" (2014), and Ongaro's dissertation, chapters 4 and 6;
// M. Burrows, "The Chubby Lock Service" (2006), and T. Chandra et al., "Paxos Made Live"
// (2007), for leases. The project's reasons are in docs/design.md, section 4.
package quorum
