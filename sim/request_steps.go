package sim

import (
	"violetthread/quorum"
)

// RequestStep is a step on an order's way from its operator to the disks and back.
type RequestStep string

// The steps of an order, each of which may get lost.
const (
	StepRequest     RequestStep = "order"     // operator to node
	StepReadRequest RequestStep = "read-ask"  // node to the register's leader
	StepReadReply   RequestStep = "read-tell" // and back
	StepPutRequest  RequestStep = "put-ask"   // node to the register's leader
	StepAppend      RequestStep = "write"     // leader to the voters
	StepAppendAck   RequestStep = "write-ok"  // and back
	StepPutReply    RequestStep = "put-tell"  // leader to the node
	StepReply       RequestStep = "reply"     // node to operator
)

// RequestSteps lists them in order.
var RequestSteps = []RequestStep{StepRequest, StepReadRequest, StepReadReply, StepPutRequest, StepAppend, StepAppendAck, StepPutReply, StepReply}

// stepsOf are the steps of an operation that is passed to its leader.
func stepsOf(operationType quorum.OperationType) (request, reply RequestStep) {
	if operationType == quorum.OpGet {
		return StepReadRequest, StepReadReply
	}
	return StepPutRequest, StepPutReply
}

// isStepLost tells whether a step gets lost.
func (c *Cluster) isStepLost(step RequestStep) bool { return c.losesStep != nil && c.losesStep(step) }
