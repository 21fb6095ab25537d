package quorum

// VoterSet returns the voter set in force at this node.
func (n *Node) VoterSet() VoterSet { return n.voterSet }

// AllSlotsRecovered reports whether every slot was recovered under the current voter set. Only
// then may the set change again: everything committed under the previous set is then on a
// majority of the current one.
func (n *Node) AllSlotsRecovered() bool {
	for _, replica := range n.slots {
		if replica.recoveredUnder != n.voterSet.Revision {
			return false
		}
	}
	return true
}

// isVoter reports whether this node is a voter under its own incarnation.
func (n *Node) isVoter() bool {
	voter, ok := n.voterSet.Find(n.config.Name)
	return ok && voter.Incarnation == n.config.Incarnation
}

// ObserveVoterSet takes in a voter set that is in force at another voter.
func (n *Node) ObserveVoterSet(now int64, set VoterSet) Ready {
	var ready Ready
	n.installVoterSet(now, set, &ready)
	return ready
}

// installVoterSet records a newer voter set of this fleet, which a majority of the previous one
// committed, and puts it in force once the record is synced.
func (n *Node) installVoterSet(now int64, set VoterSet, ready *Ready) {
	if set.Fleet() != n.voterSet.Fleet() || set.Revision <= n.voterSet.Revision || set.Revision <= n.pendingVoterSet {
		return
	}
	n.pendingVoterSet = set.Revision
	n.appendRecord(ready, Record{Type: RecordVoterSet, VoterSet: &set})
	n.afterSync(now, ready, func(now int64, ready *Ready) {
		if set.Revision > n.voterSet.Revision {
			n.activateVoterSet(now, &set, ready)
		}
	})
}

// activateVoterSet puts a voter set in force and sends it to the other voters.
func (n *Node) activateVoterSet(now int64, set *VoterSet, ready *Ready) {
	former := n.voterSet
	n.voterSet = *set
	n.self, _ = set.Find(n.config.Name)
	n.self.Incarnation = n.config.Incarnation
	n.resetNewVoters(now, former)
	if !n.leaving || n.isVoter() {
		ready.VoterSet = set // not reported to a leaving node that was removed: it must not join again
	}
	ready.event(Event{Type: EventVoterSetInstalled, Step: set.Step(), Voters: len(set.Voters), Voting: n.isVoter()})
	n.campaignUnderNewSet(now, ready)
	n.broadcast(ready, n.voterSetMessage())
}

// resetNewVoters discards what was heard under the names of voters that are new in the set.
func (n *Node) resetNewVoters(now int64, former VoterSet) {
	for _, voter := range n.voterSet.Voters {
		if known, ok := former.Find(voter.Name); !ok || known.Incarnation != voter.Incarnation {
			n.installedAt[voter.Name] = now
			delete(n.lastHeard, voter.Name)
			delete(n.leavingSince, voter.Name)
		}
	}
}

// campaignUnderNewSet steps down from all slots and campaigns at once for those that this node
// led. Meanwhile the lease that the voters acknowledged still blocks other candidates.
func (n *Node) campaignUnderNewSet(now int64, ready *Ready) {
	for _, replica := range n.slots {
		if replica.state == stateFollower {
			continue
		}
		elected := replica.state.elected()
		n.becomeFollower(now, replica, ready)
		if elected {
			replica.noVoteUntil, replica.nextCampaignAt, replica.campaignImmediately = now, now, true
		}
	}
}

// voterSetMessage returns a message with the voter set in force.
func (n *Node) voterSetMessage() Message {
	return Message{Type: MsgVoterSet, Entries: []Entry{{Key: VoterSetKey, Value: n.voterSet.Bytes()}}}
}

// handleVoterSetMismatch handles a message that was sent under another voter set: the newer set
// is installed, requested or sent.
func (n *Node) handleVoterSetMismatch(now int64, message Message, ready *Ready) {
	_, known := n.voterSet.Find(message.From)
	switch {
	case message.Type == MsgVoterSet && len(message.Entries) == 1:
		if set, err := ParseVoterSet(message.Entries[0].Value); err == nil {
			n.installVoterSet(now, set, ready)
		}
	case !known || message.VoterSetRevision>>stepBits != n.voterSet.Fleet():
	case message.VoterSetRevision > n.voterSet.Revision:
		n.send(ready, message.From, Message{Type: MsgVoterSetRequest})
	case n.isFromVoter(message):
		n.send(ready, message.From, n.voterSetMessage())
	}
}
