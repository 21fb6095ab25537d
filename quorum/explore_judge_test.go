package quorum

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
)

// register is what clients were told of one key.
type register struct {
	key  string
	seen uint64   // newest revision that anybody was told, or could have read
	vals []string // by revision
}

// asking is an operation that was not answered yet.
type asking struct {
	machine int
	op      Operation
	floor   uint64 // newest revision known to anybody when it began
	at      int64
	now     int64 // true time
}

// The duty that clients contend for. A client counts its term from when it asked.
const (
	dutyKey  = rolePrefix + "d"
	dutyTerm = 6 * tickTime
)

// told is an operation as its client saw it, for the checker of histories.
type told struct {
	asking
	to    int64
	known bool // whether it took effect
	rev   uint64
	val   string
}

// judge checks the world against what must hold in every state. It reads the nodes'
// state but never what they conclude from it.
type judge struct {
	registers []register
	rosters   []VoterSet // in force anywhere, by step
	claims    map[string]string
	duties    map[string]int64 // until when each client holds the duty
	floors    []uint64         // settled on a majority, by slot
	pending   []asking
	history   []told
	clock     int64 // counts calls and answers
	wrong     string
}

func (j *judge) init(c config) {
	for i := range c.slots {
		j.registers = append(j.registers, register{key: keyOf(i, c.slots, 0)}, register{key: keyOf(i, c.slots, 1)})
	}
	j.floors = make([]uint64, c.slots)
	j.claims = map[string]string{}
	j.duties = map[string]int64{}
}

// keyOf is the nth plain key of a slot.
func keyOf(slot, slots, nth int) string {
	for i := 0; ; i++ {
		k := fmt.Sprint("k", i)
		if int(SlotOf(k, slots)) != slot {
			continue
		}
		if nth == 0 {
			return k
		}
		nth--
	}
}

func (j *judge) copied() judge {
	c := *j
	c.registers = slices.Clone(j.registers)
	for i := range c.registers {
		c.registers[i].vals = slices.Clip(c.registers[i].vals)
	}
	c.rosters = slices.Clip(j.rosters)
	c.floors = slices.Clone(j.floors)
	c.pending = slices.Clone(j.pending)
	c.history = slices.Clip(j.history)
	c.claims = maps.Clone(j.claims)
	c.duties = maps.Clone(j.duties)
	return c
}

func (j *judge) encode(b []byte) []byte {
	for _, r := range j.registers {
		b = binary.AppendUvarint(b, r.seen)
		for _, v := range r.vals {
			b = append(append(b, v...), 0)
		}
	}
	for _, f := range j.floors {
		b = binary.AppendUvarint(b, f)
	}
	for _, p := range j.pending {
		b = append(b, byte(p.machine))
		b = binary.AppendUvarint(b, p.op.ID)
		b = binary.AppendUvarint(b, p.floor)
	}
	if len(j.claims)+len(j.duties) > 0 {
		b = fmt.Append(b, j.claims, j.duties)
	}
	return append(b, byte(len(j.rosters)))
}

// find records the first thing that is wrong; kind names it.
func (j *judge) find(kind, format string, args ...any) {
	if j.wrong == "" {
		j.wrong = kind + ": " + fmt.Sprintf(format, args...)
	}
}

func (j *judge) register(key string) *register {
	for i := range j.registers {
		if j.registers[i].key == key {
			return &j.registers[i]
		}
	}
	return nil
}

func (j *judge) asked(machine int, now int64, op Operation) {
	j.clock++
	p := asking{machine: machine, op: op, at: j.clock, now: now}
	if r := j.register(op.Key); r != nil {
		p.floor = r.seen
	}
	j.pending = append(j.pending, p)
}

// gone forgets what a dead process was asked: nobody will answer it.
func (j *judge) gone(machine int) {
	for k := len(j.pending) - 1; k >= 0; k-- {
		if j.pending[k].machine == machine {
			j.note(j.pending[k], Result{Status: StatusUnknown})
			j.pending = slices.Delete(j.pending, k, k+1)
		}
	}
}

// note keeps an operation for the checker of histories.
func (j *judge) note(p asking, a Result) {
	j.clock++
	if a.Status != StatusDone && (a.Status != StatusUnknown || p.op.Type != OpPut) {
		return // nothing changed and nothing was learnt
	}
	j.history = append(j.history, told{asking: p, to: j.clock, known: a.Status == StatusDone, rev: a.Revision, val: string(a.Value)})
}

func (j *judge) answered(a Result) {
	k := slices.IndexFunc(j.pending, func(p asking) bool { return p.op.ID == a.ID })
	if k < 0 {
		return
	}
	p := j.pending[k]
	j.pending = slices.Delete(j.pending, k, k+1)
	j.note(p, a)
	if a.Status != StatusDone {
		return
	}
	switch r := j.register(p.op.Key); {
	case p.op.Type == OpClaim:
		if h := j.claims[p.op.Key]; h != "" && h != string(p.op.Value) {
			j.find("claimed twice", "%s by %s and %s", p.op.Key, h, p.op.Value)
		}
		j.claims[p.op.Key] = string(p.op.Value)
	case p.op.Type == OpAcquire:
		j.duties[p.op.Holder] = max(j.duties[p.op.Holder], p.now+dutyTerm)
	case r == nil:
	case p.op.Type == OpPut && a.Revision <= p.floor:
		j.find("went back", "a change of %s was confirmed as revision %d after %d was seen", r.key, a.Revision, p.floor)
	case a.Revision < p.floor:
		j.find("went back", "%s was read at revision %d after %d", r.key, a.Revision, p.floor)
	default:
		j.saw(r, a.Revision, string(a.Value))
	}
}

