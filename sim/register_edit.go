package sim

import (
	"violetthread/quorum"
	"violetthread/route"
)

// The way of an operator's order through a control node, as platform.Operator and
// control.Node take it. Both wait in goroutines by real time, so that the simulator
// can't run them; what they decide by (quorum, route.Change, route.WeightsDoc) is
// the very code. TestEditIsThePlatforms holds the constants to theirs.
const (
	orderTimeoutUS       = 900_000 // in which a node answers an operator
	readTimeoutUS        = 700_000 // in which a directory reads a register
	maxReadAgeUS         = 500_000 // how old the read may be that an answer rests on
	contactCheckInterval = 50_000  // between looks at the contact with a majority
	retryWithoutLeader   = 25_000  // between looks at a register without an owner
	retryAfterConflict   = 1_000   // after another's change came first
	passReadTimeoutUS    = 500_000 // for a read that is passed to the owner
	passChangeTimeoutUS  = 2_000_000
	maxHops              = 2
	passSilenceLimit     = 400_000 // nothing is passed to an owner silent for so long
)

// Outcome is what an operator is told of an order.
type Outcome uint8

// An order that was Taken is acknowledged. A Refused one builds on a version that is
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

// proposeOnce carries an operation to the leader of its key with one try, which ends at a
// time by this node's clock.
func (n *ControlNode) proposeOnce(op quorum.Operation, hops int, until int64, reply func(quorum.Result)) {
	over := false
	end := func(result quorum.Result) {
		if !over {
			over = true
			reply(result)
		}
	}
	n.After(max(1, until-n.Clock()), func() { end(quorum.Result{Status: quorum.StatusUnknown}) })
	n.Propose(op, func(result quorum.Result) {
		if result.Status != quorum.StatusNotLeader || result.Leader == "" || result.Leader == n.Name || hops >= maxHops {
			end(result)
			return
		}
		n.passToLeader(op, hops, result.Leader, end)
	})
}

// passToLeader hands an operation on to the leader of its key.
func (n *ControlNode) passToLeader(op quorum.Operation, hops int, leaderName string, end func(quorum.Result)) {
	receiver := n.cluster.nodeNamed(leaderName)
	if receiver == nil || n.node == nil || n.node.Silence(n.Clock(), leaderName) > passSilenceLimit {
		end(quorum.Result{Status: quorum.StatusNotLeader})
		return
	}
	limit := int64(passChangeTimeoutUS)
	if op.Type == quorum.OpGet {
		limit = passReadTimeoutUS
	}
	ask, tell := stepsOf(op.Type)
	Call(n.Host, receiver.Host, op, limit,
		func(operation quorum.Operation, answer func(quorum.Result)) {
			if !n.cluster.isStepLost(ask) {
				receiver.proposeOnce(operation, hops+1, receiver.Clock()+limit, answer)
			}
		},
		func(result quorum.Result) {
			if !n.cluster.isStepLost(tell) {
				end(result)
			}
		},
		func() { end(quorum.Result{Status: quorum.StatusUnknown}) })
}

// decideFunc makes the next value of a register from its present one. Without a next
// value the reply stands; with one it stands once that is in force.
type decideFunc func(value []byte, revision uint64) (next []byte, reply Reply)

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
	e := &registerEdit{node: n, key: key, until: n.Clock() + orderTimeoutUS, decide: decide, reply: reply}
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
	e.node.After(contactCheckInterval, e.checkContact)
}

// hearsMajority reports whether a node heard a majority of the voters lately. One that
// does not vote can't tell, and says yes.
func (n *ControlNode) hearsMajority() bool {
	if n.node == nil {
		return true
	}
	voters := n.node.VoterSet().Voters
	heard := 0
	for _, voter := range voters {
		if n.node.Silence(n.Clock(), voter.Name) <= passSilenceLimit {
			heard++
		}
	}
	return heard > len(voters)/2
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
		e.retryAfter(retryWithoutLeader)
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
		e.retryAfter(retryAfterConflict)
	case quorum.StatusNotLeader, quorum.StatusFull:
		e.retryAfter(retryWithoutLeader)
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

// changeConfiguration decides a change of the configuration.
func changeConfiguration(change route.Change, texts Texts) decideFunc {
	return func(value []byte, revision uint64) ([]byte, Reply) {
		var current *route.Document
		version := uint64(0)
		if revision != 0 {
			document, err := route.DecodeDocument(value)
			if err != nil {
				return nil, Reply{Outcome: OutcomeUnknown}
			}
			current, version = document, document.Version
		}
		next, out, _ := change.Apply(current, texts.Translate, texts.Words)
		switch out {
		case route.Accepted:
			return next.Encode(), Reply{OutcomeAccepted, next.Version}
		case route.Duplicate:
			return nil, Reply{OutcomeAccepted, version}
		case route.Stale:
			return nil, Reply{OutcomeStale, version}
		case route.Undecidable:
			return nil, Reply{Outcome: OutcomeUnknown}
		default:
			return nil, Reply{OutcomeInvalid, version}
		}
	}
}

// nameWeights decides the naming of a version of a model's weights.
func nameWeights(model string, version uint64) decideFunc {
	return func(value []byte, revision uint64) ([]byte, Reply) {
		current := &route.WeightVersions{}
		if revision != 0 {
			versions, err := route.DecodeWeights(value)
			if err != nil {
				return nil, Reply{Outcome: OutcomeUnknown}
			}
			current = versions
		}
		next, finding := current.Add(model, version)
		switch {
		case finding != nil:
			return nil, Reply{Outcome: OutcomeInvalid}
		case next == nil:
			return nil, Reply{OutcomeAccepted, current.Latest(model)}
		default:
			return next.Encode(), Reply{OutcomeAccepted, version}
		}
	}
}

// Texts reads operators' texts. Tests pass the platform's, which this package does
// not import: an adapter imports the product, never the other way round.
type Texts struct {
	Translate func([]byte) (route.Config, []route.Finding)
	Words     route.FieldNames
}

// OrderStep is a step on an order's way from its operator to the disks and back.
type OrderStep string

// The steps of an order, each of which may get lost.
const (
	StepOrder    OrderStep = "order"     // operator to node
	StepReadAsk  OrderStep = "read-ask"  // node to the register's owner
	StepReadTell OrderStep = "read-tell" // and back
	StepPutAsk   OrderStep = "put-ask"   // node to the register's owner
	StepWrite    OrderStep = "write"     // owner to the voters
	StepWriteOK  OrderStep = "write-ok"  // and back
	StepPutTell  OrderStep = "put-tell"  // owner to the node
	StepReply    OrderStep = "reply"     // node to operator
)

// OrderSteps lists them in order.
var OrderSteps = []OrderStep{StepOrder, StepReadAsk, StepReadTell, StepPutAsk, StepWrite, StepWriteOK, StepPutTell, StepReply}

// stepsOf are the steps of an operation that is passed to its owner.
func stepsOf(operationType quorum.OperationType) (ask, tell OrderStep) {
	if operationType == quorum.OpGet {
		return StepReadAsk, StepReadTell
	}
	return StepPutAsk, StepPutTell
}

// isStepLost tells whether a step gets lost.
func (c *Cluster) isStepLost(step OrderStep) bool { return c.losesStep != nil && c.losesStep(step) }
