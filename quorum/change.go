package quorum

import "fmt"

// Roster is the roster in force here.
func (n *Node) VoterSet() VoterSet { return n.voterSet }

// Firm reports whether every slot was won and finished under the present roster.
// Only then may the next step be taken: what was settled under the roster before
// is by now on a majority of the present one.
func (n *Node) AllSlotsRecovered() bool {
	for _, s := range n.slots {
		if s.recoveredUnder != n.voterSet.Revision {
			return false
		}
	}
	return true
}

// Silence is how long a voter of the roster has not been heard. It counts from the
// start, from the step that let the voter in, and from the end of a pause of this
// process: what this node could not hear proves nothing.
func (n *Node) Silence(now int64, name string) int64 {
	if name == n.config.Name || now-n.lastTickAt > maxTickGap {
		return 0
	}
	return now - max(n.lastHeard[name], n.admittedAt[name], n.listeningSince)
}

// Admit takes the step that lets a newcomer in, if this node owns the roster's register
// and may take one now; else the newcomer asks again. It replaces another, which may
// have gone already or is about to.
func (n *Node) AdmitVoter(now int64, v Voter) Ready { return n.admit(now, v, false) }

// Grow lets a newcomer in as Admit does, into a seat of its own: it belongs to a fleet
// that starts for the first time and has not all its voters yet.
func (n *Node) AdmitFoundingVoter(now int64, v Voter) Ready { return n.admit(now, v, true) }

func (n *Node) admit(now int64, v Voter, grows bool) Ready {
	var o Ready
	asked := n.askingFor(now, v.Incarnation)
	if !n.mayChangeVoterSet(now) {
		return o
	}
	next, ok := n.voterSet.Admit(v, asked, n.silenceAt(now), MaxVoters)
	if !ok {
		return o
	}
	if grows && next.Seats > 0 {
		next.Seats = max(next.Seats, uint16(len(next.Voters)))
	}
	n.proposeVoterSet(now, next, fmt.Sprintf("admit=%s inc=%d", v.Name, v.Incarnation), &o)
	return o
}

// shed takes the step that drops a voter whose successor was let in before it went.
func (n *Node) removeSurplus(now int64, o *Ready) {
	if !n.voterSet.hasSurplus() || !n.mayChangeVoterSet(now) {
		return
	}
	leaving := func(name string) bool {
		at, told := n.leavingSince[name]
		return told && now-at < n.config.LeaseDuration
	}
	if next, ok := n.voterSet.RemoveSurplus(leaving, n.silenceAt(now)); ok {
		n.proposeVoterSet(now, next, "shed", o)
	}
}

// silences is Silence at one instant, as the rules of a roster want it.
func (n *Node) silenceAt(now int64) func(string) int64 {
	return func(name string) int64 { return n.Silence(now, name) }
}

// maySet reports whether this node owns the roster's register and no step is under way.
func (n *Node) mayChangeVoterSet(now int64) bool {
	s := n.slots[SlotOf(VoterSetKey, n.config.Slots)]
	_, busy := s.pendingByKey[VoterSetKey]
	return !busy && s.state == stateLeader && now < s.leaseUntil && !n.leaving
}

// setRoster starts a step, unless the one before is not firm yet.
func (n *Node) proposeVoterSet(now int64, next VoterSet, why string, o *Ready) {
	i := SlotOf(VoterSetKey, n.config.Slots)
	s := n.slots[i]
	held, _ := s.committedEntry(VoterSetKey)
	if n.checkVoterSetChange(held, next.Bytes()) != nil {
		return
	}
	o.Events = append(o.Events, fmt.Sprintf("%s step=%d voters=%d", why, next.Step(), len(next.Voters)))
	n.apply(now, i, s, Operation{Type: OpPut, Key: VoterSetKey, Value: next.Bytes(), ExpectedRevision: held.Revision}, o)
}

// HandingOver reports whether this node leaves and its seat is about to be dropped. It
// votes until then, and may go without waiting: the rest takes the step all the same.
func (n *Node) RemovalPending() bool { return n.leaving && n.isVoter() && n.voterSet.hasSurplus() }

