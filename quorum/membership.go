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
// and may take one now; else the newcomer asks again.
func (n *Node) Admit(now int64, v Voter) Out {
	var o Out
	i := SlotOf(RosterKey, n.p.Slots)
	s, asked := n.slots[i], n.asked(now, v.Inc)
	if _, busy := s.pend[RosterKey]; busy || s.st != owning || now >= s.ownUntil || n.leaving {
		return o
	}
	r, ok := n.roster.Admit(v, asked, func(name string) int64 { return n.Silence(now, name) }, MaxVoters)
	if !ok {
		return o
	}
	e, _ := s.seen(RosterKey)
	if n.admitRoster(e, r.Bytes()) != nil {
		return o
	}
	o.Events = append(o.Events, fmt.Sprintf("admit=%s inc=%d step=%d voters=%d", v.Name, v.Inc, r.Step(), len(r.Voters)))
	n.apply(now, i, s, Op{Kind: OpPut, Key: RosterKey, Val: r.Bytes(), Expect: e.Rev}, &o)
	return o
}

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
			}
		}
		o.Roster = &r
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
