package sim

import (
	"violetthread/quorum"
)

// OrderStep is a step on an order's way from its operator to the disks and back.
type OrderStep string

// The steps of an order, each of which may get lost.
const (
	StepOrder    OrderStep = "order"     // operator to node
	StepReadAsk  OrderStep = "read-ask"  // node to the register's leader
	StepReadTell OrderStep = "read-tell" // and back
	StepPutAsk   OrderStep = "put-ask"   // node to the register's leader
	StepWrite    OrderStep = "write"     // leader to the voters
	StepWriteOK  OrderStep = "write-ok"  // and back
	StepPutTell  OrderStep = "put-tell"  // leader to the node
	StepReply    OrderStep = "reply"     // node to operator
)

// OrderSteps lists them in order.
var OrderSteps = []OrderStep{StepOrder, StepReadAsk, StepReadTell, StepPutAsk, StepWrite, StepWriteOK, StepPutTell, StepReply}

// stepsOf are the steps of an operation that is passed to its leader.
func stepsOf(operationType quorum.OperationType) (ask, tell OrderStep) {
	if operationType == quorum.OpGet {
		return StepReadAsk, StepReadTell
	}
	return StepPutAsk, StepPutTell
}

// isStepLost tells whether a step gets lost.
func (c *Cluster) isStepLost(step OrderStep) bool { return c.losesStep != nil && c.losesStep(step) }
