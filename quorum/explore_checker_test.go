package quorum

import (
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
)

// register is what clients have observed of one key.
type register struct {
	key    string
	newest uint64   // newest revision that was observed or could have been read
	values []string // by revision
}

// openOperation is an operation without a result so far.
type openOperation struct {
	machine    int
	operation  Operation
	seenBefore uint64 // newest revision observed by anyone when the operation started
	calledAt   int64
	trueTime   int64 // when the operation started, in simulated time
}

// The role that clients contend for. A client counts its lease from when it sent the request.
const (
	exploreRoleKey      = rolePrefix + "d"
	exploreRoleDuration = 6 * tickInterval
)

// completedOperation is an operation as observed by its client, for the linearizability
// checker.
type completedOperation struct {
	openOperation
	returnedAt int64
	tookEffect bool // whether it is known to have taken effect
	revision   uint64
	value      string
}

// checker checks the invariants in every state of the cluster. It reads the nodes' state, but
// relies on none of their conclusions.
type checker struct {
	registers []register
	voterSets []VoterSet // in force at any node so far
	claims    map[string]string
	roleUntil map[string]int64 // when the lease of each client ends
	floors    []uint64         // claim floors known to be committed, by slot
	pending   []openOperation
	history   []completedOperation
	clock     int64 // counts calls and results
	violation string
}

func (c *checker) init(size clusterConfig) {
	for i := range size.slots {
		c.registers = append(c.registers, register{key: keyInSlot(i, size.slots, 0)}, register{key: keyInSlot(i, size.slots, 1)})
	}
	c.floors = make([]uint64, size.slots)
	c.claims = map[string]string{}
	c.roleUntil = map[string]int64{}
}

// keyInSlot returns the nth plain key that maps to a slot.
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

func (c *checker) clone() checker {
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

// violated records the first violation; kind is the name of the invariant.
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

// processDied ends the open operations of a process that ended: they get no result.
func (c *checker) processDied(machine int) {
	for k := len(c.pending) - 1; k >= 0; k-- {
		if c.pending[k].machine == machine {
			c.addToHistory(c.pending[k], Result{Status: StatusUnknown})
			c.pending = slices.Delete(c.pending, k, k+1)
		}
	}
}

// addToHistory records an operation for the linearizability checker.
func (c *checker) addToHistory(call openOperation, result Result) {
	c.clock++
	if result.Status != StatusDone && (result.Status != StatusUnknown || call.operation.Type != OpPut) {
		return // nothing changed and nothing was read
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
			c.violated("claim granted twice", "%s by %s and %s", call.operation.Key, holder, call.operation.Value)
		}
		c.claims[call.operation.Key] = string(call.operation.Value)
	case call.operation.Type == OpAcquire:
		c.roleUntil[call.operation.Holder] = max(c.roleUntil[call.operation.Holder], call.trueTime+exploreRoleDuration)
	case register == nil:
	case call.operation.Type == OpPut && result.Revision <= call.seenBefore:
		c.violated("revision went back", "change of %s confirmed as revision %d after %d was observed", register.key, result.Revision, call.seenBefore)
	case result.Revision < call.seenBefore:
		c.violated("revision went back", "%s read at revision %d after %d was observed", register.key, result.Revision, call.seenBefore)
	default:
		c.revisionSeen(register, result.Revision, string(result.Value))
	}
}

// revisionSeen records a revision that was observed.
func (c *checker) revisionSeen(register *register, revision uint64, value string) {
	for uint64(len(register.values)) <= revision {
		register.values = append(register.values, "")
	}
	if previous := register.values[revision]; previous != "" && previous != value {
		c.violated("two values of a revision", "revision %d of %s is %s and %s", revision, register.key, previous, value)
	}
	if register.values[revision] == "" && value != "" {
		register.values = slices.Clone(register.values)
		register.values[revision] = value
	}
	register.newest = max(register.newest, revision)
}

