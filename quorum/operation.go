package quorum

// OperationType is what a caller requests for a key. The numbers are sent.
type OperationType uint8

const (
	// OpGet reads a register.
	OpGet OperationType = iota + 1
	// OpPut writes a register if it has the expected revision.
	OpPut
	// OpAcquire acquires or renews a role lease.
	OpAcquire
	// OpRelease releases a role lease.
	OpRelease
	// OpClaim claims a key of a generation, once.
	OpClaim
	// OpUnclaim releases a claim.
	OpUnclaim
)

var operationTypeNames = [...]string{
	OpGet:     "get",
	OpPut:     "put",
	OpAcquire: "acquire",
	OpRelease: "release",
	OpClaim:   "claim",
	OpUnclaim: "unclaim",
}

func (t OperationType) String() string { return enumName(operationTypeNames[:], uint8(t)) }

// AnyRevision as Operation.ExpectedRevision matches every revision.
const AnyRevision = ^uint64(0)

// Operation is a caller's request for a key.
type Operation struct {
	// ID identifies the operation in its Result and must be unique per caller. With 0, a
	// committed change has no result.
	ID    uint64
	Type  OperationType
	Key   string
	Value []byte
	// ExpectedRevision is the revision that the key must have for OpPut (0: absent), and the
	// revision of the lease for OpRelease.
	ExpectedRevision uint64
	// Holder and LeaseDurationUS (microseconds) describe a role lease (design §4.5).
	Holder          string
	LeaseDurationUS int64
}

// Status is the outcome of an operation. The numbers are sent.
type Status uint8

const (
	// StatusDone means that the change is on a majority of disks, or the value was read.
	StatusDone Status = iota + 1
	// StatusConflict means that nothing changed; the result holds the current register.
	StatusConflict
	// StatusNotLeader means that nothing changed; ask Result.Leader.
	StatusNotLeader
	// StatusUnknown means that the change may still take effect, until the key is next changed.
	StatusUnknown
	// StatusFull means that nothing changed, because there is no space left.
	StatusFull
	// StatusGenerationClosed means that the claim's generation is closed; the claim is never
	// granted again.
	StatusGenerationClosed
	// StatusGenerationNotOpen means that the claim's generation is not open yet.
	StatusGenerationNotOpen
)

var statusNames = [...]string{
	StatusDone:              "done",
	StatusConflict:          "conflict",
	StatusNotLeader:         "not_leader",
	StatusUnknown:           "unknown",
	StatusFull:              "full",
	StatusGenerationClosed:  "generation_closed",
	StatusGenerationNotOpen: "generation_not_open",
}

func (s Status) String() string { return enumName(statusNames[:], uint8(s)) }

// Result is the outcome of an operation.
type Result struct {
	ID       uint64
	Status   Status
	Revision uint64
	Value    []byte
	// Leader is the name of the slot's leader as far as this node knows, or "".
	Leader string
}

// call is an operation that is being applied to its replica.
type call struct {
	now       int64
	replica   *slotReplica
	operation Operation
	current   Entry // the committed register
	ready     *Ready
}

// finish ends the operation; entry is the register as reported to the caller.
func (c *call) finish(status Status, entry Entry) {
	c.ready.Results = append(c.ready.Results, Result{ID: c.operation.ID, Status: status,
		Revision: entry.Revision, Value: entry.Value, Leader: c.replica.leader})
}

// next returns the register with a new value and the next revision.
func (c *call) next(value []byte) Entry {
	return Entry{Key: c.operation.Key, Revision: c.current.Revision + 1, Value: value}
}

// Propose starts an operation. Its Result comes with this Ready or a later one, or never if the
// process ends.
func (n *Node) Propose(now int64, operation Operation) Ready {
	var ready Ready
	n.apply(now, n.slotOf(operation.Key), operation, &ready)
	return ready
}

// apply executes an operation if this node leads the slot. A change of a key that has a pending
// change is queued until that one is committed.
func (n *Node) apply(now int64, replica *slotReplica, operation Operation, ready *Ready) {
	c := &call{now: now, replica: replica, operation: operation, ready: ready}
	if !replica.serves(now) {
		c.finish(StatusNotLeader, Entry{})
		return
	}
	c.current, _ = replica.committedEntry(operation.Key)
	if operation.Type == OpGet {
		c.finish(StatusDone, c.current)
		return
	}
	if change, ok := replica.pendingByKey[operation.Key]; ok {
		change.queued = append(change.queued, operation)
		return
	}
	switch operation.Type {
	case OpPut:
		n.applyPut(c)
	case OpAcquire:
		n.applyAcquire(c)
	case OpRelease:
		n.applyRelease(c)
	case OpClaim:
		n.applyClaim(c)
	case OpUnclaim:
		n.applyUnclaim(c)
	default:
		c.finish(StatusConflict, c.current)
	}
}

func (n *Node) applyPut(c *call) {
	operation := c.operation
	reserved := isRole(operation.Key) || isClaim(operation.Key) || isInternalKey(operation.Key)
	expected := operation.ExpectedRevision == AnyRevision || operation.ExpectedRevision == c.current.Revision
	if reserved || !expected {
		c.finish(StatusConflict, c.current)
		return
	}
	if operation.Key == VoterSetKey {
		if err := n.checkVoterSetChange(c.current, operation.Value); err != nil {
			c.ready.event(Event{Type: EventVoterSetRefused, Err: err})
			c.finish(StatusConflict, Entry{Revision: c.current.Revision, Value: []byte(err.Error())})
			return
		}
	}
	n.change(c, c.next(operation.Value))
}

// change replicates a new value of the register, if there is space for it.
func (n *Node) change(c *call, entry Entry) {
	limit := n.config.MaxStateBytes
	if isClaim(entry.Key) {
		limit = n.maxClaimBytes()
	}
	if n.diskLow || n.stateBytes+entryBytes(entry) > limit {
		c.finish(StatusFull, Entry{})
		return
	}
	if isRole(entry.Key) {
		c.replica.roleLeaseUntil[entry.Key] = c.now + parseRoleLease(entry.Value).Duration
	}
	n.replicate(c.now, c.replica, entry, c.operation, c.ready)
}
