package quorum

import "sort"

const (
	// termCounterShift leaves the lowest 16 bits of a term for the candidate's number, so that
	// no two candidates choose the same term.
	termCounterShift = 16
	// higherTermWaitHeartbeats is how many heartbeats a leader waits for a voter that promised
	// a higher term to follow it after all. Then it campaigns again, above that term.
	higherTermWaitHeartbeats = 3
)

// majorityActive reports whether a majority was heard recently. Without one an election can't
// be won, and the term that the candidate promises to itself would only keep this node from
// following its leader.
func (n *Node) majorityActive(now int64) bool {
	count := 0
	for _, voter := range n.voterSet.Voters {
		at, heard := n.lastHeard[voter.Name]
		if voter.Name == n.config.Name || heard && now-at < SuspectAfterUS {
			count++
		}
	}
	return count >= n.voterSet.Majority()
}

// campaignRank is this node's place in the order in which voters campaign for a slot; it takes
// the place of Raft's random timeouts in avoiding split votes. The order is round robin by
// slot, so that leaders start evenly spread over the voters. Voters that are not heard are
// skipped. A voter that does not have the slot's log comes last, since all of it would have to
// be sent to it.
func (n *Node) campaignRank(now int64, replica *slotReplica) int64 {
	names := make([]string, 0, len(n.voterSet.Voters))
	for _, voter := range n.voterSet.Voters {
		names = append(names, voter.Name)
	}
	sort.Strings(names)
	var rank int64
	if replica.lacksLog() && n.voterSet.Step() > 1 {
		rank = int64(len(names))
	}
	for k := range names {
		name := names[(int(replica.id)+k)%len(names)]
		if name == n.config.Name {
			return rank
		}
		if n.TimeSinceHeard(now, name) < SuspectAfterUS {
			rank++
		}
	}
	return rank
}

func (n *Node) tickFollower(now int64, replica *slotReplica, ready *Ready) {
	if n.leaving || now < replica.nextCampaignAt || !n.majorityActive(now) {
		return
	}
	earliest := max(replica.noVoteUntil, replica.noCampaignUntil, n.noCampaignBefore)
	campaignAt := earliest + n.campaignRank(now, replica)*2*n.config.HeartbeatIntervalUS
	if replica.campaignImmediately || now >= campaignAt {
		replica.campaignImmediately = false
		n.campaign(now, replica, ready)
	}
}

func (n *Node) tickCandidate(now int64, replica *slotReplica, ready *Ready) {
	if now-replica.campaignStartedAt > n.config.LeaseDurationUS/2 {
		n.endCampaign(now, replica, ready)
	}
}

// endCampaign ends a campaign without success, and lets voters of a lower rank campaign first.
func (n *Node) endCampaign(now int64, replica *slotReplica, ready *Ready) {
	n.becomeFollower(now, replica, ready)
	replica.nextCampaignAt = now + n.config.HeartbeatIntervalUS*(1+n.campaignRank(now, replica))
}

// campaign requests votes for a term above every term that this voter promised.
func (n *Node) campaign(now int64, replica *slotReplica, ready *Ready) {
	term := (replica.promised>>termCounterShift+1)<<termCounterShift | uint64(n.self.Number)
	replica.state, replica.term, replica.campaignStartedAt = stateCandidate, term, now
	replica.votes, replica.rejections = map[string]Message{}, map[string]bool{}
	n.promise(replica, term, ready)
	campaigning := func() bool { return replica.state == stateCandidate && replica.term == term }
	n.afterSync(now, ready, func(now int64, ready *Ready) {
		if campaigning() {
			replica.votes[n.config.Name] = Message{LogTerm: replica.logTerm, Committed: replica.committed}
			n.countVotes(now, replica, ready)
		}
	})
	// The request is sent once the promise is on disk. Otherwise, after a power loss, the next
	// campaign could use the same term and take an answer to this request for one to its own.
	request := Message{Type: MsgVoteRequest, Slot: replica.id, Term: term, Last: replica.knownCommitted(), Keys: replica.uncommittedKeys()}
	n.afterSync(now, ready, func(_ int64, ready *Ready) {
		if campaigning() {
			n.broadcast(ready, request)
		}
	})
}