// voterSetInForce records a voter set in force at some machine.
func (c *checker) voterSetInForce(set VoterSet) {
	for _, known := range c.voterSets {
		switch {
		case known.Revision == set.Revision && !slices.Equal(known.Voters, set.Voters):
			c.violated("two voter sets", "with step %d: %v and %v", set.Step(), known.Voters, set.Voters)
		case known.Revision == set.Revision:
			return
		case known.Revision+1 == set.Revision && haveDisjointMajorities(known, set), set.Revision+1 == known.Revision && haveDisjointMajorities(set, known):
			c.violated("apart", "majorities of %v and %v need not share a voter", known.Voters, set.Voters)
		}
	}
	c.voterSets = append(c.voterSets, set)
}

// check checks the current state.
func (c *checker) check(cl *cluster) {
	for i := range c.registers {
		c.checkOneLease(cl, &c.registers[i])
	}
	c.checkOneHolder(cl.now)
	for slot := range cl.slots {
		c.learnFloor(cl, slot)
		for a := range cl.clusterConfig.machines {
			for b := range a {
				c.checkPair(cl, slot, a, b)
			}
		}
	}
}

// checkOneLease: at most one node can serve a key, and it has every revision of the key that
// was observed.
func (c *checker) checkOneLease(cl *cluster, register *register) {
	owner := ""
	for i := range cl.clusterConfig.machines {
		if !cl.running(i) {
			continue
		}
		entry, ok := cl.machines[i].node.ReadUnderLease(cl.now, register.key)
		if !ok {
			continue
		}
		if owner != "" {
			c.violated("two live leases", "of the slot of %s: %s and %s", register.key, owner, cl.machines[i].name)
		}
		owner = cl.machines[i].name
		if entry.Revision < register.newest {
			c.violated("revision went back", "%s serves %s at revision %d after %d was observed", owner, register.key, entry.Revision, register.newest)
			continue
		}
		c.revisionSeen(register, entry.Revision, string(entry.Value))
	}
}

// checkOneHolder: at most one client holds the role.
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

// learnFloor learns the generations of a slot whose claims may have been deleted.
func (c *checker) learnFloor(cl *cluster, slot int) {
	for i := range cl.clusterConfig.machines {
		node := cl.machines[i].node
		if node == nil {
			continue
		}
		replica := node.slots[slot]
		if entry, ok := replica.entries[floorKey(uint16(slot))]; ok && !replica.knownCommitted().Before(entry.Position) {
			c.floors[slot] = max(c.floors[slot], floorValue(entry))
		}
	}
}

// checkPair: no term has two leaders, and the copies of a log at two machines are the same up
// to where both are complete.
func (c *checker) checkPair(cl *cluster, slot, a, b int) {
	nodeA, nodeB := cl.machines[a].node, cl.machines[b].node
	if nodeA == nil || nodeB == nil {
		return
	}
	replicaA, replicaB := nodeA.slots[slot], nodeB.slots[slot]
	if replicaA.state >= stateRecovering && replicaB.state >= stateRecovering && replicaA.term == replicaB.term {
		c.violated("two leaders of a term", "%d: %s and %s", replicaA.term, cl.machines[a].name, cl.machines[b].name)
	}
	if replicaA.logTerm == 0 || replicaA.logTerm != replicaB.logTerm {
		return
	}
	c.checkContains(cl, slot, a, b)
	c.checkContains(cl, slot, b, a)
}

// checkContains: b has everything that a has, up to b's last position.
func (c *checker) checkContains(cl *cluster, slot, a, b int) {
	replicaA, replicaB := cl.machines[a].node.slots[slot], cl.machines[b].node.slots[slot]
	for key, entry := range replicaA.entries {
		if replicaB.last.Before(entry.Position) || isClaim(key) && claimGeneration(key) < c.floors[slot] {
			continue
		}
		other, ok := replicaB.entries[key]
		if !ok || other.Position != entry.Position && !replicaA.last.Before(other.Position) {
			c.violated("logs differ", "of term %d: %s has %s of %v, %s has it of %v (%v) and has all up to %v",
				replicaA.logTerm, cl.machines[a].name, key, entry.Position, cl.machines[b].name, other.Position, ok, replicaB.last)
		}
	}
}
