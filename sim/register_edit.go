package sim

import (
	"violetthread/quorum"
)

// The way of an operator's order through a control node, as platform.OperatorAPI and
// control.Node take it. Both wait in goroutines by real time, so that the simulator
// can't run them; what they decide by (quorum, route.Change, route.WeightsDoc) is
// the very code. TestEditIsThePlatforms holds the constants to theirs.
const (
	editTimeoutUS          = 900_000 // in which a node answers an operator
	readTimeoutUS          = 700_000 // in which a directory reads a register
	maxReadAgeUS           = 500_000 // how old the read may be that an answer rests on
	contactCheckIntervalUS = 50_000  // between looks at the contact with a majority
	retryWithoutLeaderUS   = 25_000  // between looks at a register without an leader
	retryAfterConflictUS   = 1_000   // after another's change came first
	forwardReadTimeoutUS   = 500_000 // for a read that is passed to the leader
	forwardPutTimeoutUS    = 2_000_000
	maxHops                = 2
	maxForwardSilenceUS    = 400_000 // nothing is passed to a leader silent for so long
)

// Outcome is what an operator hears of an order.
type Outcome uint8

// An order whose outcome is OutcomeAccepted is acknowledged. An OutcomeStale one builds on a version that is
// not current, an Invalid one never will do, and nobody can tell of an Unclear one.
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
	Version uint64 // that is current
}

// registerEdit puts what decide makes of a register, deciding anew as long as provably
// nothing was changed and the node hears a majority.
type registerEdit struct {
	node     *ControlNode
	key      string
	until    int64
	readAt   int64 // when the read was asked for that the decision rests on
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

// checkContact ends the work once no majority is heard: nothing can be read or changed then.
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
		return nil, Reply{Outcome: OutcomeStale} // rests on what was read
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

// finishUnchanged answers without a change, unless the read has grown old: this process may
// have been paused, and another leader have taken changes. What was accepted stays accepted.
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

// retryAfter reads anew after a pause, while there is time.
func (e *registerEdit) retryAfter(pause int64) {
	if e.node.Clock()+pause >= e.until {
		e.end(Reply{Outcome: OutcomeUnknown})
		return
	}
	e.node.After(pause, e.read)
}
