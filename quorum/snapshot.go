package quorum

import "math"

// snapshot is what a voter gathers of a log in chunks, be it one that it is about to follow or
// the one that it follows and lags behind in. Nothing of it is part of the replica's state
// before the last chunk has come: until then a register that changed again meanwhile is
// missing, and the voter must not claim to have what came before that change (design §4.9).
type snapshot struct {
	logTerm uint64
	certain Position // what the voter was certain of, or had of the same log, when it began
	upTo    Position // all that was changed after certain and up to here has come
	entries map[string]Entry
	absent  []string // doubted keys that the log does not have
}

// chunkPatience is how many heartbeats a chunk is waited for before it is asked for again.
const chunkPatience = 3

// lacksLog reports whether this voter does not follow the newest log that it knows of.
func (r *slotReplica) lacksLog() bool {
	return r.logTerm == 0 || r.snapshot != nil && r.snapshot.logTerm != r.logTerm
}

// catchUp asks the leader for what this voter lacks of the log up to a position, unless it
// asked lately.
func (n *Node) catchUp(now int64, replica *slotReplica, last Position, ready *Ready) {
	patience := n.config.HeartbeatIntervalUS
	if replica.snapshot != nil && replica.snapshot.logTerm == replica.leaderTerm {
		patience *= chunkPatience
	}
	complete := replica.logTerm == replica.leaderTerm && !replica.last.Before(last)
	if complete || now-replica.snapshotAskedAt < patience {
		return
	}
	n.requestChunk(now, replica, ready)
}

// requestChunk asks for the next chunk. The request goes out once all that it says is on
// disk: an answer to it may still come after a loss of power, and must not leave a gap then.
func (n *Node) requestChunk(now int64, replica *slotReplica, ready *Ready) {
	replica.snapshotAskedAt = now
	under := replica.currentSnapshot()
	request := Message{Type: MsgSnapshotRequest, Slot: replica.id, Term: replica.leaderTerm, Last: under.certain,
		Previous: under.upTo, Joining: replica.logTerm != replica.leaderTerm, More: true}
	if request.Joining && under.upTo == (Position{}) {
		request.Keys = replica.uncertainKeys()
	}
	leader := replica.leader
	n.afterSync(now, ready, func(_ int64, ready *Ready) { n.send(ready, leader, request) })
}

// currentSnapshot is the snapshot of the leader's log that is under way, or a new one.
func (r *slotReplica) currentSnapshot() *snapshot {
	if r.snapshot != nil && r.snapshot.logTerm == r.leaderTerm {
		return r.snapshot
	}
	from := r.last
	if r.logTerm != r.leaderTerm {
		from = r.certain()
	}
	r.snapshot = &snapshot{logTerm: r.leaderTerm, certain: from, entries: map[string]Entry{}}
	return r.snapshot
}

// handleSnapshotRequest answers with the changes after what the voter has, oldest first, as
// many as one message takes. What changes meanwhile comes again at the end of that order.
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
	chunk.Entries, chunk.Keys = replica.replacements(after, message.Keys)
	limit := n.config.ChunkBytes
	if message.Joining && !message.More {
		limit = math.MaxInt // a voter of a version that takes a snapshot in one message
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
// and as many as fit into limit bytes, and whether there are more.
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

// replacements lists what stands here in the place of doubted changes: registers not changed
// after a position, and keys that do not exist. All later changes come in their order.
func (r *slotReplica) replacements(position Position, doubted []string) (entries []Entry, absent []string) {
	for _, key := range doubted {
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
	replica.snapshotAskedAt = 0
	switch {
	case message.More:
		n.requestChunk(now, replica, ready) // at once, so that it outruns the changes that come
	case message.Joining:
		n.installSnapshot(now, replica, message, ready)
	default:
		entries := byOrder(replica.snapshot.entries)
		replica.snapshot = nil
		n.appendFromLeader(now, replica, entries, message.Last, message.Committed, ready)
	}
}

// addChunk adds a chunk to the snapshot under way, if it is the one that was asked for: a
// repeated older one would put old registers in the place of newer ones.
func (r *slotReplica) addChunk(message Message) bool {
	under := r.snapshot
	if under == nil || under.logTerm != message.Term || under.upTo != message.Previous {
		return false
	}
	if message.Previous == (Position{}) {
		under.absent = message.Keys
	}
	for _, entry := range message.Entries {
		under.entries[entry.Key] = entry
	}
	under.upTo = message.Last
	return true
}

// installSnapshot takes a complete snapshot over, and follows the leader's log from then on.
// What was in doubt is replaced by what that log says. Deletions come after the entries: a
// crash between them loses nothing that was committed.
func (n *Node) installSnapshot(now int64, replica *slotReplica, lastChunk Message, ready *Ready) {
	complete := replica.snapshot
	replica.snapshot = nil
	for _, entry := range byOrder(complete.entries) {
		n.stageEntry(replica, entry, complete.certain, ready)
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
