package control

import (
	"context"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
)

// Microseconds.
const (
	leavePoll    = 100_000 // for the messages to go out, and between two looks
	leaveTimeout = 900_000 // for the rest to drop the seat; they do so without this node as well
)

// leave gives the slots up before a polite stop. A machine whose successor was admitted
// before stays until the rest has dropped its seat, so that the stop costs no margin.
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

// awaitingRemoval asks the voter's loop whether this node's seat is about to be dropped.
func (n *Node) awaitingRemoval(ctx context.Context) bool {
	answer := make(chan bool, 1)
	if !taskgroup.Send(ctx, n.commands, func(int64) { answer <- n.voter.RemovalPending() }) {
		return false
	}
	awaiting, ok := taskgroup.Receive(ctx, answer)
	return ok && awaiting
}
