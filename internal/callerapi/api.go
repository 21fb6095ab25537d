// Package callerapi is what callers send and get: HTTP/1.1 with JSON, frames
// one a line (docs/caller-api.md).
package callerapi

// Ticket is the body of POST /v1/tickets.
type Request struct {
	Kind       string `json:"kind"`
	ID         string `json:"id,omitempty"`
	Generation uint64 `json:"era,omitempty"`    // with an id of a once-only kind
	DueUS      int64  `json:"due_us,omitempty"` // counted from arrival
	Prompt     string `json:"prompt"`
}

// Era is the answer to GET /v1/era: what new ids of once-only kinds are sent with.
type Generation struct {
	Generation uint64 `json:"era"`
}

// Frame is one line of an answer. The last is done, refused or unknown.
type Frame struct {
	Frame        string  `json:"frame"`
	Ticket       string  `json:"ticket,omitempty"`
	Node         string  `json:"node,omitempty"`
	Index        int     `json:"n,omitempty"`
	Text         *string `json:"text,omitempty"`
	Pieces       *int    `json:"pieces,omitempty"`
	Generation   uint64  `json:"era,omitempty"`
	Reason       string  `json:"reason,omitempty"`
	Remedy       string  `json:"remedy,omitempty"`
	RetryAfterUS int64   `json:"retry_after_us,omitempty"`
}

// Last reports whether no frame may follow.
func (f Frame) Last() bool { return f.Frame == "done" || f.Frame == "refused" || f.Frame == "unknown" }

var remedies = map[string]string{
	"key-missing":         "send your group's key as Authorization: Bearer KEY",
	"key-unknown":         "this key is in no group of the plan in force; ask an operator",
	"key-taken":           "your key was taken away; ask an operator for another",
	"kind-taken":          "your group may not send this kind; ask an operator",
	"wall-changed":        "your group's wall was changed meanwhile; send the ticket again",
	"too-large":           "keep the body within 4 MiB",
	"unknown-field":       "send only kind, id, era, due_us and prompt",
	"malformed":           "send one JSON object with kind, id, era, due_us and prompt",
	"unknown-kind":        "use a kind that the plan names",
	"bad-id":              "use at most 128 printable characters without spaces",
	"due-past":            "give due_us as microseconds from now, above zero",
	"due-too-far":         "give a due within the kind's max_due_us",
	"due-unreachable":     "it can't be done by its due; come back after retry_after_us, or give it a later due",
	"due-passed":          "its due passed while it ran; look at what it did before sending it again",
	"queue-full":          "your group has too many waiting; come back after retry_after_us",
	"no-engine":           "no engine has room for this proxy just now; come back after retry_after_us",
	"plan-not-fresh":      "this proxy can't prove that its plan is in force; try another, or come back after retry_after_us",
	"stopping":            "this proxy is about to stop; try another",
	"claim-unavailable":   "the control nodes did not answer; it has not run, send it again",
	"duplicate":           "a ticket of this id was taken before; look at what that one did, or send it under a new id",
	"era-missing":         "an id of a once-only kind needs an era: for a new id the one given here, for a resend the one it was first sent with",
	"era-unopened":        "that era is not open; for a new id take the one given here",
	"era-closed":          "its era is over, it will not run now; look at whether it ran then, or send it under a new id and era",
	"retry-budget":        "engines turned it away and retries are used up; come back after retry_after_us",
	"caller-gone":         "the caller hung up",
	"engine-lost":         "the engine was lost while it ran; look at what it did before sending it again",
	"engine-malformed":    "the engine's answer broke the protocol; look at what it did before sending it again",
	"backend-lost":        "the back end was lost after the call was sent; look at what it did before sending it again",
	"backend-unreachable": "the back end can't be reached; nothing was sent, come back after retry_after_us",
}

// Remedy tells what to do about a reason.
func Remedy(reason string) string {
	if r := remedies[reason]; r != "" {
		return r
	}
	return "look the reason up in docs/caller-api.md"
}
