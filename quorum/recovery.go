package quorum

// countVotes makes this node the leader once a majority granted its vote: it takes over what
// they hold, and has a majority copy that before it serves (design §4.3).
func (n *Node) countVotes(now int64, replica *slotReplica, ready *Ready) {
	_, promised := replica.votes[n.config.Name] // this voter's own promise is on disk
	if !promised || len(replica.votes) < n.voterSet.Majority() {
		return
	}
	committed, recovered := n.recoverLog(replica, ready)
	n.becomeRecovering(now, replica, committed, ready)
	ready.event(Event{Type: EventLeaderElected, Slot: replica.id, Term: replica.term, Recovered: recovered})
	n.heartbeatSentAt = 0 // a heartbeat goes out at the next tick, so that the lease begins at once
}

// recoverLog replaces what is in doubt here by what the newest log among the votes has. It
// returns the committed position of that log, and how many registers were in doubt.
func (n *Node) recoverLog(replica *slotReplica, ready *Ready) (committed Position, recovered int) {
	certain, uncertain := replica.certain(), replica.uncertainKeys()
	committed, found := n.mergeVotes(replica, uncertain)
	for _, entry := range byOrder(found) {
		n.stageEntry(replica, entry, certain, ready)
	}
	for _, key := range uncertain {
		if _, ok := found[key]; !ok {
			n.deleteEntry(replica, key, ready)
		}
	}
	return committed, len(found)
}

// mergeVotes gathers the newest change of each key that a majority reported. Only the newest
// log counts: what an older one has beyond its committed position was either carried into the
// newer one or never committed.
func (n *Node) mergeVotes(replica *slotReplica, uncertain []string) (committed Position, found map[string]Entry) {
	var newest uint64
	for _, vote := range replica.votes {
		newest = max(newest, vote.LogTerm)
	}
	found = map[string]Entry{}
	if replica.logTerm == newest {
		committed = replica.committed
		for _, key := range uncertain {
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

// becomeRecovering starts the log of a term that this node won. The slot is served once a
// majority has the log's beginning on disk, and with it all that was recovered.
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
	n.acknowledgeOwn(now, replica, start, ready)
}

// becomeLeader begins to serve a slot that is recovered.
func (n *Node) becomeLeader(now int64, replica *slotReplica, ready *Ready) {
	replica.state = stateLeader
	replica.recoveredUnder = n.voterSet.Revision
	replica.generationSince = now
	// In the order of their changes, so that a seed replays alike.
	for _, change := range replica.changedAfter(Position{}) {
		if isRole(change.key) {
			// The former leader may have renewed until it stopped (design §4.5).
			replica.roleLeaseUntil[change.key] = now + parseRoleLease(replica.entries[change.key].Value).Duration
		}
	}
	ready.event(Event{Type: EventLeaderReady, Slot: replica.id, Term: replica.term})
}
