package sim

import (
	"violetthread/quorum"
)

// RequestStep is a step on the way of a configuration request from its operator to the disks
// and back.
type RequestStep string

// Steps of a request, each of which may be lost.
const (
	StepRequest     RequestStep = "order"     // operator to node
	StepReadRequest RequestStep = "read-ask"  // node to the register's leader
	StepReadReply   RequestStep = "read-tell" // leader to the node
	StepPutRequest  RequestStep = "put-ask"   // node to the register's leader
	StepAppend      RequestStep = "write"     // leader to the voters
	StepAppendAck   RequestStep = "write-ok"  // voters to the leader
	StepPutReply    RequestStep = "put-tell"  // leader to the node
	StepReply       RequestStep = "reply"     // node to operator
)

// RequestSteps lists all steps in order.
var RequestSteps = []RequestStep{StepRequest, StepReadRequest, StepReadReply, StepPutRequest, StepAppend, StepAppendAck, StepPutReply, StepReply}

// stepsOf returns the steps of forwarding an operation to its leader.
func stepsOf(operationType quorum.OperationType) (request, reply RequestStep) {
	if operationType == quorum.OpGet {
		return StepReadRequest, StepReadReply
	}
	return StepPutRequest, StepPutReply
}

// isStepLost reports whether a step is lost.
func (c *Cluster) isStepLost(step RequestStep) bool { return c.losesStep != nil && c.losesStep(step) }
