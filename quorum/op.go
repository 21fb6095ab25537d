package quorum

import (
	"bytes"
	"encoding/binary"
	"strings"
)

// dutyPrefix marks keys that are leases.
const dutyPrefix = "duty/"

func isDuty(k string) bool { return strings.HasPrefix(k, dutyPrefix) }

type dutyVal struct {
	Holder string
	Term   int64
}

func (d dutyVal) bytes() []byte {
	return append(binary.LittleEndian.AppendUint64(nil, uint64(d.Term)), d.Holder...)
}

func duty(b []byte) dutyVal {
	if len(b) < 8 {
		return dutyVal{}
	}
	return dutyVal{string(b[8:]), int64(binary.LittleEndian.Uint64(b))}
}

// DutyHolder reads the holder out of a duty's register.
func DutyHolder(b []byte) string { return duty(b).Holder }

// Do starts an operation. Its Answer comes in this or a later Out.
func (n *Node) Do(now int64, op Op) Out {
	var o Out
	i := SlotOf(op.Key, n.p.Slots)
	n.apply(now, i, n.slots[i], op, &o)
	return o
}

// Vouch returns the key's register if this node owns it under a live lease.
func (n *Node) Vouch(now int64, key string) (Entry, bool) {
	s := n.slots[SlotOf(key, n.p.Slots)]
	if s.st != owning || now >= s.ownUntil {
		return Entry{}, false
	}
	e, _ := s.seen(key)
	e.Key = key
	return e, true
}

// seen is the register as callers may see it: settled changes only.
func (s *slot) seen(k string) (Entry, bool) {
	e, ok := s.ent[k]
	if p, is := s.pend[k]; is {
		e, ok = p.old, p.had
	}
	return e, ok
}

func (n *Node) apply(now int64, i uint16, s *slot, op Op, o *Out) {
	ans := func(st Status, e Entry) {
		o.Answers = append(o.Answers, Answer{ID: op.ID, Status: st, Rev: e.Rev, Val: e.Val, Owner: s.owner})
	}
	if s.st != owning || now >= s.ownUntil {
		ans(NotOwner, Entry{})
		return
	}
	e, _ := s.seen(op.Key)
	if op.Kind == OpGet {
		ans(Done, e)
		return
	}
	if p, ok := s.pend[op.Key]; ok {
		p.queue = append(p.queue, op)
		return
	}
	switch op.Kind {
	case OpPut:
		if isDuty(op.Key) || isClaim(op.Key) || ownKey(op.Key) || op.Expect != AnyRev && op.Expect != e.Rev {
			ans(Conflict, e)
			return
		}
		if op.Key == RosterKey {
			if err := n.admitRoster(e, op.Val); err != nil {
				o.Events = append(o.Events, "roster_refused="+err.Error())
				ans(Conflict, Entry{Rev: e.Rev, Val: []byte(err.Error())})
				return
			}
		}
		n.change(now, i, s, op, Entry{Key: op.Key, Rev: e.Rev + 1, Val: op.Val}, ans, o)
	case OpClaim:
		era := claimEra(op.Key)
		switch {
		case !isClaim(op.Key) || era == 0 || len(op.Val) == 0:
			ans(Conflict, Entry{})
		case n.p.EraTerm > 0 && era > n.open+1:
			ans(Early, Entry{})
		case era < n.floorNow(i, s):
			ans(Closed, Entry{})
		case len(e.Val) > 0 && !bytes.Equal(e.Val, op.Val):
			ans(Conflict, e)
		case len(e.Val) > 0:
			ans(Done, e) // the very same claim, asked again by its maker
		default:
			n.change(now, i, s, op, Entry{Key: op.Key, Rev: e.Rev + 1, Val: op.Val}, ans, o)
		}
	case OpUnclaim:
		if !isClaim(op.Key) || len(op.Val) == 0 || !bytes.Equal(e.Val, op.Val) {
			ans(Conflict, e)
			return
		}
		n.change(now, i, s, op, Entry{Key: op.Key, Rev: e.Rev + 1}, ans, o)
	case OpHold, OpFree:
		if !isDuty(op.Key) {
			ans(Conflict, e)
			return
		}
		n.applyDuty(now, i, s, op, e, ans, o)
	default:
		ans(Conflict, e)
	}
}

func (n *Node) change(now int64, i uint16, s *slot, op Op, e Entry, ans func(Status, Entry), o *Out) {
	limit := n.p.Limit
	if isClaim(e.Key) {
		limit = n.claimLimit()
	}
	if n.tight || n.size+entSize(e) > limit {
		ans(Full, Entry{})
		return
	}
	if isDuty(e.Key) {
		s.holds[e.Key] = now + duty(e.Val).Term
	}
	n.issue(now, i, s, e, op, o)
}

// applyDuty grants, renews or frees a duty. Renewals are not written: a later
// owner of the slot waits a whole term before it grants to another.
func (n *Node) applyDuty(now int64, i uint16, s *slot, op Op, e Entry, ans func(Status, Entry), o *Out) {
	d := duty(e.Val)
	live := d.Holder != "" && now < s.holds[op.Key]
	switch {
	case op.Kind == OpFree && d.Holder == op.Holder && e.Rev == op.Expect:
		n.change(now, i, s, op, Entry{Key: op.Key, Rev: e.Rev + 1, Val: dutyVal{}.bytes()}, ans, o)
	case op.Kind == OpFree || op.Holder == "" || op.Term <= 0:
		ans(Conflict, e)
	case live && d.Holder == op.Holder:
		// Also for one whose grant was not heard, or whose question comes late: a
		// second grant to the same life would make its own orders out-of-date.
		s.holds[op.Key] = now + d.Term
		ans(Done, e)
	case live && d.Holder != op.Holder:
		ans(Conflict, e)
	default: // free, or run out
		n.change(now, i, s, op, Entry{Key: op.Key, Rev: e.Rev + 1, Val: dutyVal{op.Holder, op.Term}.bytes()}, ans, o)
	}
}
