package quorum

import "math"

// snapshot collects a log in chunks, either one that the voter is about to follow or the one
// that it follows and lags behind in. It becomes part of the replica's state only with the last
// chunk: a register that changes again during the transfer is missing until then, and the voter
// must not claim to have the changes before that one (design §4.9).
type snapshot struct {
	logTerm uint64
	base    Position // known to be committed, or last of the same log, when the transfer started
	upTo    Position // all changes after base and up to here were received
	entries map[string]Entry
	absent  []string // uncommitted keys that the log does not have
}

// chunkTimeoutHeartbeats is how many heartbeats to wait for a chunk before requesting it again.
const chunkTimeoutHeartbeats = 3

// lacksLog reports whether this voter does not follow the newest log that it knows of.
func (r *slotReplica) lacksLog() bool {
	return r.logTerm == 0 || r.snapshot != nil && r.snapshot.logTerm != r.logTerm
}

// catchUp requests what this voter lacks of the leader's log up to a position, unless it did so
// recently.
func (n *Node) catchUp(now int64, replica *slotReplica, last Position, ready *Ready) {
	timeout := n.config.HeartbeatIntervalUS
	if replica.snapshot != nil && replica.snapshot.logTerm == replica.leaderTerm {
		timeout *= chunkTimeoutHeartbeats
	}
	complete := replica.logTerm == replica.leaderTerm && !replica.last.Before(last)
	if complete || now-replica.snapshotRequestedAt < timeout {
		return
	}
	n.requestChunk(now, replica, ready)
}

// requestChunk requests the next chunk. The request is sent once everything that it states is
// on disk: it may be answered after a power loss, and must not leave a gap then.
func (n *Node) requestChunk(now int64, replica *slotReplica, ready *Ready) {
	replica.snapshotRequestedAt = now
	current := replica.currentSnapshot()
	request := Message{Type: MsgSnapshotRequest, Slot: replica.id, Term: replica.leaderTerm, Last: current.base,
		Previous: current.upTo, Joining: replica.logTerm != replica.leaderTerm, More: true}
	if request.Joining && current.upTo == (Position{}) {
		request.Keys = replica.uncommittedKeys()
	}
	leader := replica.leader
	n.afterSync(now, ready, func(_ int64, ready *Ready) { n.send(ready, leader, request) })
}

// currentSnapshot returns the transfer of the leader's log that is in progress, or starts one.
func (r *slotReplica) currentSnapshot() *snapshot {
	if r.snapshot != nil && r.snapshot.logTerm == r.leaderTerm {
		return r.snapshot
	}
	from := r.last
	if r.logTerm != r.leaderTerm {
		from = r.knownCommitted()
	}
	r.snapshot = &snapshot{logTerm: r.leaderTerm, base: from, entries: map[string]Entry{}}
	return r.snapshot
}

// handleSnapshotRequest sends the changes that the requester lacks, oldest first, as many as
// fit into one message. A register that changes during the transfer is sent again in a later
// chunk.
func (n *Node) handleSnapshotRequest(replica *slotReplica, message Message, ready *Ready) {
	if !replica.state.elected() || replica.term != message.Term {
		return
	}
	after := message.Last
	if after.Before(message.Previous) {
		after = message.Previous
	}
	chunk := Message{Type: MsgSnapshotChunk, Slot: replica.id, Term: replica.term, Joining: message.Joining,
		Previous: message.Previous, Last: Position{replica.term, replica.lastIndex}, Committed: replica.committed}
	chunk.Entries, chunk.Keys = replica.currentVersions(after, message.Keys)
	limit := n.config.ChunkBytes
	if message.Joining && !message.More {
		limit = math.MaxInt // the version of the requester takes a snapshot in one message
	}
	changes, more := replica.chunkAfter(after, limit)
	chunk.Entries = append(chunk.Entries, changes...)
	if more {
		chunk.More = true
		chunk.Last = chunk.Entries[len(chunk.Entries)-1].Position
	}
	n.send(ready, message.From, chunk)
}

// chunkAfter lists the registers changed after a position, oldest change first, at least one
// and as many as fit into limit bytes, and reports whether there are more.
func (r *slotReplica) chunkAfter(after Position, limit int) (entries []Entry, more bool) {
	size := 0
	for _, change := range r.changedAfter(after) {
		entry := r.entries[change.key]
		if size > 0 && size+entryBytes(entry) > limit {
			return entries, true
		}
		size += entryBytes(entry)
		entries = append(entries, entry)
	}
	return entries, false
}

// currentVersions returns what this replica has for keys whose newest change at the requester
// may never be committed: registers not changed after a position, and keys that do not exist.
// Later changes are sent in the order of their positions.
func (r *slotReplica) currentVersions(position Position, uncommitted []string) (entries []Entry, absent []string) {
	for _, key := range uncommitted {
		entry, ok := r.entries[key]
		switch {
		case !ok:
			absent = append(absent, key)
		case !position.Before(entry.Position):
			entries = append(entries, entry)
		}
	}
	return entries, absent
}

func (n *Node) handleSnapshotChunk(now int64, replica *slotReplica, message Message, ready *Ready) {
	fromLeader := message.From == replica.leader && message.Term == replica.leaderTerm
	if !fromLeader || message.Term != replica.promised || replica.state != stateFollower {
		return
	}
	if message.Joining != (replica.logTerm != message.Term) || !replica.addChunk(message) {
		return
	}
	replica.snapshotRequestedAt = 0
	switch {
	case message.More:
		n.requestChunk(now, replica, ready) // at once, to keep ahead of new changes
	case message.Joining:
		n.installSnapshot(now, replica, message, ready)
	default:
		entries := sortedByPosition(replica.snapshot.entries)
		replica.snapshot = nil
		n.appendFromLeader(now, replica, entries, message.Last, message.Committed, ready)
	}
}

// addChunk adds a chunk to the snapshot in progress, if it is the one that was requested: a
// repeated older chunk would overwrite newer registers.
func (r *slotReplica) addChunk(message Message) bool {
	current := r.snapshot
	if current == nil || current.logTerm != message.Term || current.upTo != message.Previous {
		return false
	}
	if message.Previous == (Position{}) {
		current.absent = message.Keys
	}
	for _, entry := range message.Entries {
		current.entries[entry.Key] = entry
	}
	current.upTo = message.Last
	return true
}

// installSnapshot installs a complete snapshot and switches to the leader's log. Uncommitted
// changes are replaced by the state of that log. Deletions come after the entries, so that a
// crash between them loses nothing that was committed.
func (n *Node) installSnapshot(now int64, replica *slotReplica, lastChunk Message, ready *Ready) {
	complete := replica.snapshot
	replica.snapshot = nil
	for _, entry := range sortedByPosition(complete.entries) {
		n.stageEntry(replica, entry, complete.base, ready)
	}
	for _, key := range complete.absent {
		if _, later := complete.entries[key]; !later {
			n.deleteEntry(replica, key, ready)
		}
	}
	replica.logTerm, replica.last, replica.committed = lastChunk.Term, lastChunk.Last, lastChunk.Committed
	if replica.last.Before(replica.committed) {
		replica.committed = replica.last
	}
	n.recordLogState(replica, ready)
	n.sendAppendAck(now, replica, ready)
}