// promise records that this voter neither follows nor votes for any term below this one.
func (n *Node) promise(replica *slotReplica, term uint64, ready *Ready) {
	replica.promised = term
	n.appendRecord(ready, Record{Type: RecordPromise, Slot: replica.id, Term: term})
}

// handleVoteRequest grants a vote unless this voter promised as high a term, or a live leader
// may hold a lease that this voter acknowledged, possibly before a restart.
func (n *Node) handleVoteRequest(now int64, replica *slotReplica, message Message, ready *Ready) {
	holdOff := max(replica.noVoteUntil, n.noVoteBefore) - now
	// The leader itself may be re-elected during its lease, which protects only against others.
	if message.Term <= replica.promised || holdOff > 0 && message.From != replica.leader {
		n.send(ready, message.From, Message{Type: MsgVoteRejected, Slot: message.Slot, Term: message.Term,
			Promised: replica.promised, Time: max(0, holdOff)})
		return
	}
	n.followHigherTerm(now, replica, message.Term, ready)
	entries, absent := replica.changesSince(message.Last, message.Keys)
	vote := Message{Type: MsgVoteGranted, Slot: message.Slot, Term: message.Term, LogTerm: replica.logTerm,
		Committed: replica.committed, Entries: entries, Keys: absent}
	n.afterSync(now, ready, func(_ int64, ready *Ready) { n.send(ready, message.From, vote) })
}

func (n *Node) handleVoteGranted(now int64, replica *slotReplica, message Message, ready *Ready) {
	if replica.state == stateCandidate && replica.term == message.Term {
		replica.votes[message.From] = message
		n.countVotes(now, replica, ready)
	}
}

// handleVoteRejected ends the campaign if a majority can no longer be won, or if a voter has
// already promised the candidate's term or a higher one. The time for which the other voter
// grants no votes only delays this node's next campaign; it does not restrict this node's own
// votes.
func (n *Node) handleVoteRejected(now int64, replica *slotReplica, message Message, ready *Ready) {
	if replica.state != stateCandidate || replica.term != message.Term {
		return
	}
	replica.rejections[message.From] = true
	replica.noCampaignUntil = max(replica.noCampaignUntil, now+message.Time)
	canWin := len(replica.rejections) <= len(n.voterSet.Voters)-n.voterSet.Majority()
	if message.Promised < message.Term && canWin {
		return
	}
	n.endCampaign(now, replica, ready)
	if message.Promised > replica.promised {
		n.promise(replica, message.Promised, ready)
	}
}

// followHigherTerm promises a term if it is higher than the last, and steps down if this node
// is a candidate or leader of a lower one.
func (n *Node) followHigherTerm(now int64, replica *slotReplica, term uint64, ready *Ready) {
	if replica.state != stateFollower && replica.term < term {
		n.becomeFollower(now, replica, ready)
	}
	if term > replica.promised {
		n.promise(replica, term, ready)
	}
}

// becomeFollower gives up the slot. Pending changes end with StatusUnknown, because the next
// leader may still commit them.
func (n *Node) becomeFollower(now int64, replica *slotReplica, ready *Ready) {
	for _, change := range replica.pendingOrder {
		if change.operation.ID != 0 {
			ready.Results = append(ready.Results, Result{ID: change.operation.ID, Status: StatusUnknown})
		}
		for _, queued := range change.queued {
			ready.Results = append(ready.Results, Result{ID: queued.ID, Status: StatusNotLeader})
		}
	}
	replica.state = stateFollower
	replica.votes = nil
	replica.acknowledged, replica.heartbeatAcked, replica.roleLeaseUntil = nil, nil, nil
	replica.pendingOrder, replica.pendingByKey = nil, nil
	replica.leaseUntil, replica.higherTerm = 0, 0
	if replica.leader == n.config.Name {
		replica.leader = ""
	}
	replica.nextCampaignAt = now + n.config.LeaseDurationUS/2
}