// saw takes note of a revision that somebody was told.
func (j *judge) saw(r *register, rev uint64, val string) {
	for uint64(len(r.vals)) <= rev {
		r.vals = append(r.vals, "")
	}
	if was := r.vals[rev]; was != "" && was != val {
		j.find("two values", "revision %d of %s was %s and %s", rev, r.key, was, val)
	}
	if r.vals[rev] == "" && val != "" {
		r.vals = slices.Clone(r.vals)
		r.vals[rev] = val
	}
	r.seen = max(r.seen, rev)
}

// inForce takes note of a roster that some machine goes by.
func (j *judge) inForce(r VoterSet) {
	for _, o := range j.rosters {
		switch {
		case o.Revision == r.Revision && !slices.Equal(o.Voters, r.Voters):
			j.find("two rosters", "of number %d: %v and %v", r.Step(), o.Voters, r.Voters)
		case o.Revision == r.Revision:
			return
		case o.Revision+1 == r.Revision && disjoint(o, r), r.Revision+1 == o.Revision && disjoint(r, o):
			j.find("apart", "majorities of %v and of %v need not share a voter", o.Voters, r.Voters)
		}
	}
	j.rosters = append(j.rosters, r)
}

// look checks the present state.
func (j *judge) look(w *world) {
	for i := range j.registers {
		j.oneLease(w, &j.registers[i])
	}
	j.oneHolder(w.now)
	for slot := range w.slots {
		j.settledFloor(w, slot)
		for a := range w.config.machines {
			for b := range a {
				j.together(w, slot, a, b)
			}
		}
	}
}

// oneLease holds that one node at most can answer for a key, and that it knows of all
// that anybody was ever told of it.
func (j *judge) oneLease(w *world, r *register) {
	owner := ""
	for i := range w.config.machines {
		if !w.running(i) {
			continue
		}
		e, ok := w.machines[i].node.ReadUnderLease(w.now, r.key)
		if !ok {
			continue
		}
		if owner != "" {
			j.find("two live leases", "of the slot of %s: %s and %s", r.key, owner, w.machines[i].name)
		}
		owner = w.machines[i].name
		if e.Revision < r.seen {
			j.find("went back", "%s answers %s at revision %d, and %d was seen", owner, r.key, e.Revision, r.seen)
			continue
		}
		j.saw(r, e.Revision, string(e.Value))
	}
}

// oneHolder holds that one client at most has the duty.
func (j *judge) oneHolder(now int64) {
	holders := 0
	for _, until := range j.duties {
		if now < until {
			holders++
		}
	}
	if holders > 1 {
		j.find("two holders", "of the duty: until %v", j.duties)
	}
}

// settledFloor learns below which era a slot's claims may have been forgotten.
func (j *judge) settledFloor(w *world, slot int) {
	for i := range w.config.machines {
		n := w.machines[i].node
		if n == nil {
			continue
		}
		s := n.slots[slot]
		if e, ok := s.entries[floorKey(uint16(slot))]; ok && !s.certain().Before(e.Position) {
			j.floors[slot] = max(j.floors[slot], floorValue(e))
		}
	}
}

// together holds of two machines that no epoch has two owners, and that what both hold
// of one line is the same up to where both have it whole.
func (j *judge) together(w *world, slot, a, b int) {
	x, y := w.machines[a].node, w.machines[b].node
	if x == nil || y == nil {
		return
	}
	s, t := x.slots[slot], y.slots[slot]
	if s.state >= stateRecovering && t.state >= stateRecovering && s.term == t.term {
		j.find("two owners of an epoch", "%d: %s and %s", s.term, w.machines[a].name, w.machines[b].name)
	}
	if s.logTerm == 0 || s.logTerm != t.logTerm {
		return
	}
	j.contains(w, slot, a, b)
	j.contains(w, slot, b, a)
}

// contains holds that y has what x has, up to y's mark.
func (j *judge) contains(w *world, slot, x, y int) {
	s, t := w.machines[x].node.slots[slot], w.machines[y].node.slots[slot]
	for k, e := range s.entries {
		if t.last.Before(e.Position) || isClaim(k) && claimGeneration(k) < j.floors[slot] {
			continue
		}
		f, ok := t.entries[k]
		if !ok || f.Position != e.Position && !s.last.Before(f.Position) {
			j.find("lines differ", "of epoch %d: %s has %s of %v, %s has it of %v (%v) and is whole up to %v",
				s.logTerm, w.machines[x].name, k, e.Position, w.machines[y].name, f.Position, ok, t.last)
		}
	}
}
