package control

import (
	"context"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
)

// Microseconds.
const (
	leavePoll    = 100_000 // between two checks; the first delay lets the messages go out
	leaveTimeout = 900_000 // for the other voters to remove this node; they do so without it as well
)

// leave gives up leadership of all slots before a graceful stop. A node whose successor was
// already admitted keeps running until the other voters have removed it, so that the stop does
// not reduce the number of failures that the voter set tolerates.
func (n *Node) leave(ctx context.Context) {
	if !n.voting.Load() {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(leaveTimeout))
	defer cancel()
	if !taskgroup.Send(ctx, n.commands, func(now int64) { n.processReady(n.voter.Leave(now)) }) {
		return
	}
	for taskgroup.Sleep(ctx, leavePoll) {
		if !n.awaitingRemoval(ctx) {
			return
		}
	}
}

// awaitingRemoval asks the voter's loop whether this node is about to be removed from the voter
// set.
func (n *Node) awaitingRemoval(ctx context.Context) bool {
	result := make(chan bool, 1)
	if !taskgroup.Send(ctx, n.commands, func(int64) { result <- n.voter.RemovalPending() }) {
		return false
	}
	pending, ok := taskgroup.Receive(ctx, result)
	return ok && pending
}
