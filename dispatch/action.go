package dispatch

import (
	"strconv"

	"violetthread/attempt"
	"violetthread/cacheindex"
)

// ActionType says what an Action asks for. Its numbers are part of recordings and must not
// change.
type ActionType uint8

// The types of actions.
const (
	ActionClaim         ActionType = iota + 1 // ask for the claim, and call ClaimAnswered
	ActionReleaseClaim                        // give the claim back
	ActionStartAttempt                        // send an attempt to an engine, and call AttemptProgressed
	ActionCancelAttempt                       // break the attempt off
	ActionAccept                              // tell the caller that the request was taken in
	ActionFinish                              // tell the caller the outcome
)

var actionNames = map[ActionType]string{
	ActionClaim:         "claim",
	ActionReleaseClaim:  "release-claim",
	ActionStartAttempt:  "start-attempt",
	ActionCancelAttempt: "cancel-attempt",
	ActionAccept:        "accept",
	ActionFinish:        "finish",
}

// String is the type's name in logs and test output.
func (t ActionType) String() string {
	if name, known := actionNames[t]; known {
		return name
	}
	return "action-" + strconv.Itoa(int(t))
}

// Action is something that the caller of the Dispatcher must carry out.
type Action struct {
	Type      ActionType
	Ref       uint64
	Group     string
	RequestID string

	// Of ActionClaim and ActionReleaseClaim.
	ClaimNonce string // tells this request's claim from another's with the same key
	ClaimKey   string // key in the control state

	// Of ActionStartAttempt, and the first also of ActionCancelAttempt.
	AttemptID      string
	Grant          EngineGrant
	Domain         string // cache domain of the attempt
	Weights        string
	Kind           string
	Prompt         string
	PrefixKeys     []cacheindex.Key // of the prompt's blocks, shortest prefix first
	TransferBlock  int              // last block to fetch from TransferNode, -1 for none
	TransferNode   uint64
	TransferAddr   string
	TransferWaitUS int64 // after which the engine recomputes the blocks
	Deadline       int64
	StartBefore    int64 // past this time the attempt must not be sent any more

	// Of ActionFinish.
	Outcome      attempt.Outcome
	Reason       string
	RetryAfterUS int64 // when to send a rejected request again, from now
}

// Reasons of rejections and of the ends of requests. The texts are part of the API; those
// of package attempt come beside them.
const (
	ReasonPlanNotFresh      = "plan-not-fresh"
	ReasonNoEngine          = "no-engine"
	ReasonQueueFull         = "queue-full"
	ReasonDeadline          = attempt.ReasonDeadline
	ReasonDeadlinePassed    = "due-passed"
	ReasonKeyRevoked        = "key-taken"
	ReasonKindRevoked       = "kind-taken"
	ReasonGenerationMissing = "era-missing"
	ReasonDomainChanged     = "wall-changed"
)

// Counters count since the start, for metrics.
type Counters struct {
	Arrived   uint64 // requests that passed the checks of key and form
	Done      uint64
	Refused   uint64 // rejected after they were taken in
	Unknown   uint64
	Attempts  uint64
	Retries   uint64 // attempts after a request's first
	Transfers uint64 // attempts with blocks to fetch from another engine
	LocalHits uint64 // attempts at an engine that has a block of the prompt cached
	Claims    uint64
}
