package quorum

import "fmt"

// maxJoinRequests bounds the memory for newcomers that ask to be let in.
const maxJoinRequests = 64

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

// AdmitVoter takes the step that lets a newcomer in, if this node leads the voter set's slot
// and may take one now; else the newcomer asks again. It replaces another, which may have
// gone already or is about to.
func (n *Node) AdmitVoter(now int64, newcomer Voter) Ready { return n.admit(now, newcomer, false) }

// AdmitFoundingVoter lets a newcomer in as AdmitVoter does, into a seat of its own: it belongs
// to a fleet that starts for the first time and has not all its voters yet.
func (n *Node) AdmitFoundingVoter(now int64, newcomer Voter) Ready {
	return n.admit(now, newcomer, true)
}

func (n *Node) admit(now int64, newcomer Voter, founding bool) Ready {
	var ready Ready
	asked := n.askingFor(now, newcomer.Incarnation)
	if !n.mayChangeVoterSet(now) {
		return ready
	}
	next, ok := n.voterSet.Admit(newcomer, asked, n.silenceAt(now), MaxVoters)
	if !ok {
		return ready
	}
	if founding && next.Seats > 0 {
		next.Seats = max(next.Seats, uint16(len(next.Voters)))
	}
	event := Event{Type: EventVoterAdmitted, Peer: newcomer.Name, Incarnation: newcomer.Incarnation}
	n.proposeVoterSet(now, next, event, &ready)
	return ready
}

// askingFor is for how long a newcomer has been asking to be let in.
func (n *Node) askingFor(now int64, incarnation uint64) int64 {
	request, ok := n.joinRequests[incarnation]
	if !ok || now-request.last > FailedAfter {
		request.first = now
	}
	request.last = now
	if len(n.joinRequests) > maxJoinRequests {
		clear(n.joinRequests)
	}
	n.joinRequests[incarnation] = request
	return now - request.first
}

// silenceAt is Silence at one instant, as the rules of a voter set want it.
func (n *Node) silenceAt(now int64) func(name string) int64 {
	return func(name string) int64 { return n.Silence(now, name) }
}

// RemovalPending reports whether this node leaves and its seat is about to be removed. It
// votes until then, and may go without waiting: the rest takes the step all the same.
func (n *Node) RemovalPending() bool {
	return n.leaving && n.isVoter() && n.voterSet.hasSurplus()
}

// tickVoterSet is the part of the leader of the voter set's slot: it puts a committed set in
// force, and takes the step that removes a surplus voter.
func (n *Node) tickVoterSet(now int64, replica *slotReplica, ready *Ready) {
	if replica != n.slotOf(VoterSetKey) {
		return
	}
	if entry, ok := replica.committedEntry(VoterSetKey); ok {
		if set, err := ParseVoterSet(entry.Value); err == nil {
			n.installVoterSet(now, set, ready)
		}
	}
	n.removeSurplus(now, ready)
}

// removeSurplus takes the step that drops a voter whose successor was let in before it went.
func (n *Node) removeSurplus(now int64, ready *Ready) {
	if !n.voterSet.hasSurplus() || !n.mayChangeVoterSet(now) {
		return
	}
	leaving := func(name string) bool {
		at, said := n.leavingSince[name]
		return said && now-at < n.config.LeaseDuration
	}
	if next, ok := n.voterSet.RemoveSurplus(leaving, n.silenceAt(now)); ok {
		n.proposeVoterSet(now, next, Event{Type: EventSurplusRemoved}, ready)
	}
}

// mayChangeVoterSet reports whether this node leads the voter set's slot and no step is
// pending.
func (n *Node) mayChangeVoterSet(now int64) bool {
	replica := n.slotOf(VoterSetKey)
	_, pending := replica.pendingByKey[VoterSetKey]
	return !pending && replica.serves(now) && !n.leaving
}

// proposeVoterSet starts a step, unless some slot was not recovered since the one before.
func (n *Node) proposeVoterSet(now int64, next VoterSet, event Event, ready *Ready) {
	replica := n.slotOf(VoterSetKey)
	current, _ := replica.committedEntry(VoterSetKey)
	if n.checkVoterSetChange(current, next.Bytes()) != nil {
		return
	}
	event.Step, event.Voters = next.Step(), len(next.Voters)
	ready.event(event)
	n.apply(now, replica, Operation{Type: OpPut, Key: VoterSetKey, Value: next.Bytes(), ExpectedRevision: current.Revision}, ready)
}

// checkVoterSetChange says whether a change of the voter set's register, which holds current,
// may be proposed. A step that is committed and not in force here yet must come into force
// first: two sets of one revision would be two fleets.
func (n *Node) checkVoterSetChange(current Entry, encoded []byte) error {
	next, err := ParseVoterSet(encoded)
	if err != nil {
		return err
	}
	if len(current.Value) > 0 {
		if committed, err := ParseVoterSet(current.Value); err != nil || committed.Revision > n.voterSet.Revision {
			return fmt.Errorf("%w: it is committed and about to come into force; read the voter set again", ErrStepPending)
		}
	}
	if err := checkStep(n.voterSet, next); err != nil {
		return err
	}
	if !n.AllSlotsRecovered() {
		return fmt.Errorf("%w under the present voter set yet; try again in a second", ErrNotRecovered)
	}
	return nil
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
