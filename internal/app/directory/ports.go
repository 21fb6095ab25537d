package directory

import (
	"context"

	"violetthread/schema/fb"
)

// Engine is an engine as the platform lists it.
type Engine struct {
	ID, Pool, Addr, Zone string
	Draining             bool
	Slots                int               // requests that it runs at a time
	Weights              map[string]uint64 // version of each model's weights, as the platform knows it
}

// UpdateRequest tells an engine to change its weights.
type UpdateRequest struct {
	Engine, Addr, Model string
	Version             uint64
	Leader              string // who holds the rollout's lease
	FencingToken        uint64 // the lease's; an engine refuses lower ones than it has seen
	// Permit is asked at the last moment before the request is written, and tells why it
	// must not be: the process may have been paused since the request was decided. Nil
	// permits always.
	Permit func() error
}

// UpdateResult is how an engine answered an update request.
type UpdateResult uint8

// The results.
const (
	ResultUnknown UpdateResult = iota // no answer, it may have been taken
	ResultStarted                     // the engine is changing its weights
	ResultCurrent                     // the weights are in force already
	ResultBusy                        // another update is under way
	ResultFenced                      // the engine has seen a higher fencing token
	ResultRefused                     // not this engine, or no such update
	ResultNotSent                     // it was not permitted any more, and never sent
)

// String is the result as log events show it.
func (r UpdateResult) String() string {
	return [...]string{"unknown", "started", "current", "busy", "fenced", "refused", "not_sent"}[r]
}

// CacheEvent is one change of what an engine or store keeps.
type CacheEvent struct {
	Cached             bool // kept from now on; else evicted
	Salt, Block, Model string
}

// CacheEventPage is an engine's answer to a question for cache events.
type CacheEventPage struct {
	Epoch   string // another one after each start of the engine
	Next    string // cursor of the next question
	Missing bool   // events before these were dropped; not acted on, since a hint out of date costs one miss
	Events  []CacheEvent
}

// Platform is what the platform and its engines are asked for.
type Platform interface {
	// ListEngines lists the engines that there are.
	ListEngines(ctx context.Context) ([]Engine, error)
	// UpdateWeights sends one update request, once.
	UpdateWeights(ctx context.Context, request UpdateRequest) UpdateResult
	// RunningWeights is an engine's own word on its weights, and whether it is changing them.
	RunningWeights(ctx context.Context, addr string) (weights map[string]uint64, updating bool, err error)
	// CacheEvents asks an engine or store for what changed after a cursor, which may
	// delay its answer by waitUS microseconds until there is something.
	CacheEvents(ctx context.Context, addr, cursor string, waitUS int64) (CacheEventPage, error)
}

// Control is the control node beside it.
type Control interface {
	// Execute carries an operation on a control key out, with repeated attempts.
	Execute(ctx context.Context, ask *fb.OperationRequestT) *fb.OperationResponseT
	// ExecuteOnce carries it out with one attempt.
	ExecuteOnce(ctx context.Context, ask *fb.OperationRequestT) *fb.OperationResponseT
	// VoterAddrs are the addresses of the control nodes that vote.
	VoterAddrs() []string
	// LiveNodes are the nodes whose sessions have not ended.
	LiveNodes(now int64) []*fb.NodeT
	// RecordHeartbeat keeps the session of a node that asked here.
	RecordHeartbeat(now int64, node *fb.NodeT)
	// Call asks another control node, and waits at most timeoutUS microseconds.
	Call(ctx context.Context, addr string, frame *fb.FrameT, timeoutUS int64) (*fb.FrameT, error)
	// Broadcast sends a frame to the other control nodes; nobody answers.
	Broadcast(frame *fb.FrameT)
}
