package quorum

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
)

// register is what clients were told of one key.
type register struct {
	key    string
	newest uint64   // newest revision that anybody was told, or could have read
	values []string // by revision
}

// asking is an operation that was not answered yet.
type openOperation struct {
	machine    int
	operation  Operation
	seenBefore uint64 // newest revision known to anybody when it began
	calledAt   int64
	trueTime   int64 // true time
}

// The duty that clients contend for. A client counts its term from when it asked.
const (
	exploreRoleKey      = rolePrefix + "d"
	exploreRoleDuration = 6 * tickInterval
)

// told is an operation as its client saw it, for the checker of histories.
type completedOperation struct {
	openOperation
	returnedAt int64
	tookEffect bool // whether it took effect
	revision   uint64
	value      string
}

// judge checks the world against what must hold in every state. It reads the nodes'
// state but never what they conclude from it.
type checker struct {
	registers []register
	voterSets []VoterSet // in force anywhere, by step
	claims    map[string]string
	roleUntil map[string]int64 // until when each client holds the duty
	floors    []uint64         // settled on a majority, by slot
	pending   []openOperation
	history   []completedOperation
	clock     int64 // counts calls and answers
	violation string
}

func (c *checker) init(size worldConfig) {
	for i := range size.slots {
		c.registers = append(c.registers, register{key: keyInSlot(i, size.slots, 0)}, register{key: keyInSlot(i, size.slots, 1)})
	}
	c.floors = make([]uint64, size.slots)
	c.claims = map[string]string{}
	c.roleUntil = map[string]int64{}
}

