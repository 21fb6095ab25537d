package sim

import (
	"violetthread/quorum"
)

// The handling of an operator's request by a control node, as in platform.OperatorAPI and
// control.Node. Both wait in goroutines by real time, so that the simulator cannot run them,
// but their decisions come from the same code (quorum, route.Change, route.WeightVersions).
// TestEditIsThePlatforms checks that the constants are the same.
const (
	editTimeoutUS          = 900_000 // within which a node answers an operator
	readTimeoutUS          = 700_000 // within which a directory reads a register
	maxReadAgeUS           = 500_000 // largest age of the read that an answer is based on
	contactCheckIntervalUS = 50_000  // between checks of the contact with a majority
	retryWithoutLeaderUS   = 25_000  // before the next read of a register without a leader
	retryAfterConflictUS   = 1_000   // before the next read after a conflicting change
	forwardReadTimeoutUS   = 500_000 // for a read that is forwarded to the leader
	forwardPutTimeoutUS    = 2_000_000
	maxHops                = 2
	maxForwardSilenceUS    = 400_000 // nothing is forwarded to a leader that was silent for longer
)

// Outcome is the outcome of a request as the operator learns it.
type Outcome uint8

// A request with OutcomeAccepted is acknowledged. One with OutcomeStale is based on a version
// that is not current, one with OutcomeInvalid can never be accepted, and with OutcomeUnknown
// it may or may not take effect.
const (
	OutcomeUnknown Outcome = iota
	OutcomeAccepted
	OutcomeStale
	OutcomeInvalid
)

func (o Outcome) String() string {
	return [...]string{"unclear", "taken", "refused", "invalid"}[o]
}

// Reply is an answer to an operator.
type Reply struct {
	Outcome Outcome
	Version uint64 // current version
}

// registerEdit changes a register to the value that decide returns. It decides again as long
// as it is certain that nothing was changed and the node hears from a majority.
type registerEdit struct {
	node     *ControlNode
	key      string
	until    int64
	readAt   int64 // when the read that the decision is based on was sent
	decide   decideFunc
	reply    func(Reply)
	finished bool
}

// Edit changes a register on behalf of an operator.
func (n *ControlNode) Edit(key string, decide decideFunc, reply func(Reply)) {
	e := &registerEdit{node: n, key: key, until: n.Clock() + editTimeoutUS, decide: decide, reply: reply}
	e.checkContact()
	e.read()
}

// checkContact ends the edit once there is no contact with a majority, since nothing can be
// read or changed then.
func (e *registerEdit) checkContact() {
	if e.finished {
		return
	}
	if !e.node.hearsMajority() {
		e.end(Reply{Outcome: OutcomeUnknown})
		return
	}
	e.node.After(contactCheckIntervalUS, e.checkContact)
}

func (e *registerEdit) end(reply Reply) {
	if !e.finished {
		e.finished = true
		e.reply(reply)
	}
}

// Read reads a register on behalf of an operator.
func (n *ControlNode) Read(key string, reply func(value []byte, revision uint64, ok bool)) {
	var value []byte
	var revision uint64
	decide := func(v []byte, rev uint64) ([]byte, Reply) {
		value, revision = v, rev
		return nil, Reply{Outcome: OutcomeStale} // valid only while the read is recent
	}
	n.Edit(key, decide, func(a Reply) { reply(value, revision, a.Outcome == OutcomeStale) })
}

func (e *registerEdit) read() {
	if e.finished {
		return
	}
	e.readAt = e.node.Clock()
	e.node.proposeOnce(quorum.Operation{Type: quorum.OpGet, Key: e.key}, 0, e.until, e.readDone)
}

func (e *registerEdit) readDone(result quorum.Result) {
	if e.finished {
		return
	}
	if result.Status != quorum.StatusDone {
		e.retryAfter(retryWithoutLeaderUS)
		return
	}
	next, reply := e.decide(result.Value, result.Revision)
	if next == nil {
		e.finishUnchanged(reply)
		return
	}
	put := quorum.Operation{Type: quorum.OpPut, Key: e.key, Value: next, ExpectedRevision: result.Revision}
	e.node.proposeOnce(put, 0, e.until, func(result quorum.Result) { e.putDone(result, reply) })
}

// finishUnchanged answers without a change, unless the read is too old: this process may have
// been paused while another leader accepted changes. An acceptance stays valid.
func (e *registerEdit) finishUnchanged(reply Reply) {
	if reply.Outcome != OutcomeAccepted && e.node.Clock()-e.readAt > maxReadAgeUS {
		reply = Reply{Outcome: OutcomeUnknown}
	}
	e.end(reply)
}

func (e *registerEdit) putDone(result quorum.Result, reply Reply) {
	switch result.Status {
	case quorum.StatusDone:
		e.end(reply)
	case quorum.StatusConflict:
		e.retryAfter(retryAfterConflictUS)
	case quorum.StatusNotLeader, quorum.StatusFull:
		e.retryAfter(retryWithoutLeaderUS)
	default:
		e.end(Reply{Outcome: OutcomeUnknown})
	}
}

// retryAfter reads again after a pause, if there is time left.
func (e *registerEdit) retryAfter(pause int64) {
	if e.node.Clock()+pause >= e.until {
		e.end(Reply{Outcome: OutcomeUnknown})
		return
	}
	e.node.After(pause, e.read)
}
