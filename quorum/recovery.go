package quorum

// countVotes makes this node the leader once a majority granted its vote: it takes over their
// uncommitted entries, and serves only after a majority has copied these (design §4.3).
func (n *Node) countVotes(now int64, replica *slotReplica, ready *Ready) {
	_, promised := replica.votes[n.config.Name] // this voter's own promise is on disk
	if !promised || len(replica.votes) < n.voterSet.Majority() {
		return
	}
	committed, recovered := n.recoverLog(replica, ready)
	n.becomeRecovering(now, replica, committed, ready)
	ready.event(Event{Type: EventLeaderElected, Slot: replica.id, Term: replica.term, Recovered: recovered})
	n.heartbeatSentAt = 0 // send a heartbeat at the next tick, so that the lease starts at once
}

// recoverLog replaces this replica's uncommitted entries by those of the newest log among the
// votes. It returns the committed position of that log, and how many registers it took over.
func (n *Node) recoverLog(replica *slotReplica, ready *Ready) (committed Position, recovered int) {
	knownCommitted, uncommitted := replica.knownCommitted(), replica.uncommittedKeys()
	committed, found := n.mergeVotes(replica, uncommitted)
	for _, entry := range sortedByPosition(found) {
		n.stageEntry(replica, entry, knownCommitted, ready)
	}
	for _, key := range uncommitted {
		if _, ok := found[key]; !ok {
			n.deleteEntry(replica, key, ready)
		}
	}
	return committed, len(found)
}

// mergeVotes collects the newest change of each key that a majority reported. Only the newest
// log counts: what an older log has after its committed position was either copied into the
// newer log or never committed.
func (n *Node) mergeVotes(replica *slotReplica, uncommitted []string) (committed Position, found map[string]Entry) {
	var newest uint64
	for _, vote := range replica.votes {
		newest = max(newest, vote.LogTerm)
	}
	found = map[string]Entry{}
	if replica.logTerm == newest {
		committed = replica.committed
		for _, key := range uncommitted {
			found[key] = replica.entries[key]
		}
	}
	for voter, vote := range replica.votes {
		if voter == n.config.Name || vote.LogTerm != newest {
			continue
		}
		if committed.Before(vote.Committed) {
			committed = vote.Committed
		}
		for _, entry := range vote.Entries {
			if have, ok := found[entry.Key]; !ok || have.Position.Before(entry.Position) {
				found[entry.Key] = entry
			}
		}
	}
	return committed, found
}

// becomeRecovering starts the log of the term that this node won. The slot is served once a
// majority has the start of the log on disk, and with it everything recovered.
func (n *Node) becomeRecovering(now int64, replica *slotReplica, committed Position, ready *Ready) {
	term, start := replica.term, Position{replica.term, 0}
	replica.state = stateRecovering
	replica.leader, replica.leaderTerm = n.config.Name, term
	replica.snapshot = nil
	replica.lastIndex = 0
	replica.logTerm, replica.last, replica.committed = term, start, committed
	replica.acknowledged, replica.heartbeatAcked = map[string]Position{}, map[string]int64{}
	replica.pendingByKey, replica.pendingOrder = map[string]*pendingChange{}, nil
	replica.roleLeaseUntil = map[string]int64{}
	n.recordLogState(replica, ready)
	n.acknowledgeLocal(now, replica, start, ready)
}

// becomeLeader starts to serve a recovered slot.
func (n *Node) becomeLeader(now int64, replica *slotReplica, ready *Ready) {
	replica.state = stateLeader
	replica.recoveredUnder = n.voterSet.Revision
	replica.generationSince = now
	// In the order of their changes, so that runs are reproducible.
	for _, change := range replica.changedAfter(Position{}) {
		if isRole(change.key) {
			// The previous leader may have renewed the lease until it stopped (design §4.5).
			replica.roleLeaseUntil[change.key] = now + parseRoleLease(replica.entries[change.key].Value).Duration
		}
	}
	ready.event(Event{Type: EventLeaderReady, Slot: replica.id, Term: replica.term})
}