// keyOf is the nth plain key of a slot.
func keyInSlot(slot, slots, nth int) string {
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

func (c *checker) copied() checker {
	duplicate := *c
	duplicate.registers = slices.Clone(c.registers)
	for i := range duplicate.registers {
		duplicate.registers[i].values = slices.Clip(duplicate.registers[i].values)
	}
	duplicate.voterSets = slices.Clip(c.voterSets)
	duplicate.floors = slices.Clone(c.floors)
	duplicate.pending = slices.Clone(c.pending)
	duplicate.history = slices.Clip(c.history)
	duplicate.claims = maps.Clone(c.claims)
	duplicate.roleUntil = maps.Clone(c.roleUntil)
	return duplicate
}

func (c *checker) encode(b []byte) []byte {
	for _, r := range c.registers {
		b = binary.AppendUvarint(b, r.newest)
		for _, v := range r.values {
			b = append(append(b, v...), 0)
		}
	}
	for _, f := range c.floors {
		b = binary.AppendUvarint(b, f)
	}
	for _, p := range c.pending {
		b = append(b, byte(p.machine))
		b = binary.AppendUvarint(b, p.operation.ID)
		b = binary.AppendUvarint(b, p.seenBefore)
	}
	if len(c.claims)+len(c.roleUntil) > 0 {
		b = fmt.Append(b, c.claims, c.roleUntil)
	}
	return append(b, byte(len(c.voterSets)))
}

// find records the first thing that is wrong; kind names it.
func (c *checker) violated(kind, format string, args ...any) {
	if c.violation == "" {
		c.violation = kind + ": " + fmt.Sprintf(format, args...)
	}
}

func (c *checker) register(key string) *register {
	for i := range c.registers {
		if c.registers[i].key == key {
			return &c.registers[i]
		}
	}
	return nil
}

func (c *checker) operationCalled(machine int, now int64, op Operation) {
	c.clock++
	p := openOperation{machine: machine, operation: op, calledAt: c.clock, trueTime: now}
	if r := c.register(op.Key); r != nil {
		p.seenBefore = r.newest
	}
	c.pending = append(c.pending, p)
}

// gone forgets what a dead process was asked: nobody will answer it.
func (c *checker) processDied(machine int) {
	for k := len(c.pending) - 1; k >= 0; k-- {
		if c.pending[k].machine == machine {
			c.addToHistory(c.pending[k], Result{Status: StatusUnknown})
			c.pending = slices.Delete(c.pending, k, k+1)
		}
	}
}

// note keeps an operation for the checker of histories.
func (c *checker) addToHistory(p openOperation, a Result) {
	c.clock++
	if a.Status != StatusDone && (a.Status != StatusUnknown || p.operation.Type != OpPut) {
		return // nothing changed and nothing was learnt
	}
	c.history = append(c.history, completedOperation{openOperation: p, returnedAt: c.clock, tookEffect: a.Status == StatusDone, revision: a.Revision, value: string(a.Value)})
}

func (c *checker) operationReturned(a Result) {
	k := slices.IndexFunc(c.pending, func(p openOperation) bool { return p.operation.ID == a.ID })
	if k < 0 {
		return
	}
	p := c.pending[k]
	c.pending = slices.Delete(c.pending, k, k+1)
	c.addToHistory(p, a)
	if a.Status != StatusDone {
		return
	}
	switch r := c.register(p.operation.Key); {
	case p.operation.Type == OpClaim:
		if h := c.claims[p.operation.Key]; h != "" && h != string(p.operation.Value) {
			c.violated("claimed twice", "%s by %s and %s", p.operation.Key, h, p.operation.Value)
		}
		c.claims[p.operation.Key] = string(p.operation.Value)
	case p.operation.Type == OpAcquire:
		c.roleUntil[p.operation.Holder] = max(c.roleUntil[p.operation.Holder], p.trueTime+exploreRoleDuration)
	case r == nil:
	case p.operation.Type == OpPut && a.Revision <= p.seenBefore:
		c.violated("went back", "a change of %s was confirmed as revision %d after %d was seen", r.key, a.Revision, p.seenBefore)
	case a.Revision < p.seenBefore:
		c.violated("went back", "%s was read at revision %d after %d", r.key, a.Revision, p.seenBefore)
	default:
		c.revisionSeen(r, a.Revision, string(a.Value))
	}
}

// saw takes note of a revision that somebody was told.
func (c *checker) revisionSeen(r *register, rev uint64, val string) {
	for uint64(len(r.values)) <= rev {
		r.values = append(r.values, "")
	}
	if was := r.values[rev]; was != "" && was != val {
		c.violated("two values", "revision %d of %s was %s and %s", rev, r.key, was, val)
	}
	if r.values[rev] == "" && val != "" {
		r.values = slices.Clone(r.values)
		r.values[rev] = val
	}
	r.newest = max(r.newest, rev)
}

// inForce takes note of a roster that some machine goes by.
func (c *checker) voterSetInForce(r VoterSet) {
	for _, o := range c.voterSets {
		switch {
		case o.Revision == r.Revision && !slices.Equal(o.Voters, r.Voters):
			c.violated("two rosters", "of number %d: %v and %v", r.Step(), o.Voters, r.Voters)
		case o.Revision == r.Revision:
			return
		case o.Revision+1 == r.Revision && haveDisjointMajorities(o, r), r.Revision+1 == o.Revision && haveDisjointMajorities(r, o):
			c.violated("apart", "majorities of %v and of %v need not share a voter", o.Voters, r.Voters)
		}
	}
	c.voterSets = append(c.voterSets, r)
}

// look checks the present state.
func (c *checker) check(w *world) {
	for i := range c.registers {
		c.checkOneLease(w, &c.registers[i])
	}
	c.checkOneHolder(w.now)
	for slot := range w.slots {
		c.learnFloor(w, slot)
		for a := range w.worldConfig.machines {
			for b := range a {
				c.checkPair(w, slot, a, b)
			}
		}
	}
}

// oneLease holds that one node at most can answer for a key, and that it knows of all
// that anybody was ever told of it.
func (c *checker) checkOneLease(w *world, r *register) {
	owner := ""
	for i := range w.worldConfig.machines {
		if !w.running(i) {
			continue
		}
		e, ok := w.machines[i].node.ReadUnderLease(w.now, r.key)
		if !ok {
			continue
		}
		if owner != "" {
			c.violated("two live leases", "of the slot of %s: %s and %s", r.key, owner, w.machines[i].name)
		}
		owner = w.machines[i].name
		if e.Revision < r.newest {
			c.violated("went back", "%s answers %s at revision %d, and %d was seen", owner, r.key, e.Revision, r.newest)
			continue
		}
		c.revisionSeen(r, e.Revision, string(e.Value))
	}
}

// oneHolder holds that one client at most has the duty.
func (c *checker) checkOneHolder(now int64) {
	holders := 0
	for _, until := range c.roleUntil {
		if now < until {
			holders++
		}
	}
	if holders > 1 {
		c.violated("two holders", "of the duty: until %v", c.roleUntil)
	}
}

// settledFloor learns below which era a slot's claims may have been forgotten.
func (c *checker) learnFloor(w *world, slot int) {
	for i := range w.worldConfig.machines {
		n := w.machines[i].node
		if n == nil {
			continue
		}
		s := n.slots[slot]
		if e, ok := s.entries[floorKey(uint16(slot))]; ok && !s.certain().Before(e.Position) {
			c.floors[slot] = max(c.floors[slot], floorValue(e))
		}
	}
}

// together holds of two machines that no epoch has two owners, and that what both hold
// of one line is the same up to where both have it whole.
func (c *checker) checkPair(w *world, slot, a, b int) {
	x, y := w.machines[a].node, w.machines[b].node
	if x == nil || y == nil {
		return
	}
	s, t := x.slots[slot], y.slots[slot]
	if s.state >= stateRecovering && t.state >= stateRecovering && s.term == t.term {
		c.violated("two owners of an epoch", "%d: %s and %s", s.term, w.machines[a].name, w.machines[b].name)
	}
	if s.logTerm == 0 || s.logTerm != t.logTerm {
		return
	}
	c.checkContains(w, slot, a, b)
	c.checkContains(w, slot, b, a)
}

// contains holds that y has what x has, up to y's mark.
func (c *checker) checkContains(w *world, slot, x, y int) {
	s, t := w.machines[x].node.slots[slot], w.machines[y].node.slots[slot]
	for k, e := range s.entries {
		if t.last.Before(e.Position) || isClaim(k) && claimGeneration(k) < c.floors[slot] {
			continue
		}
		f, ok := t.entries[k]
		if !ok || f.Position != e.Position && !s.last.Before(f.Position) {
			c.violated("lines differ", "of epoch %d: %s has %s of %v, %s has it of %v (%v) and is whole up to %v",
				s.logTerm, w.machines[x].name, k, e.Position, w.machines[y].name, f.Position, ok, t.last)
		}
	}
}
