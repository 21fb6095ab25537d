package quorum

import "slices"

// broadcastHeartbeat sends heartbeats for the slots that this node leads.
func (n *Node) broadcastHeartbeat(now int64, ready *Ready) {
	var progress []SlotProgress
	for _, replica := range n.slots {
		if !replica.state.elected() {
			continue
		}
		progress = append(progress, SlotProgress{
			Slot:      replica.id,
			Term:      replica.term,
			Last:      Position{replica.term, replica.lastIndex},
			Committed: replica.committed,
			Recovered: replica.state == stateLeader && replica.recoveredUnder == n.voterSet.Revision,
		})
		replica.heartbeatAcked[n.config.Name] = now
		n.renewLease(now, replica)
	}
	n.broadcast(ready, Message{Type: MsgHeartbeat, Time: now, Progress: progress})
	if n.leaving {
		n.broadcast(ready, Message{Type: MsgLeaving})
	}
}

// renewLease extends the leader's lease, which counts from when the newest heartbeat that a
// majority acknowledged was sent.
func (n *Node) renewLease(now int64, replica *slotReplica) {
	if len(replica.heartbeatAcked) < n.voterSet.Majority() {
		return
	}
	var sent []int64
	for _, at := range replica.heartbeatAcked {
		sent = append(sent, at)
	}
	slices.Sort(sent)
	answered := sent[len(sent)-n.voterSet.Majority()]
	replica.leaseUntil = max(replica.leaseUntil, answered+n.config.LeaseDurationUS-n.config.LeaseMarginUS)
	replica.noVoteUntil = max(replica.noVoteUntil, now+n.config.LeaseDurationUS)
}

// handleHeartbeat follows the leader of each listed slot and acknowledges how much of its log
// this voter has.
func (n *Node) handleHeartbeat(now int64, message Message, ready *Ready) {
	var progress []SlotProgress
	for _, slot := range message.Progress {
		if int(slot.Slot) < len(n.slots) {
			progress = append(progress, n.followHeartbeat(now, message.From, slot, ready))
		}
	}
	// The acknowledgement is also a promise to vote for nobody else. If it is for a new term,
	// the promise must be on disk first, or a power loss could lead to two leaders.
	ack := Message{Type: MsgHeartbeatAck, Time: message.Time, Progress: progress}
	n.afterSync(now, ready, func(_ int64, ready *Ready) { n.send(ready, message.From, ack) })
}

// followHeartbeat follows the leader of one slot. If this voter promised a higher term and
// can't follow, the answer carries that term.
func (n *Node) followHeartbeat(now int64, from string, slot SlotProgress, ready *Ready) SlotProgress {
	replica := n.slots[slot.Slot]
	if slot.Term < replica.promised {
		replica.noCampaignUntil = max(replica.noCampaignUntil, now+n.config.LeaseDurationUS)
		return SlotProgress{Slot: slot.Slot, Term: replica.promised}
	}
	n.followHigherTerm(now, replica, slot.Term, ready)
	replica.leader, replica.leaderTerm = from, slot.Term
	if slot.Recovered {
		replica.recoveredUnder = n.voterSet.Revision
	}
	replica.noVoteUntil = max(replica.noVoteUntil, now+n.config.LeaseDurationUS)
	if replica.logTerm == slot.Term && replica.committed.Before(slot.Committed) {
		replica.committed = slot.Committed
	}
	n.catchUp(now, replica, slot.Last, ready)
	answer := SlotProgress{Slot: slot.Slot, Term: slot.Term}
	if replica.logTerm == slot.Term {
		// Repeated with every heartbeat, so that a lost MsgAppendAck does not delay a commit.
		answer.Last = replica.last
	}
	return answer
}

func (n *Node) handleHeartbeatAck(now int64, message Message, ready *Ready) {
	for _, slot := range message.Progress {
		if int(slot.Slot) >= len(n.slots) {
			continue
		}
		replica := n.slots[slot.Slot]
		if !replica.state.elected() {
			continue
		}
		if slot.Term > replica.term {
			replica.recordHigherTerm(now, slot.Term)
		}
		if slot.Term == replica.term && message.Time <= now {
			replica.heartbeatAcked[message.From] = max(replica.heartbeatAcked[message.From], message.Time)
			n.renewLease(now, replica)
			if slot.Last != (Position{}) {
				n.acknowledge(now, replica, message.From, slot.Last, ready)
			}
		}
	}
}

// recordHigherTerm records that a voter promised a higher term than this leader's, and since
// when that is known.
func (r *slotReplica) recordHigherTerm(now int64, term uint64) {
	if r.higherTerm <= r.term {
		r.higherTermSeenAt = now
	}
	r.higherTerm = max(r.higherTerm, term)
}

// tickElected steps down when the lease has expired, and otherwise does the leader's periodic
// work.
func (n *Node) tickElected(now int64, replica *slotReplica, ready *Ready) {
	switch {
	case n.leaseExpired(now, replica):
		n.becomeFollower(now, replica, ready)
		ready.event(Event{Type: EventLeaseExpired, Slot: replica.id, Term: replica.term})
	case n.mustCampaignAgain(now, replica):
		// A candidate that lost has promised its own term and can never follow a lower one.
		// Campaign again above that term; the lease still blocks other candidates.
		replica.promised = max(replica.promised, replica.higherTerm)
		n.becomeFollower(now, replica, ready)
		n.campaign(now, replica, ready)
	case replica.state == stateLeader:
		n.tickGenerations(now, replica, ready)
		n.tickVoterSet(now, replica, ready)
	}
}

// leaseExpired reports whether the lease has ended, or did not start within LeaseDurationUS of
// the campaign.
func (n *Node) leaseExpired(now int64, replica *slotReplica) bool {
	if replica.leaseUntil == 0 {
		return now-replica.campaignStartedAt > n.config.LeaseDurationUS
	}
	return now >= replica.leaseUntil
}

// mustCampaignAgain reports whether a voter promised a higher term and still does not follow, and
// no change is pending.
func (n *Node) mustCampaignAgain(now int64, replica *slotReplica) bool {
	waited := now - replica.higherTermSeenAt
	return replica.higherTerm > replica.term && len(replica.pendingOrder) == 0 &&
		waited > higherTermWaitHeartbeats*n.config.HeartbeatIntervalUS
}

// ReadUnderLease returns the committed register of a key if this node leads its slot under a
// live lease. A key that does not exist has revision 0.
func (n *Node) ReadUnderLease(now int64, key string) (Entry, bool) {
	replica := n.slotOf(key)
	if !replica.serves(now) {
		return Entry{}, false
	}
	entry, _ := replica.committedEntry(key)
	entry.Key = key
	return entry, true
}
