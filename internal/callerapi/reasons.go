package callerapi

// Reasons of refused and unknown ends. Those that the dispatcher gives are in package
// dispatch and package attempt as well.
const (
	ReasonKeyMissing         = "key-missing"
	ReasonKeyUnknown         = "key-unknown"
	ReasonKeyRevoked         = "key-taken"
	ReasonKindRevoked        = "kind-taken"
	ReasonDomainChanged      = "wall-changed"
	ReasonTooLarge           = "too-large"
	ReasonUnknownField       = "unknown-field"
	ReasonMalformed          = "malformed"
	ReasonUnknownKind        = "unknown-kind"
	ReasonBadID              = "bad-id"
	ReasonDeadlinePast       = "due-past"
	ReasonDeadlineTooFar     = "due-too-far"
	ReasonDeadline           = "due-unreachable"
	ReasonDeadlinePassed     = "due-passed"
	ReasonQueueFull          = "queue-full"
	ReasonNoEngine           = "no-engine"
	ReasonPlanNotFresh       = "plan-not-fresh"
	ReasonStopping           = "stopping"
	ReasonClaimUnavailable   = "claim-unavailable"
	ReasonDuplicate          = "duplicate"
	ReasonGenerationMissing  = "era-missing"
	ReasonGenerationNotOpen  = "era-unopened"
	ReasonGenerationClosed   = "era-closed"
	ReasonRetryBudget        = "retry-budget"
	ReasonCallerGone         = "caller-gone"
	ReasonEngineLost         = "engine-lost"
	ReasonEngineMalformed    = "engine-malformed"
	ReasonBackendLost        = "backend-lost"
	ReasonBackendUnreachable = "backend-unreachable"
)

// remedies say what a caller can do about a reason.
var remedies = map[string]string{
	ReasonKeyMissing:         "send your group's key as Authorization: Bearer KEY",
	ReasonKeyUnknown:         "this key is in no group of the plan in force; ask an operator",
	ReasonKeyRevoked:         "your key was taken away; ask an operator for another",
	ReasonKindRevoked:        "your group may not send this kind; ask an operator",
	ReasonDomainChanged:      "your group's wall was changed meanwhile; send the ticket again",
	ReasonTooLarge:           "keep the body within 4 MiB",
	ReasonUnknownField:       "send only kind, id, era, due_us and prompt",
	ReasonMalformed:          "send one JSON object with kind, id, era, due_us and prompt",
	ReasonUnknownKind:        "use a kind that the plan names",
	ReasonBadID:              "use at most 128 printable characters without spaces",
	ReasonDeadlinePast:       "give due_us as microseconds from now, above zero",
	ReasonDeadlineTooFar:     "give a due within the kind's max_due_us",
	ReasonDeadline:           "it can't be done by its due; come back after retry_after_us, or give it a later due",
	ReasonDeadlinePassed:     "its due passed while it ran; look at what it did before sending it again",
	ReasonQueueFull:          "your group has too many waiting; come back after retry_after_us",
	ReasonNoEngine:           "no engine has room for this proxy just now; come back after retry_after_us",
	ReasonPlanNotFresh:       "this proxy can't prove that its plan is in force; try another, or come back after retry_after_us",
	ReasonStopping:           "this proxy is about to stop; try another",
	ReasonClaimUnavailable:   "the control nodes did not answer; it has not run, send it again",
	ReasonDuplicate:          "a ticket of this id was taken before; look at what that one did, or send it under a new id",
	ReasonGenerationMissing:  "an id of a once-only kind needs an era: for a new id the one given here, for a resend the one it was first sent with",
	ReasonGenerationNotOpen:  "that era is not open; for a new id take the one given here",
	ReasonGenerationClosed:   "its era is over, it will not run now; look at whether it ran then, or send it under a new id and era",
	ReasonRetryBudget:        "engines turned it away and retries are used up; come back after retry_after_us",
	ReasonCallerGone:         "the caller hung up",
	ReasonEngineLost:         "the engine was lost while it ran; look at what it did before sending it again",
	ReasonEngineMalformed:    "the engine's answer broke the protocol; look at what it did before sending it again",
	ReasonBackendLost:        "the back end was lost after the call was sent; look at what it did before sending it again",
	ReasonBackendUnreachable: "the back end can't be reached; nothing was sent, come back after retry_after_us",
}

// Remedy says what a caller can do about a reason.
func Remedy(reason string) string {
	if remedy, known := remedies[reason]; known {
		return remedy
	}
	return "look the reason up in docs/caller-api.md"
}
