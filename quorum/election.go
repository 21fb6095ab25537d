package quorum

import "sort"

const (
	// termCounterShift makes room for the candidate's number in a term, so that no two
	// candidates choose the same one.
	termCounterShift = 16
	// higherTermPatience is how many heartbeats a leader waits for a voter that promised a
	// higher term to follow all the same, before it campaigns anew above that term.
	higherTermPatience = 3
)

// hearsMajority reports whether a majority was heard lately. Without one a slot can't be won,
// and the promise that a campaign takes would only keep this node from following its leader.
func (n *Node) hearsMajority(now int64) bool {
	count := 0
	for _, voter := range n.voterSet.Voters {
		at, heard := n.lastHeard[voter.Name]
		if voter.Name == n.config.Name || heard && now-at < SuspectAfterUS {
			count++
		}
	}
	return count >= n.voterSet.Majority()
}

// campaignRank is this node's place among those that may campaign for a slot, so that
// candidates do not split the votes; it stands for the random timeouts of Raft. It goes by
// round robin, so that every voter starts with its fair part of the slots; who is silent is
// passed over, and who does not follow the slot's log comes last, since it would have to be
// sent all of it.
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
	if n.leaving || now < replica.nextCampaignAt || !n.hearsMajority(now) {
		return
	}
	free := max(replica.noVoteUntil, replica.noCampaignUntil, n.noCampaignBefore)
	turn := free + n.campaignRank(now, replica)*2*n.config.HeartbeatIntervalUS
	if replica.campaignAtOnce || now >= turn {
		replica.campaignAtOnce = false
		n.campaign(now, replica, ready)
	}
}

func (n *Node) tickCandidate(now int64, replica *slotReplica, ready *Ready) {
	if now-replica.campaignStartedAt > n.config.LeaseDurationUS/2 {
		n.endCampaign(now, replica, ready)
	}
}

// endCampaign gives a campaign up, and lets those before this node in rank go first.
func (n *Node) endCampaign(now int64, replica *slotReplica, ready *Ready) {
	n.becomeFollower(now, replica, ready)
	replica.nextCampaignAt = now + n.config.HeartbeatIntervalUS*(1+n.campaignRank(now, replica))
}

// campaign asks for votes for a term above all that this voter promised.
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
	// It goes out once the promise is on disk: else, after a loss of power, an answer to this
	// incarnation's request could be taken for one to the next, of the same term.
	request := Message{Type: MsgVoteRequest, Slot: replica.id, Term: term, Last: replica.certain(), Keys: replica.uncertainKeys()}
	n.afterSync(now, ready, func(_ int64, ready *Ready) {
		if campaigning() {
			n.broadcast(ready, request)
		}
	})
}

// promise records that this voter follows and votes for no term below from now on.
func (n *Node) promise(replica *slotReplica, term uint64, ready *Ready) {
	replica.promised = term
	n.appendRecord(ready, Record{Type: RecordPromise, Slot: replica.id, Term: term})
}

// handleVoteRequest grants a vote unless a live leader may hold a lease that this voter
// answered for, also before it restarted.
func (n *Node) handleVoteRequest(now int64, replica *slotReplica, message Message, ready *Ready) {
	holdOff := max(replica.noVoteUntil, n.noVoteBefore) - now
	// The live leader itself may win its slot anew: its lease guards nobody else.
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

// handleVoteRejected gives the campaign up once no majority can grant any more, or a voter
// promised more than this node knew of. What the voter holds off is its own matter: this node
// only waits.
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

// followHigherTerm promises a term if it is new, and steps back where this node campaigned
// for or led a lower one.
func (n *Node) followHigherTerm(now int64, replica *slotReplica, term uint64, ready *Ready) {
	if replica.state != stateFollower && replica.term < term {
		n.becomeFollower(now, replica, ready)
	}
	if term > replica.promised {
		n.promise(replica, term, ready)
	}
}

// becomeFollower gives the slot up. Changes that are pending end with StatusUnknown: they may
// still be committed by the next leader.
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
