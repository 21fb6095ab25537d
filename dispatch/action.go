package dispatch

import (
	"strconv"

	"violetthread/attempt"
	"violetthread/cacheindex"
)

// ActionType is the type of an Action. Its values are part of recordings and must not change.
type ActionType uint8

// The types of actions.
const (
	ActionClaim         ActionType = iota + 1 // request the claim, and call ClaimAnswered with the answer
	ActionReleaseClaim                        // release the claim
	ActionStartAttempt                        // send an attempt to an engine, and call AttemptProgressed on each change of its state
	ActionCancelAttempt                       // cancel the attempt
	ActionAccept                              // notify the caller that the request was admitted
	ActionFinish                              // report the outcome to the caller
)

var actionNames = map[ActionType]string{
	ActionClaim:         "claim",
	ActionReleaseClaim:  "release-claim",
	ActionStartAttempt:  "start-attempt",
	ActionCancelAttempt: "cancel-attempt",
	ActionAccept:        "accept",
	ActionFinish:        "finish",
}

// String returns the type's name in logs and test output.
func (t ActionType) String() string {
	if name, known := actionNames[t]; known {
		return name
	}
	return "action-" + strconv.Itoa(int(t))
}

// Action is an instruction that the caller of the Dispatcher must carry out.
type Action struct {
	Type      ActionType
	Ref       uint64
	Group     string
	RequestID string

	// Fields of ActionClaim and ActionReleaseClaim.
	ClaimNonce string // distinguishes this request's claim from others with the same key
	ClaimKey   string // key in the control state

	// Fields of ActionStartAttempt; AttemptID is also set for ActionCancelAttempt.
	AttemptID      string
	Grant          EngineGrant
	Domain         string // cache domain of the attempt
	Weights        string
	Kind           string
	Prompt         string
	PrefixKeys     []cacheindex.Key // keys of the prompt's blocks, shortest prefix first
	TransferBlock  int              // index of the last block to fetch from TransferNode, -1 for none
	TransferNode   uint64
	TransferAddr   string
	TransferWaitUS int64 // timeout of the transfer, after which the engine recomputes the blocks
	Deadline       int64
	StartBefore    int64 // the attempt must not be sent after this time

	// Fields of ActionFinish.
	Outcome      attempt.Outcome
	Reason       string
	RetryAfterUS int64 // delay after which the caller may retry a rejected request
}

// Reasons for which requests are rejected or ended. The texts are part of the API. Package
// attempt defines further reasons.
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

// Counters holds counts since the start of the process, for metrics.
type Counters struct {
	Arrived   uint64 // requests with a valid key and format
	Done      uint64
	Refused   uint64 // rejected after admission
	Unknown   uint64
	Attempts  uint64
	Retries   uint64 // attempts after the first of a request
	Transfers uint64 // attempts with blocks to fetch from another node
	LocalHits uint64 // attempts at an engine that is hinted to have a prefix of the prompt cached
	Claims    uint64
}
