package quorum

import (
	"bytes"
	"encoding/binary"
	"strings"
)

// dutyPrefix marks keys that are leases.
const rolePrefix = "duty/"

func isRole(k string) bool { return strings.HasPrefix(k, rolePrefix) }

type roleLease struct {
	Holder   string
	Duration int64
}

func (d roleLease) bytes() []byte {
	return append(binary.LittleEndian.AppendUint64(nil, uint64(d.Duration)), d.Holder...)
}

func parseRoleLease(b []byte) roleLease {
	if len(b) < 8 {
		return roleLease{}
	}
	return roleLease{string(b[8:]), int64(binary.LittleEndian.Uint64(b))}
}

// DutyHolder reads the holder out of a duty's register.
func RoleHolder(b []byte) string { return parseRoleLease(b).Holder }

// Do starts an operation. Its Answer comes in this or a later Out.
func (n *Node) Propose(now int64, op Operation) Ready {
	var o Ready
	i := SlotOf(op.Key, n.config.Slots)
	n.apply(now, i, n.slots[i], op, &o)
	return o
}

// Vouch returns the key's register if this node owns it under a live lease.
func (n *Node) ReadUnderLease(now int64, key string) (Entry, bool) {
	s := n.slots[SlotOf(key, n.config.Slots)]
	if s.state != stateLeader || now >= s.leaseUntil {
		return Entry{}, false
	}
	e, _ := s.committedEntry(key)
	e.Key = key
	return e, true
}

// seen is the register as callers may see it: settled changes only.
func (r *slotReplica) committedEntry(k string) (Entry, bool) {
	e, ok := r.entries[k]
	if p, is := r.pendingByKey[k]; is {
		e, ok = p.previous, p.existed
	}
	return e, ok
}

func (n *Node) apply(now int64, i uint16, s *slotReplica, op Operation, o *Ready) {
	ans := func(st Status, e Entry) {
		o.Results = append(o.Results, Result{ID: op.ID, Status: st, Revision: e.Revision, Value: e.Value, Leader: s.leader})
	}
	if s.state != stateLeader || now >= s.leaseUntil {
		ans(StatusNotLeader, Entry{})
		return
	}
	e, _ := s.committedEntry(op.Key)
	if op.Type == OpGet {
		ans(StatusDone, e)
		return
	}
	if p, ok := s.pendingByKey[op.Key]; ok {
		p.queued = append(p.queued, op)
		return
	}
	switch op.Type {
	case OpPut:
		if isRole(op.Key) || isClaim(op.Key) || isInternalKey(op.Key) || op.ExpectedRevision != AnyRevision && op.ExpectedRevision != e.Revision {
			ans(StatusConflict, e)
			return
		}
		if op.Key == VoterSetKey {
			if err := n.checkVoterSetChange(e, op.Value); err != nil {
				o.Events = append(o.Events, "roster_refused="+err.Error())
				ans(StatusConflict, Entry{Revision: e.Revision, Value: []byte(err.Error())})
				return
			}
		}
		n.change(now, i, s, op, Entry{Key: op.Key, Revision: e.Revision + 1, Value: op.Value}, ans, o)
	case OpClaim:
		era := claimGeneration(op.Key)
		switch {
		case !isClaim(op.Key) || era == 0 || len(op.Value) == 0:
			ans(StatusConflict, Entry{})
		case n.config.GenerationDuration > 0 && era > n.generation+1:
			ans(StatusGenerationNotOpen, Entry{})
		case era < n.claimFloor(i, s):
			ans(StatusGenerationClosed, Entry{})
		case len(e.Value) > 0 && !bytes.Equal(e.Value, op.Value):
			ans(StatusConflict, e)
		case len(e.Value) > 0:
			ans(StatusDone, e) // the very same claim, asked again by its maker
		default:
			n.change(now, i, s, op, Entry{Key: op.Key, Revision: e.Revision + 1, Value: op.Value}, ans, o)
		}
	case OpUnclaim:
		if !isClaim(op.Key) || len(op.Value) == 0 || !bytes.Equal(e.Value, op.Value) {
			ans(StatusConflict, e)
			return
		}
		n.change(now, i, s, op, Entry{Key: op.Key, Revision: e.Revision + 1}, ans, o)
	case OpAcquire, OpRelease:
		if !isRole(op.Key) {
			ans(StatusConflict, e)
			return
		}
		n.applyRole(now, i, s, op, e, ans, o)
	default:
		ans(StatusConflict, e)
	}
}

func (n *Node) change(now int64, i uint16, s *slotReplica, op Operation, e Entry, ans func(Status, Entry), o *Ready) {
	limit := n.config.MaxStateBytes
	if isClaim(e.Key) {
		limit = n.maxClaimBytes()
	}
	if n.diskLow || n.stateBytes+entryBytes(e) > limit {
		ans(StatusFull, Entry{})
		return
	}
	if isRole(e.Key) {
		s.roleLeaseUntil[e.Key] = now + parseRoleLease(e.Value).Duration
	}
	n.replicate(now, i, s, e, op, o)
}

// applyDuty grants, renews or frees a duty. Renewals are not written: a later
// owner of the slot waits a whole term before it grants to another.
func (n *Node) applyRole(now int64, i uint16, s *slotReplica, op Operation, e Entry, ans func(Status, Entry), o *Ready) {
	d := parseRoleLease(e.Value)
	live := d.Holder != "" && now < s.roleLeaseUntil[op.Key]
	switch {
	case op.Type == OpRelease && d.Holder == op.Holder && e.Revision == op.ExpectedRevision:
		n.change(now, i, s, op, Entry{Key: op.Key, Revision: e.Revision + 1, Value: roleLease{}.bytes()}, ans, o)
	case op.Type == OpRelease || op.Holder == "" || op.LeaseDuration <= 0:
		ans(StatusConflict, e)
	case live && d.Holder == op.Holder:
		// Also for one whose grant was not heard, or whose question comes late: a
		// second grant to the same life would make its own orders out-of-date.
		s.roleLeaseUntil[op.Key] = now + d.Duration
		ans(StatusDone, e)
	case live && d.Holder != op.Holder:
		ans(StatusConflict, e)
	default: // free, or run out
		n.change(now, i, s, op, Entry{Key: op.Key, Revision: e.Revision + 1, Value: roleLease{op.Holder, op.LeaseDuration}.bytes()}, ans, o)
	}
}
