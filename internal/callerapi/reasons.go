package callerapi

// Reasons in refused and unknown frames. Those that the dispatcher returns are also defined in
// packages dispatch and attempt.
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
	ReasonOverloaded         = "overloaded"
)

// remedies tell the caller what to do, by reason.
var remedies = map[string]string{
	ReasonKeyMissing:         "send your group's key as Authorization: Bearer KEY",
	ReasonKeyUnknown:         "no group in the current plan has this key; ask an operator",
	ReasonKeyRevoked:         "your key was revoked; ask an operator for a new one",
	ReasonKindRevoked:        "your group may not send this kind; ask an operator",
	ReasonDomainChanged:      "the isolation (wall) of your group was changed meanwhile; send the request again",
	ReasonTooLarge:           "keep the body within 4 MiB",
	ReasonUnknownField:       "send only kind, id, era, due_us and prompt",
	ReasonMalformed:          "send one JSON object with kind, id, era, due_us and prompt",
	ReasonUnknownKind:        "use a kind that the plan defines",
	ReasonBadID:              "use at most 128 printable characters without spaces",
	ReasonDeadlinePast:       "set due_us to a number of microseconds from now, above zero",
	ReasonDeadlineTooFar:     "set due_us to at most the kind's max_due_us",
	ReasonDeadline:           "the request can't be completed by its deadline; retry after retry_after_us, or with a later deadline",
	ReasonDeadlinePassed:     "the deadline passed while the request ran; check what it did before sending it again",
	ReasonQueueFull:          "your group has too many requests waiting; retry after retry_after_us",
	ReasonNoEngine:           "no engine has capacity for this proxy at the moment; retry after retry_after_us",
	ReasonPlanNotFresh:       "this proxy can't confirm that its plan is current; use another proxy, or retry after retry_after_us",
	ReasonStopping:           "this proxy is shutting down; use another proxy",
	ReasonOverloaded:         "this proxy holds as much as its memory allows; the request has not run, retry after retry_after_us",
	ReasonClaimUnavailable:   "the control nodes did not respond; the request has not run, send it again",
	ReasonDuplicate:          "a request with this id was accepted before; check what that one did, or send this one with a new id",
	ReasonGenerationMissing:  "an id of a once-only kind needs an era: for a new id the one in this response, for a resend the one it was first sent with",
	ReasonGenerationNotOpen:  "this era is not open; for a new id use the one in this response",
	ReasonGenerationClosed:   "the era of this request is closed and it will not run now; check whether it ran before, or send it with a new id and era",
	ReasonRetryBudget:        "engines rejected the request and its retries are used up; retry after retry_after_us",
	ReasonCallerGone:         "the caller closed the connection",
	ReasonEngineLost:         "the engine was lost while the request ran; check what it did before sending it again",
	ReasonEngineMalformed:    "the engine's response violated the protocol; check what the request did before sending it again",
	ReasonBackendLost:        "the connection to the back end was lost after the call was sent; check what it did before sending it again",
	ReasonBackendUnreachable: "the back end can't be reached; nothing was sent, retry after retry_after_us",
}

// Remedy returns what a caller can do about a reason.
func Remedy(reason string) string {
	if remedy, known := remedies[reason]; known {
		return remedy
	}
	return "look the reason up in docs/caller-api.md"
}
