package quorum

import "fmt"

// maxJoinRequests bounds the memory used for nodes that ask to join.
const maxJoinRequests = 64

// AdmitVoter proposes a voter set that lets joiner in, if this node leads the voter set's slot
// and a change can be made now; otherwise the joiner asks again. The joiner replaces another
// voter, which has stopped already or is about to.
func (n *Node) AdmitVoter(now int64, joiner Voter) Ready { return n.admit(now, joiner, false) }

// AdmitInitialVoter lets a node in as AdmitVoter does, and raises the target size if needed:
// the node belongs to a new fleet that does not have all its voters yet.
func (n *Node) AdmitInitialVoter(now int64, joiner Voter) Ready {
	return n.admit(now, joiner, true)
}

func (n *Node) admit(now int64, joiner Voter, initial bool) Ready {
	var ready Ready
	requestAge := n.joinRequestAge(now, joiner.Incarnation)
	if !n.mayChangeVoterSet(now) {
		return ready
	}
	next, ok := n.voterSet.Admit(joiner, requestAge, n.timeSinceHeardAt(now), MaxVoters)
	if !ok {
		return ready
	}
	if initial && next.TargetSize > 0 {
		next.TargetSize = max(next.TargetSize, uint16(len(next.Voters)))
	}
	event := Event{Type: EventVoterAdmitted, Peer: joiner.Name, Incarnation: joiner.Incarnation}
	n.proposeVoterSet(now, next, event, &ready)
	return ready
}

// joinRequestAge returns how long a node has been asking to join, and records the request.
func (n *Node) joinRequestAge(now int64, incarnation uint64) int64 {
	request, ok := n.joinRequests[incarnation]
	if !ok || now-request.last > FailedAfterUS {
		request.first = now
	}
	request.last = now
	if len(n.joinRequests) > maxJoinRequests {
		clear(n.joinRequests)
	}
	n.joinRequests[incarnation] = request
	return now - request.first
}

// timeSinceHeardAt returns TimeSinceHeard at a fixed time, in the form that Admit and
// RemoveSurplus take.
func (n *Node) timeSinceHeardAt(now int64) func(name string) int64 {
	return func(name string) int64 { return n.TimeSinceHeard(now, name) }
}

// RemovalPending reports whether this node is leaving and is about to be removed from the voter
// set as surplus. It still votes until then, and may stop without waiting: the other voters can
// complete the change without it.
func (n *Node) RemovalPending() bool {
	return n.leaving && n.isVoter() && n.voterSet.hasSurplusVoter()
}

// tickVoterSet runs at the leader of the voter set's slot: it installs a committed voter set,
// and proposes the removal of a surplus voter.
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

// removeSurplus proposes the removal of a voter whose replacement was added before it stopped.
func (n *Node) removeSurplus(now int64, ready *Ready) {
	if !n.voterSet.hasSurplusVoter() || !n.mayChangeVoterSet(now) {
		return
	}
	leaving := func(name string) bool {
		at, announced := n.leavingSince[name]
		return announced && now-at < n.config.LeaseDurationUS
	}
	if next, ok := n.voterSet.RemoveSurplus(leaving, n.timeSinceHeardAt(now)); ok {
		n.proposeVoterSet(now, next, Event{Type: EventSurplusRemoved}, ready)
	}
}

// mayChangeVoterSet reports whether this node leads the voter set's slot, is not leaving, and
// no change is pending.
func (n *Node) mayChangeVoterSet(now int64) bool {
	replica := n.slotOf(VoterSetKey)
	_, pending := replica.pendingByKey[VoterSetKey]
	return !pending && replica.serves(now) && !n.leaving
}

// proposeVoterSet proposes a voter set, unless checkVoterSetChange refuses it.
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

// checkVoterSetChange returns an error unless the change of the voter set's register, which now
// holds current, may be proposed. A committed voter set must be in force at this node before
// the next change: otherwise two different sets with the same revision could split the fleet.
func (n *Node) checkVoterSetChange(current Entry, encoded []byte) error {
	next, err := ParseVoterSet(encoded)
	if err != nil {
		return err
	}
	if len(current.Value) > 0 {
		if committed, err := ParseVoterSet(current.Value); err != nil || committed.Revision > n.voterSet.Revision {
			return fmt.Errorf("%w: it is committed but not yet in force; read the voter set again", ErrStepPending)
		}
	}
	if err := checkStep(n.voterSet, next); err != nil {
		return err
	}
	if !n.AllSlotsRecovered() {
		return fmt.Errorf("%w under the current voter set yet; try again in a second", ErrNotRecovered)
	}
	return nil
}
