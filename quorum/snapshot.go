package quorum

import "sort"

// snapshot is what a voter gathers of a line in parts, be it one that it is about to join
// or the one that it follows and lags behind in. Nothing of it is part of the slot's state
// before the last part has come: until then a register that changed again meanwhile is
// missing, and the voter must not claim to hold what came before that change (design §4.9).
type snapshot struct {
	logTerm uint64   // of the line
	certain Position // what the voter was certain of, or held of its own line, when it began
	upTo    Position // all that was changed after sure and up to here has come
	entries map[string]Entry
	absent  []string // doubted keys that the line does not have
}

// lacking reports whether this voter has not joined the newest line that it knows of.
func (r *slotReplica) lacksLog() bool {
	return r.logTerm == 0 || r.snapshot != nil && r.snapshot.logTerm != r.logTerm
}

// fetchPatience is how many beats a part of a snapshot is waited for before it is asked
// for again.
const chunkPatience = 3

// follow asks the owner for what this voter lacks.
func (n *Node) catchUp(now int64, i uint16, s *slotReplica, last Position, o *Ready) {
	patience := n.config.HeartbeatInterval
	if s.snapshot != nil && s.snapshot.logTerm == s.leaderTerm {
		patience *= chunkPatience
	}
	if s.logTerm == s.leaderTerm && !s.last.Before(last) || now-s.snapshotAskedAt < patience {
		return
	}
	n.requestChunk(now, i, s, o)
}

// fetch asks for the next part: of the line that this voter follows, or of the snapshot
// with which it joins another. The question goes out once all that it says is on disk: an
// answer to it may still come after a loss of power, and must not leave a gap then.
func (n *Node) requestChunk(now int64, i uint16, s *slotReplica, o *Ready) {
	s.snapshotAskedAt = now
	snap := s.currentSnapshot()
	first := s.logTerm != s.leaderTerm
	m := Message{Type: MsgSnapshotRequest, Slot: i, Term: s.leaderTerm, Joining: first, Last: snap.certain, Previous: snap.upTo, More: true}
	if first && snap.upTo == (Position{}) {
		m.Keys = s.uncertainKeys()
	}
	owner := s.leader
	n.afterSync(now, o, func(_ int64, o *Ready) { n.send(o, owner, m) })
}

// gathering is the snapshot of the owner's line that is under way, or a new one.
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

// onFetch answers with the changes after what the voter has, oldest first, as many as one
// message takes. What changes meanwhile comes again at the end of that order.
func (n *Node) handleSnapshotRequest(m Message, o *Ready) {
	s := n.slots[m.Slot]
	if s.state < stateRecovering || s.term != m.Term {
		return
	}
	after := m.Last
	if after.Before(m.Previous) {
		after = m.Previous
	}
	fill := Message{Type: MsgSnapshotChunk, Slot: m.Slot, Term: s.term, Joining: m.Joining, Previous: m.Previous, Last: Position{s.term, s.lastIndex}, Committed: s.committed}
	fill.Entries, fill.Keys = s.replacements(after, m.Keys)
	whole := m.Joining && !m.More // a voter of a version that takes a snapshot in one part
	size := 0
	for _, change := range s.changedAfter(after) {
		entry := s.entries[change.key]
		if size > 0 && size+entryBytes(entry) > n.config.ChunkBytes && !whole {
			fill.More = true
			break
		}
		size += entryBytes(entry)
		fill.Entries = append(fill.Entries, entry)
	}
	if fill.More {
		fill.Last = fill.Entries[len(fill.Entries)-1].Position
	}
	n.send(o, m.From, fill)
}

// replaced lists what stands here in the place of doubted changes: registers not changed
// after mark, and keys that do not exist. All later changes come in their order.
func (r *slotReplica) replacements(mark Position, doubted []string) (entries []Entry, absent []string) {
	for _, key := range doubted {
		entry, ok := r.entries[key]
		switch {
		case !ok:
			absent = append(absent, key)
		case !mark.Before(entry.Position):
			entries = append(entries, entry)
		}
	}
	return entries, absent
}

func (n *Node) handleSnapshotChunk(now int64, m Message, o *Ready) {
	s := n.slots[m.Slot]
	if m.Term != s.promised || m.From != s.leader || m.Term != s.leaderTerm || s.state != stateFollower {
		return
	}
	if m.Joining != (s.logTerm != m.Term) || !s.addChunk(m) {
		return
	}
	s.snapshotAskedAt = 0
	switch {
	case m.More:
		n.requestChunk(now, m.Slot, s, o) // at once, so that it outruns the changes that come
	case m.Joining:
		n.installSnapshot(now, m.Slot, s, m, o)
	default:
		entries := s.snapshot.ordered()
		s.snapshot = nil
		n.appendFromLeader(now, m.Slot, s, entries, m.Last, m.Committed, o)
	}
}

// gather adds a part to the snapshot under way, if it is the one that was asked for.
func (r *slotReplica) addChunk(m Message) bool {
	snap := r.snapshot
	if snap == nil || snap.logTerm != m.Term || snap.upTo != m.Previous {
		return false
	}
	if m.Previous == (Position{}) {
		snap.absent = m.Keys
	}
	for _, entry := range m.Entries {
		snap.entries[entry.Key] = entry
	}
	snap.upTo = m.Last
	return true
}

// joinLine takes a whole snapshot over and follows the owner's line from then on. What
// was in doubt is replaced by what that line says. Drops come after the entries: a crash
// between them loses nothing that was settled.
func (n *Node) installSnapshot(now int64, i uint16, s *slotReplica, last Message, o *Ready) {
	snap := s.snapshot
	s.snapshot = nil
	was := s.logTerm
	for _, entry := range snap.ordered() {
		n.stageEntry(i, s, entry, was, snap.certain, o)
	}
	for _, key := range snap.absent {
		if _, later := snap.entries[key]; !later {
			n.deleteEntry(i, s, key, o)
		}
	}
	s.logTerm, s.last, s.committed = last.Term, last.Last, last.Committed
	if s.last.Before(s.committed) {
		s.committed = s.last
	}
	n.recordLogState(i, s, o)
	n.sendAppendAck(now, i, s, o)
}

// ordered lists the registers of a snapshot, oldest change first.
func (s *snapshot) ordered() []Entry {
	entries := make([]Entry, 0, len(s.entries))
	for _, entry := range s.entries {
		entries = append(entries, entry)
	}
	sort.Slice(entries, func(a, b int) bool { return entries[a].Position.Before(entries[b].Position) })
	return entries
}
