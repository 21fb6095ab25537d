package quorum

// OperationType names what a caller asks of a key. The numbers are sent.
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
	// OpUnclaim gives a claim back.
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

// AnyRevision as Operation.ExpectedRevision accepts whatever revision the key has.
const AnyRevision = ^uint64(0)

// Operation is what a caller asks of a key.
type Operation struct {
	// ID names the operation in its Result; the caller never repeats one. With 0 there is no
	// result when a change is committed.
	ID    uint64
	Type  OperationType
	Key   string
	Value []byte
	// ExpectedRevision is, for OpPut, the revision that the key must have (0: absent), and
	// for OpRelease the revision of the lease.
	ExpectedRevision uint64
	// Holder and LeaseDurationUS (microseconds) describe a role lease (design §4.5).
	Holder          string
	LeaseDurationUS int64
}

// Status is how an operation ended. The numbers are sent.
type Status uint8

const (
	// StatusDone means: the change is on a majority of disks, or the value was read.
	StatusDone Status = iota + 1
	// StatusConflict means: nothing changed; the result holds the register as it is.
	StatusConflict
	// StatusNotLeader means: nothing changed; ask Result.Leader.
	StatusNotLeader
	// StatusUnknown means: the change may still take effect, until the key is next changed.
	StatusUnknown
	// StatusFull means: nothing changed, for want of room.
	StatusFull
	// StatusGenerationClosed means: the claim's generation is over; it is granted to nobody any more.
	StatusGenerationClosed
	// StatusGenerationNotOpen means: the claim's generation is not open yet.
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

// Result ends an operation.
type Result struct {
	ID       uint64
	Status   Status
	Revision uint64
	Value    []byte
	// Leader names the slot's leader as far as this node knows, or "".
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

// finish ends the operation; entry is what the caller is told of the register.
func (c *call) finish(status Status, entry Entry) {
	c.ready.Results = append(c.ready.Results, Result{ID: c.operation.ID, Status: status,
		Revision: entry.Revision, Value: entry.Value, Leader: c.replica.leader})
}

// next is the register after a change of its value.
func (c *call) next(value []byte) Entry {
	return Entry{Key: c.operation.Key, Revision: c.current.Revision + 1, Value: value}
}

// Propose starts an operation. Its Result comes with this Ready or a later one, or never if
// the process ends.
func (n *Node) Propose(now int64, operation Operation) Ready {
	var ready Ready
	n.apply(now, n.slotOf(operation.Key), operation, &ready)
	return ready
}

// apply runs an operation at the slot's leader. One on a key with a pending change waits for
// that to be committed.
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

// change replicates a new value of the register, if there is room for it.
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