// asked is for how long a newcomer has been asking.
func (n *Node) askingFor(now int64, inc uint64) int64 {
	a, ok := n.joinRequests[inc]
	if !ok || now-a.last > FailedAfter {
		a.first = now
	}
	a.last = now
	if len(n.joinRequests) > 64 {
		clear(n.joinRequests)
	}
	n.joinRequests[inc] = a
	return now - a.first
}

// Learn takes in a roster that some voter has in force.
func (n *Node) ObserveVoterSet(now int64, r VoterSet) Ready {
	var o Ready
	n.installVoterSet(now, r, &o)
	return o
}

// inRoster reports whether this very disk votes.
func (n *Node) isVoter() bool {
	v, ok := n.voterSet.Find(n.config.Name)
	return ok && v.Incarnation == n.config.Incarnation
}

// admitRoster says whether a change of the roster's register, which holds e, may be
// issued. A step that is settled and not in force here yet must come into force first:
// two rosters of one number would be two fleets.
func (n *Node) checkVoterSetChange(e Entry, b []byte) error {
	r, err := ParseVoterSet(b)
	if err != nil {
		return err
	}
	if len(e.Value) > 0 {
		if at, err := ParseVoterSet(e.Value); err != nil || at.Revision > n.voterSet.Revision {
			return fmt.Errorf("a step is settled and about to come into force; read the roster again")
		}
	}
	if err := checkStep(n.voterSet, r); err != nil {
		return err
	}
	if !n.AllSlotsRecovered() {
		return fmt.Errorf("not every slot is settled under the present roster yet; try again in a second")
	}
	return nil
}

// adopt puts a roster in force once it is on disk here. It was settled by a
// majority of the one before. Slots owned here are won anew at once; meanwhile
// their lease keeps others off.
func (n *Node) installVoterSet(now int64, r VoterSet, o *Ready) {
	if r.Fleet() != n.voterSet.Fleet() || r.Revision <= n.voterSet.Revision || r.Revision <= n.pendingVoterSet {
		return
	}
	n.pendingVoterSet = r.Revision
	n.appendRecord(o, Record{Type: RecordVoterSet, VoterSet: &r})
	n.afterSync(now, o, func(now int64, o *Ready) {
		if r.Revision <= n.voterSet.Revision {
			return
		}
		was := n.voterSet
		n.voterSet = r
		n.self, _ = r.Find(n.config.Name)
		n.self.Incarnation = n.config.Incarnation
		for _, v := range r.Voters {
			if w, ok := was.Find(v.Name); !ok || w.Incarnation != v.Incarnation {
				n.admittedAt[v.Name] = now
				delete(n.lastHeard, v.Name)
				delete(n.leavingSince, v.Name)
			}
		}
		if !n.leaving || n.isVoter() {
			o.VoterSet = &r // one that leaves for good does not begin anew
		}
		o.Events = append(o.Events, fmt.Sprintf("roster=%d voters=%d in=%v", r.Step(), len(r.Voters), n.isVoter()))
		for _, s := range n.slots {
			if s.state == stateFollower {
				continue
			}
			mine := s.state >= stateRecovering
			n.becomeFollower(now, s, o)
			if mine {
				s.noVoteUntil, s.nextCampaignAt, s.campaignAtOnce = now, now, true
			}
		}
		n.forEachPeer(func(v string) { n.sendVoterSet(o, v) })
	})
}

func (n *Node) sendVoterSet(o *Ready, to string) {
	n.send(o, to, Message{Type: MsgVoterSet, Entries: []Entry{{Key: VoterSetKey, Value: n.voterSet.Bytes()}}})
}

// otherRoster deals with a message from under another roster.
func (n *Node) handleOtherVoterSet(now int64, m Message, o *Ready) {
	v, known := n.voterSet.Find(m.From)
	switch {
	case m.Type == MsgVoterSet && len(m.Entries) == 1:
		if r, err := ParseVoterSet(m.Entries[0].Value); err == nil {
			n.installVoterSet(now, r, o)
		}
	case !known || m.VoterSetRevision>>stepBits != n.voterSet.Fleet():
	case m.VoterSetRevision > n.voterSet.Revision:
		n.send(o, m.From, Message{Type: MsgVoterSetRequest})
	case v.Incarnation == m.Incarnation:
		n.sendVoterSet(o, m.From)
	}
}
