package quorum

import "fmt"

// maxJoinRequests bounds the memory for newcomers that ask to be let in.
const maxJoinRequests = 64

// AdmitVoter takes the step that lets a newcomer in, if this node leads the voter set's slot
// and may take one now; else the newcomer asks again. It replaces another, which may have
// gone already or is about to.
func (n *Node) AdmitVoter(now int64, newcomer Voter) Ready { return n.admit(now, newcomer, false) }

// AdmitInitialVoter lets a newcomer in as AdmitVoter does, into a seat of its own: it belongs
// to a fleet that starts for the first time and has not all its voters yet.
func (n *Node) AdmitInitialVoter(now int64, newcomer Voter) Ready {
	return n.admit(now, newcomer, true)
}

func (n *Node) admit(now int64, newcomer Voter, initial bool) Ready {
	var ready Ready
	asked := n.askingFor(now, newcomer.Incarnation)
	if !n.mayChangeVoterSet(now) {
		return ready
	}
	next, ok := n.voterSet.Admit(newcomer, asked, n.silenceAt(now), MaxVoters)
	if !ok {
		return ready
	}
	if initial && next.TargetSize > 0 {
		next.TargetSize = max(next.TargetSize, uint16(len(next.Voters)))
	}
	event := Event{Type: EventVoterAdmitted, Peer: newcomer.Name, Incarnation: newcomer.Incarnation}
	n.proposeVoterSet(now, next, event, &ready)
	return ready
}

// askingFor is for how long a newcomer has been asking to be let in.
func (n *Node) askingFor(now int64, incarnation uint64) int64 {
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

// silenceAt is Silence at one instant, as the rules of a voter set want it.
func (n *Node) silenceAt(now int64) func(name string) int64 {
	return func(name string) int64 { return n.TimeSinceHeard(now, name) }
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
		return said && now-at < n.config.LeaseDurationUS
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
