package quorum

// VoterSet is the voter set in force here.
func (n *Node) VoterSet() VoterSet { return n.voterSet }

// AllSlotsRecovered reports whether every slot was recovered under the present voter set.
// Only then may the next step be taken: what was committed under the set before is by now on
// a majority of the present one.
func (n *Node) AllSlotsRecovered() bool {
	for _, replica := range n.slots {
		if replica.recoveredUnder != n.voterSet.Revision {
			return false
		}
	}
	return true
}

// isVoter reports whether this very disk votes.
func (n *Node) isVoter() bool {
	voter, ok := n.voterSet.Find(n.config.Name)
	return ok && voter.Incarnation == n.config.Incarnation
}

// ObserveVoterSet takes in a voter set that some voter has in force.
func (n *Node) ObserveVoterSet(now int64, set VoterSet) Ready {
	var ready Ready
	n.installVoterSet(now, set, &ready)
	return ready
}

// installVoterSet puts a newer set of this fleet in force once it is on disk here. It was
// committed by a majority of the one before.
func (n *Node) installVoterSet(now int64, set VoterSet, ready *Ready) {
	if set.Fleet() != n.voterSet.Fleet() || set.Revision <= n.voterSet.Revision || set.Revision <= n.pendingVoterSet {
		return
	}
	n.pendingVoterSet = set.Revision
	n.appendRecord(ready, Record{Type: RecordVoterSet, VoterSet: &set})
	n.afterSync(now, ready, func(now int64, ready *Ready) {
		if set.Revision > n.voterSet.Revision {
			n.enforceVoterSet(now, &set, ready)
		}
	})
}

// enforceVoterSet goes by a set from now on, and says so to the others.
func (n *Node) enforceVoterSet(now int64, set *VoterSet, ready *Ready) {
	former := n.voterSet
	n.voterSet = *set
	n.self, _ = set.Find(n.config.Name)
	n.self.Incarnation = n.config.Incarnation
	n.welcomeNewVoters(now, former)
	if !n.leaving || n.isVoter() {
		ready.VoterSet = set // one that leaves for good does not begin anew
	}
	ready.event(Event{Type: EventVoterSetInstalled, Step: set.Step(), Voters: len(set.Voters), Voting: n.isVoter()})
	n.campaignUnderNewSet(now, ready)
	n.broadcast(ready, n.voterSetMessage())
}

// welcomeNewVoters forgets what was heard of voters that a former set did not have.
func (n *Node) welcomeNewVoters(now int64, former VoterSet) {
	for _, voter := range n.voterSet.Voters {
		if known, ok := former.Find(voter.Name); !ok || known.Incarnation != voter.Incarnation {
			n.admittedAt[voter.Name] = now
			delete(n.lastHeard, voter.Name)
			delete(n.leavingSince, voter.Name)
		}
	}
}

// campaignUnderNewSet gives all slots up; those that were led here are won anew at once, and
// meanwhile their lease keeps others off.
func (n *Node) campaignUnderNewSet(now int64, ready *Ready) {
	for _, replica := range n.slots {
		if replica.state == stateFollower {
			continue
		}
		elected := replica.state.elected()
		n.becomeFollower(now, replica, ready)
		if elected {
			replica.noVoteUntil, replica.nextCampaignAt, replica.campaignAtOnce = now, now, true
		}
	}
}

// voterSetMessage tells another voter of the set in force here.
func (n *Node) voterSetMessage() Message {
	return Message{Type: MsgVoterSet, Entries: []Entry{{Key: VoterSetKey, Value: n.voterSet.Bytes()}}}
}

// handleOtherVoterSet deals with a message from under another voter set: the newer set is
// taken over, asked for, or sent.
func (n *Node) handleOtherVoterSet(now int64, message Message, ready *Ready) {
	_, known := n.voterSet.Find(message.From)
	switch {
	case message.Type == MsgVoterSet && len(message.Entries) == 1:
		if set, err := ParseVoterSet(message.Entries[0].Value); err == nil {
			n.installVoterSet(now, set, ready)
		}
	case !known || message.VoterSetRevision>>stepBits != n.voterSet.Fleet():
	case message.VoterSetRevision > n.voterSet.Revision:
		n.send(ready, message.From, Message{Type: MsgVoterSetRequest})
	case n.knows(message):
		n.send(ready, message.From, n.voterSetMessage())
	}
}
