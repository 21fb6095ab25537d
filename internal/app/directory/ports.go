package directory

import (
	"context"

	"violetthread/schema/fb"
)

// Engine is an engine in the platform's list.
type Engine struct {
	ID, Pool, Addr, Zone string
	Draining             bool
	Slots                int               // requests that it runs concurrently
	Weights              map[string]uint64 // version of each model's weights, as reported by the platform
}

// UpdateRequest asks an engine to change its weights.
type UpdateRequest struct {
	Engine, Addr, Model string
	Version             uint64
	Leader              string // holder of the rollout's lease
	FencingToken        uint64 // of the lease; an engine rejects tokens lower than the highest that it has seen
	// Permit is called immediately before the request is written, and returns an error if it must
	// not be sent any more: the process may have been paused since the request was decided. If
	// Permit is nil, the request may always be sent.
	Permit func() error
}

// UpdateResult is the outcome of an update request.
type UpdateResult uint8

// The results.
const (
	ResultUnknown UpdateResult = iota // no response; the engine may have accepted the request
	ResultStarted                     // the engine is changing its weights
	ResultCurrent                     // the engine already runs these weights
	ResultBusy                        // another update is in progress
	ResultFenced                      // the engine has seen a higher fencing token
	ResultRefused                     // wrong engine, or an impossible update
	ResultNotSent                     // never sent, since Permit no longer allowed it
)

// String returns the name of the result in log events.
func (r UpdateResult) String() string {
	return [...]string{"unknown", "started", "current", "busy", "fenced", "refused", "not_sent"}[r]
}

// CacheEvent is one change of the blocks that an engine or store caches.
type CacheEvent struct {
	Cached             bool // true if the block was cached, false if it was evicted
	Salt, Block, Model string
}

// CacheEventPage is an engine's response to a poll for cache events.
type CacheEventPage struct {
	Epoch   string // differs after each restart of the engine
	Next    string // cursor of the next poll
	Missing bool   // earlier events were lost; this is ignored, since an outdated entry costs only one cache miss
	Events  []CacheEvent
}

// Platform is the interface to the platform and its engines.
type Platform interface {
	// ListEngines lists the existing engines.
	ListEngines(ctx context.Context) ([]Engine, error)
	// UpdateWeights sends one update request, once.
	UpdateWeights(ctx context.Context, request UpdateRequest) UpdateResult
	// RunningWeights asks an engine itself for its weights and whether it is changing them.
	RunningWeights(ctx context.Context, addr string) (weights map[string]uint64, updating bool, err error)
	// CacheEvents polls an engine or store for the events after a cursor. The engine may hold the
	// response for up to waitUS microseconds until there is an event.
	CacheEvents(ctx context.Context, addr, cursor string, waitUS int64) (CacheEventPage, error)
}

// Control is the interface to the control node on this machine.
type Control interface {
	// Execute executes an operation on a control key, with retries.
	Execute(ctx context.Context, request *fb.OperationRequestT) *fb.OperationResponseT
	// ExecuteOnce executes an operation on a control key with one attempt.
	ExecuteOnce(ctx context.Context, request *fb.OperationRequestT) *fb.OperationResponseT
	// VoterAddrs returns the addresses of the control nodes in the voter set.
	VoterAddrs() []string
	// LiveNodes returns the nodes whose sessions have not expired.
	LiveNodes(now int64) []*fb.NodeT
	// RecordHeartbeat renews the session of a node that sent a request to this one.
	RecordHeartbeat(now int64, node *fb.NodeT)
	// Call sends a request to another control node and waits at most timeoutUS microseconds for the
	// response.
	Call(ctx context.Context, addr string, frame *fb.FrameT, timeoutUS int64) (*fb.FrameT, error)
	// Broadcast sends a frame to the other control nodes, without a response.
	Broadcast(frame *fb.FrameT)
}
