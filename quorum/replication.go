package quorum

import "slices"

// replicate assigns a position to a change and sends it to the other voters. An operation
// without an ID is the node's own and has no result.
func (n *Node) replicate(now int64, replica *slotReplica, entry Entry, operation Operation, ready *Ready) {
	before := Position{replica.term, replica.lastIndex}
	replica.lastIndex++
	entry.Position = Position{replica.term, replica.lastIndex}
	previous, existed := replica.entries[entry.Key]
	change := &pendingChange{key: entry.Key, position: entry.Position, previous: previous, existed: existed, operation: operation}
	replica.pendingByKey[entry.Key] = change
	replica.pendingOrder = append(replica.pendingOrder, change)
	n.store(replica, entry)
	replica.last = entry.Position
	n.recordEntry(replica, entry, replica.last, ready)
	n.acknowledgeLocal(now, replica, entry.Position, ready)
	n.broadcast(ready, Message{Type: MsgAppend, Slot: replica.id, Term: replica.term, Previous: before,
		Entries: []Entry{entry}, Committed: replica.committed})
}

// acknowledgeLocal counts this leader's own disk once everything recorded so far is synced.
func (n *Node) acknowledgeLocal(now int64, replica *slotReplica, position Position, ready *Ready) {
	n.afterSync(now, ready, func(now int64, ready *Ready) {
		if replica.term == position.Term && replica.state.elected() {
			n.acknowledge(now, replica, n.config.Name, position, ready)
		}
	})
}

// acknowledge records a voter's synced position, and commits what a majority has now.
func (n *Node) acknowledge(now int64, replica *slotReplica, voter string, position Position, ready *Ready) {
	if known, ok := replica.acknowledged[voter]; !ok || known.Before(position) {
		replica.acknowledged[voter] = position
	}
	if len(replica.acknowledged) < n.voterSet.Majority() {
		return
	}
	if majorityPosition := n.acknowledgedByMajority(replica); replica.committed.Before(majorityPosition) {
		replica.committed = majorityPosition
	}
	n.finishCommitted(now, replica, ready)
	started := !replica.committed.Before(Position{replica.term, 0})
	if replica.state == stateRecovering && len(replica.pendingOrder) == 0 && started {
		n.becomeLeader(now, replica, ready)
	}
}

// acknowledgedByMajority returns the highest position that a majority has on disk.
func (n *Node) acknowledgedByMajority(replica *slotReplica) Position {
	var positions []Position
	for _, position := range replica.acknowledged {
		positions = append(positions, position)
	}
	slices.SortFunc(positions, func(a, b Position) int { return b.Compare(a) })
	return positions[n.voterSet.Majority()-1]
}

// finishCommitted completes the operations whose changes are committed, and applies those that
// were queued behind them.
func (n *Node) finishCommitted(now int64, replica *slotReplica, ready *Ready) {
	for len(replica.pendingOrder) > 0 && !replica.committed.Before(replica.pendingOrder[0].position) {
		change := replica.pendingOrder[0]
		replica.pendingOrder = replica.pendingOrder[1:]
		delete(replica.pendingByKey, change.key)
		if change.operation.ID != 0 {
			entry := replica.entries[change.key]
			ready.Results = append(ready.Results, Result{ID: change.operation.ID, Status: StatusDone,
				Revision: entry.Revision, Value: entry.Value})
		}
		for _, operation := range change.queued {
			n.apply(now, replica, operation, ready)
		}
	}
}

func (n *Node) handleAppend(now int64, replica *slotReplica, message Message, ready *Ready) {
	if message.Term < replica.promised {
		return
	}
	n.followHigherTerm(now, replica, message.Term, ready)
	replica.leader, replica.leaderTerm = message.From, message.Term
	if len(message.Entries) == 0 {
		return
	}
	last := message.Entries[len(message.Entries)-1].Position
	if replica.logTerm != message.Term || replica.last.Before(message.Previous) {
		n.catchUp(now, replica, last, ready)
		return
	}
	n.appendFromLeader(now, replica, message.Entries, last, message.Committed, ready)
}

// appendFromLeader stores changes of the log that this voter follows, and acknowledges them.
func (n *Node) appendFromLeader(now int64, replica *slotReplica, entries []Entry, last, committed Position, ready *Ready) {
	if replica.committed.Before(committed) {
		replica.committed = committed
	}
	// The last position advances only with the last record, so that a partly written batch does
	// not claim more than it holds.
	recorded := replica.last
	for k, entry := range entries {
		if k == len(entries)-1 && replica.last.Before(last) {
			recorded, replica.last = last, last
		}
		if have, ok := replica.entries[entry.Key]; ok && !have.Position.Before(entry.Position) {
			continue
		}
		n.store(replica, entry)
		n.recordEntry(replica, entry, recorded, ready)
	}
	if replica.last.Before(last) {
		replica.last = last
	}
	n.sendAppendAck(now, replica, ready)
}

// sendAppendAck acknowledges this voter's last position to the leader, once it is synced.
func (n *Node) sendAppendAck(now int64, replica *slotReplica, ready *Ready) {
	leader := replica.leader
	ack := Message{Type: MsgAppendAck, Slot: replica.id, Term: replica.logTerm, Last: replica.last}
	n.afterSync(now, ready, func(_ int64, ready *Ready) { n.send(ready, leader, ack) })
}

func (n *Node) handleAppendAck(now int64, replica *slotReplica, message Message, ready *Ready) {
	if replica.state.elected() && replica.term == message.Term {
		n.acknowledge(now, replica, message.From, message.Last, ready)
	}
}
