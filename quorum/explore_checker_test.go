package quorum

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
)

// register is what clients saw of one key.
type register struct {
	key    string
	newest uint64   // newest revision that anybody saw, or could have read
	values []string // by revision
}

// openOperation is an operation without a result yet.
type openOperation struct {
	machine    int
	operation  Operation
	seenBefore uint64 // newest revision known to anybody when it began
	calledAt   int64
	trueTime   int64 // true time
}

// The role that clients contend for. A client counts its lease from when it asked.
const (
	exploreRoleKey      = rolePrefix + "d"
	exploreRoleDuration = 6 * tickInterval
)

// completedOperation is an operation as its client saw it, for the linearizability checker.
type completedOperation struct {
	openOperation
	returnedAt int64
	tookEffect bool // whether it took effect
	revision   uint64
	value      string
}

// checker checks the world against the invariants of every state. It reads the nodes'
// state but never what they conclude from it.
type checker struct {
	registers []register
	voterSets []VoterSet // in force anywhere, by step
	claims    map[string]string
	roleUntil map[string]int64 // until when each client has the role
	floors    []uint64         // of claims, committed on a majority, by slot
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

// keyInSlot is the nth plain key of a slot.
func keyInSlot(slot, slots, nth int) string {
	for i := 0; ; i++ {
		key := fmt.Sprint("k", i)
		if int(SlotOf(key, slots)) != slot {
			continue
		}
		if nth == 0 {
			return key
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

func (c *checker) encode(encoded []byte) []byte {
	for _, register := range c.registers {
		encoded = binary.AppendUvarint(encoded, register.newest)
		for _, value := range register.values {
			encoded = append(append(encoded, value...), 0)
		}
	}
	for _, floor := range c.floors {
		encoded = binary.AppendUvarint(encoded, floor)
	}
	for _, open := range c.pending {
		encoded = append(encoded, byte(open.machine))
		encoded = binary.AppendUvarint(encoded, open.operation.ID)
		encoded = binary.AppendUvarint(encoded, open.seenBefore)
	}
	if len(c.claims)+len(c.roleUntil) > 0 {
		encoded = fmt.Append(encoded, c.claims, c.roleUntil)
	}
	return append(encoded, byte(len(c.voterSets)))
}

// violated records the first violation; kind names the invariant.
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

func (c *checker) operationCalled(machine int, now int64, operation Operation) {
	c.clock++
	call := openOperation{machine: machine, operation: operation, calledAt: c.clock, trueTime: now}
	if register := c.register(operation.Key); register != nil {
		call.seenBefore = register.newest
	}
	c.pending = append(c.pending, call)
}

// processDied ends the operations of a dead process: nobody will answer them.
func (c *checker) processDied(machine int) {
	for k := len(c.pending) - 1; k >= 0; k-- {
		if c.pending[k].machine == machine {
			c.addToHistory(c.pending[k], Result{Status: StatusUnknown})
			c.pending = slices.Delete(c.pending, k, k+1)
		}
	}
}

// addToHistory keeps an operation for the linearizability checker.
func (c *checker) addToHistory(call openOperation, result Result) {
	c.clock++
	if result.Status != StatusDone && (result.Status != StatusUnknown || call.operation.Type != OpPut) {
		return // nothing changed and nothing was learnt
	}
	c.history = append(c.history, completedOperation{openOperation: call, returnedAt: c.clock, tookEffect: result.Status == StatusDone, revision: result.Revision, value: string(result.Value)})
}

func (c *checker) operationReturned(result Result) {
	at := slices.IndexFunc(c.pending, func(call openOperation) bool { return call.operation.ID == result.ID })
	if at < 0 {
		return
	}
	call := c.pending[at]
	c.pending = slices.Delete(c.pending, at, at+1)
	c.addToHistory(call, result)
	if result.Status != StatusDone {
		return
	}
	switch register := c.register(call.operation.Key); {
	case call.operation.Type == OpClaim:
		if holder := c.claims[call.operation.Key]; holder != "" && holder != string(call.operation.Value) {
			c.violated("claimed twice", "%s by %s and %s", call.operation.Key, holder, call.operation.Value)
		}
		c.claims[call.operation.Key] = string(call.operation.Value)
	case call.operation.Type == OpAcquire:
		c.roleUntil[call.operation.Holder] = max(c.roleUntil[call.operation.Holder], call.trueTime+exploreRoleDuration)
	case register == nil:
	case call.operation.Type == OpPut && result.Revision <= call.seenBefore:
		c.violated("went back", "a change of %s was confirmed as revision %d after %d was seen", register.key, result.Revision, call.seenBefore)
	case result.Revision < call.seenBefore:
		c.violated("went back", "%s was read at revision %d after %d", register.key, result.Revision, call.seenBefore)
	default:
		c.revisionSeen(register, result.Revision, string(result.Value))
	}
}

// revisionSeen takes note of a revision that somebody saw.
func (c *checker) revisionSeen(register *register, rev uint64, val string) {
	for uint64(len(register.values)) <= rev {
		register.values = append(register.values, "")
	}
	if was := register.values[rev]; was != "" && was != val {
		c.violated("two values", "revision %d of %s was %s and %s", rev, register.key, was, val)
	}
	if register.values[rev] == "" && val != "" {
		register.values = slices.Clone(register.values)
		register.values[rev] = val
	}
	register.newest = max(register.newest, rev)
}

// voterSetInForce takes note of a voter set that some machine goes by.
func (c *checker) voterSetInForce(set VoterSet) {
	for _, known := range c.voterSets {
		switch {
		case known.Revision == set.Revision && !slices.Equal(known.Voters, set.Voters):
			c.violated("two voter sets", "of number %d: %v and %v", set.Step(), known.Voters, set.Voters)
		case known.Revision == set.Revision:
			return
		case known.Revision+1 == set.Revision && haveDisjointMajorities(known, set), set.Revision+1 == known.Revision && haveDisjointMajorities(set, known):
			c.violated("apart", "majorities of %v and of %v need not share a voter", known.Voters, set.Voters)
		}
	}
	c.voterSets = append(c.voterSets, set)
}

// check checks the present state.
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

// checkOneLease: one node at most can answer for a key, and it knows of all that anybody
// ever saw of it.
func (c *checker) checkOneLease(w *world, register *register) {
	owner := ""
	for i := range w.worldConfig.machines {
		if !w.running(i) {
			continue
		}
		entry, ok := w.machines[i].node.ReadUnderLease(w.now, register.key)
		if !ok {
			continue
		}
		if owner != "" {
			c.violated("two live leases", "of the slot of %s: %s and %s", register.key, owner, w.machines[i].name)
		}
		owner = w.machines[i].name
		if entry.Revision < register.newest {
			c.violated("went back", "%s answers %s at revision %d, and %d was seen", owner, register.key, entry.Revision, register.newest)
			continue
		}
		c.revisionSeen(register, entry.Revision, string(entry.Value))
	}
}

// checkOneHolder: one client at most has the role.
func (c *checker) checkOneHolder(now int64) {
	holders := 0
	for _, until := range c.roleUntil {
		if now < until {
			holders++
		}
	}
	if holders > 1 {
		c.violated("two holders", "of the role: until %v", c.roleUntil)
	}
}

// learnFloor learns below which generation a slot's claims may have been forgotten.
func (c *checker) learnFloor(w *world, slot int) {
	for i := range w.worldConfig.machines {
		node := w.machines[i].node
		if node == nil {
			continue
		}
		replica := node.slots[slot]
		if entry, ok := replica.entries[floorKey(uint16(slot))]; ok && !replica.certain().Before(entry.Position) {
			c.floors[slot] = max(c.floors[slot], floorValue(entry))
		}
	}
}

// checkPair: no term has two leaders, and what two machines have of one log is the same up
// to where both have all of it.
func (c *checker) checkPair(w *world, slot, a, b int) {
	nodeA, nodeB := w.machines[a].node, w.machines[b].node
	if nodeA == nil || nodeB == nil {
		return
	}
	replicaA, replicaB := nodeA.slots[slot], nodeB.slots[slot]
	if replicaA.state >= stateRecovering && replicaB.state >= stateRecovering && replicaA.term == replicaB.term {
		c.violated("two leaders of a term", "%d: %s and %s", replicaA.term, w.machines[a].name, w.machines[b].name)
	}
	if replicaA.logTerm == 0 || replicaA.logTerm != replicaB.logTerm {
		return
	}
	c.checkContains(w, slot, a, b)
	c.checkContains(w, slot, b, a)
}

// checkContains: b has what a has, up to b's last position.
func (c *checker) checkContains(w *world, slot, a, b int) {
	replicaA, replicaB := w.machines[a].node.slots[slot], w.machines[b].node.slots[slot]
	for key, entry := range replicaA.entries {
		if replicaB.last.Before(entry.Position) || isClaim(key) && claimGeneration(key) < c.floors[slot] {
			continue
		}
		other, ok := replicaB.entries[key]
		if !ok || other.Position != entry.Position && !replicaA.last.Before(other.Position) {
			c.violated("logs differ", "of term %d: %s has %s of %v, %s has it of %v (%v) and has all up to %v",
				replicaA.logTerm, w.machines[a].name, key, entry.Position, w.machines[b].name, other.Position, ok, replicaB.last)
		}
	}
}
