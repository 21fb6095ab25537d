package quorum

import "fmt"

// Roster is the roster in force here.
func (n *Node) Roster() Roster { return n.roster }

// Firm reports whether every slot was won and finished under the present roster.
// Only then may the next step be taken: what was settled under the roster before
// is by now on a majority of the present one.
func (n *Node) Firm() bool {
	for _, s := range n.slots {
		if s.firm != n.roster.Rev {
			return false
		}
	}
	return true
}

// Silence is how long a voter of the roster has not been heard. It counts from the
// start, from the step that let the voter in, and from the end of a pause of this
// process: what this node could not hear proves nothing.
func (n *Node) Silence(now int64, name string) int64 {
	if name == n.p.Name || now-n.tickAt > pause {
		return 0
	}
	return now - max(n.heard[name], n.came[name], n.listens)
}

// Admit takes the step that lets a newcomer in, if this node owns the roster's register
// and may take one now; else the newcomer asks again. It replaces another, which may
// have gone already or is about to.
func (n *Node) Admit(now int64, v Voter) Out { return n.admit(now, v, false) }

// Grow lets a newcomer in as Admit does, into a seat of its own: it belongs to a fleet
// that starts for the first time and has not all its voters yet.
func (n *Node) Grow(now int64, v Voter) Out { return n.admit(now, v, true) }

func (n *Node) admit(now int64, v Voter, grows bool) Out {
	var o Out
	asked := n.asked(now, v.Inc)
	if !n.maySet(now) {
		return o
	}
	next, ok := n.roster.Admit(v, asked, n.silences(now), MaxVoters)
	if !ok {
		return o
	}
	if grows && next.Seats > 0 {
		next.Seats = max(next.Seats, uint16(len(next.Voters)))
	}
	n.setRoster(now, next, fmt.Sprintf("admit=%s inc=%d", v.Name, v.Inc), &o)
	return o
}

// shed takes the step that drops a voter whose successor was let in before it went.
func (n *Node) shed(now int64, o *Out) {
	if !n.roster.overfull() || !n.maySet(now) {
		return
	}
	leaving := func(name string) bool {
		at, told := n.leavers[name]
		return told && now-at < n.p.Term
	}
	if next, ok := n.roster.Shed(leaving, n.silences(now)); ok {
		n.setRoster(now, next, "shed", o)
	}
}

// silences is Silence at one instant, as the rules of a roster want it.
func (n *Node) silences(now int64) func(string) int64 {
	return func(name string) int64 { return n.Silence(now, name) }
}

// maySet reports whether this node owns the roster's register and no step is under way.
func (n *Node) maySet(now int64) bool {
	s := n.slots[SlotOf(RosterKey, n.p.Slots)]
	_, busy := s.pend[RosterKey]
	return !busy && s.st == owning && now < s.ownUntil && !n.leaving
}

// setRoster starts a step, unless the one before is not firm yet.
func (n *Node) setRoster(now int64, next Roster, why string, o *Out) {
	i := SlotOf(RosterKey, n.p.Slots)
	s := n.slots[i]
	held, _ := s.seen(RosterKey)
	if n.admitRoster(held, next.Bytes()) != nil {
		return
	}
	o.Events = append(o.Events, fmt.Sprintf("%s step=%d voters=%d", why, next.Step(), len(next.Voters)))
	n.apply(now, i, s, Op{Kind: OpPut, Key: RosterKey, Val: next.Bytes(), Expect: held.Rev}, o)
}

// HandingOver reports whether this node leaves and its seat is about to be dropped. It
// votes until then, and may go without waiting: the rest takes the step all the same.
func (n *Node) HandingOver() bool { return n.leaving && n.inRoster() && n.roster.overfull() }

// asked is for how long a newcomer has been asking.
func (n *Node) asked(now int64, inc uint64) int64 {
	a, ok := n.asks[inc]
	if !ok || now-a.last > GoneAfter {
		a.first = now
	}
	a.last = now
	if len(n.asks) > 64 {
		clear(n.asks)
	}
	n.asks[inc] = a
	return now - a.first
}

// Learn takes in a roster that some voter has in force.
func (n *Node) Learn(now int64, r Roster) Out {
	var o Out
	n.adoptRoster(now, r, &o)
	return o
}

// inRoster reports whether this very disk votes.
func (n *Node) inRoster() bool {
	v, ok := n.roster.Find(n.p.Name)
	return ok && v.Inc == n.p.Inc
}

// admitRoster says whether a change of the roster's register, which holds e, may be
// issued. A step that is settled and not in force here yet must come into force first:
// two rosters of one number would be two fleets.
func (n *Node) admitRoster(e Entry, b []byte) error {
	r, err := ReadRoster(b)
	if err != nil {
		return err
	}
	if len(e.Val) > 0 {
		if at, err := ReadRoster(e.Val); err != nil || at.Rev > n.roster.Rev {
			return fmt.Errorf("a step is settled and about to come into force; read the roster again")
		}
	}
	if err := step(n.roster, r); err != nil {
		return err
	}
	if !n.Firm() {
		return fmt.Errorf("not every slot is settled under the present roster yet; try again in a second")
	}
	return nil
}

// adopt puts a roster in force once it is on disk here. It was settled by a
// majority of the one before. Slots owned here are won anew at once; meanwhile
// their lease keeps others off.
func (n *Node) adoptRoster(now int64, r Roster, o *Out) {
	if r.Fleet() != n.roster.Fleet() || r.Rev <= n.roster.Rev || r.Rev <= n.coming {
		return
	}
	n.coming = r.Rev
	n.rec(o, Rec{Kind: RecRoster, Roster: &r})
	n.after(now, o, func(now int64, o *Out) {
		if r.Rev <= n.roster.Rev {
			return
		}
		was := n.roster
		n.roster = r
		n.me, _ = r.Find(n.p.Name)
		n.me.Inc = n.p.Inc
		for _, v := range r.Voters {
			if w, ok := was.Find(v.Name); !ok || w.Inc != v.Inc {
				n.came[v.Name] = now
				delete(n.heard, v.Name)
				delete(n.leavers, v.Name)
			}
		}
		if !n.leaving || n.inRoster() {
			o.Roster = &r // one that leaves for good does not begin anew
		}
		o.Events = append(o.Events, fmt.Sprintf("roster=%d voters=%d in=%v", r.Step(), len(r.Voters), n.inRoster()))
		for _, s := range n.slots {
			if s.st == idle {
				continue
			}
			mine := s.st >= finishing
			n.retreat(now, s, o)
			if mine {
				s.heldUntil, s.nextTry, s.first = now, now, true
			}
		}
		n.others(func(v string) { n.sendRoster(o, v) })
	})
}

func (n *Node) sendRoster(o *Out, to string) {
	n.send(o, to, Msg{Kind: RosterTell, Entries: []Entry{{Key: RosterKey, Val: n.roster.Bytes()}}})
}

// otherRoster deals with a message from under another roster.
func (n *Node) otherRoster(now int64, m Msg, o *Out) {
	v, known := n.roster.Find(m.From)
	switch {
	case m.Kind == RosterTell && len(m.Entries) == 1:
		if r, err := ReadRoster(m.Entries[0].Val); err == nil {
			n.adoptRoster(now, r, o)
		}
	case !known || m.Roster>>stepBits != n.roster.Fleet():
	case m.Roster > n.roster.Rev:
		n.send(o, m.From, Msg{Kind: RosterAsk})
	case v.Inc == m.Inc:
		n.sendRoster(o, m.From)
	}
}
