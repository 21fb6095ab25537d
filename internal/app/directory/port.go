// Package directory is the part of a core machine that follows the engines of a fleet
// whose requests are passed through: which there are, what they keep, which weights
// they run. It tells proxies, and brings engines to new weights (design §12, §15).
package directory

import (
	"context"

	"violetthread/schema/fb"
)

// Listed is an engine as the platform lists it.
type Engine struct {
	ID, Pool, Addr, Zone string
	Draining             bool
	Slots                int
	Weights              map[string]uint64
}

// Order tells an engine to change its weights. Holder and Fence are the duty's.
type UpdateRequest struct {
	Engine, Addr, Model string
	Version             uint64
	Leader              string
	FencingToken        uint64
	// Permit is asked at the last moment before the order is written, and tells why it
	// must not be: the process may have been paused since the order was decided. Nil
	// permits always.
	Permit func() error
}

// Taken is how an engine answered an order.
type UpdateResult uint8

// Unheard: no answer, it may have been taken. Doing: under way. Holds: in force already.
// Busy: another order is under way. Fenced: a higher fence was seen. Refused: not this
// engine, or no such order. Withheld: it was not permitted any more, and never sent.
const (
	ResultUnknown UpdateResult = iota
	ResultStarted
	ResultCurrent
	ResultBusy
	ResultFenced
	ResultRefused
	ResultNotSent
)

func (t UpdateResult) String() string {
	return [...]string{"unheard", "doing", "holds", "busy", "fenced", "refused", "withheld"}[t]
}

// Change is one piece of an engine's news about what it keeps.
type CacheEvent struct {
	Cached             bool
	Salt, Block, Model string
}

// Page is an engine's answer to a question for news.
type CacheEventPage struct {
	Epoch   string
	Next    string
	Missing bool
	Events  []CacheEvent
}

// Platform is what the platform and its engines are asked for.
type Platform interface {
	ListEngines(ctx context.Context) ([]Engine, error)
	UpdateWeights(ctx context.Context, o UpdateRequest) UpdateResult
	// Running is an engine's own word on its weights, and whether it is changing them.
	RunningWeights(ctx context.Context, addr string) (weights map[string]uint64, busy bool, err error)
	// News asks an engine or store for what changed after since, and may be held for wait.
	CacheEvents(ctx context.Context, addr, since string, waitUS int64) (CacheEventPage, error)
}

// Control is the control node beside it.
type Control interface {
	Execute(ctx context.Context, t *fb.OpAskT) *fb.OpTellT
	ExecuteOnce(ctx context.Context, t *fb.OpAskT) *fb.OpTellT
	VoterAddrs() []string
	LiveNodes(now int64) []*fb.NodeT
	RecordHeartbeat(now int64, n *fb.NodeT)
	// Ask asks another control node.
	Call(ctx context.Context, addr string, f *fb.FrameT, us int64) (*fb.FrameT, error)
	// Tell sends a frame to the other control nodes; nobody answers.
	Broadcast(f *fb.FrameT)
}
