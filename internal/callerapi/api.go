package callerapi

// Request is the body with which a caller sends a request (docs/caller-api.md).
type Request struct {
	Kind string `json:"kind"`
	// ID is the caller's own name for the request within its group; without one the proxy
	// makes one up.
	ID string `json:"id,omitempty"`
	// Generation is that of the claims which the ID was first sent with; needed with an ID
	// of a once-only kind.
	Generation uint64 `json:"era,omitempty"`
	// DueUS is the time from arrival to the deadline, in microseconds; the kind's own if 0.
	DueUS  int64  `json:"due_us,omitempty"`
	Prompt string `json:"prompt"`
}

// Generation is the answer to the question for the newest generation of claims, which new
// IDs of once-only kinds are sent with (docs/caller-api.md).
type Generation struct {
	Generation uint64 `json:"era"`
}

// Names of frames. The last three end an answer.
const (
	FrameAccepted = "accepted"
	FramePiece    = "piece"
	FrameDone     = "done"
	FrameRefused  = "refused"
	FrameUnknown  = "unknown"
)

// Frame is one line of an answer. The last is done, refused or unknown; an answer without
// such a one is incomplete, and counts as unknown.
type Frame struct {
	Frame        string  `json:"frame"`
	RequestID    string  `json:"ticket,omitempty"` // id of the request
	Node         string  `json:"node,omitempty"`   // name of the proxy
	Index        int     `json:"n,omitempty"`      // of a piece, from 0
	Text         *string `json:"text,omitempty"`   // of a piece
	Pieces       *int    `json:"pieces,omitempty"` // before a last frame
	Generation   uint64  `json:"era,omitempty"`    // newest of claims
	Reason       string  `json:"reason,omitempty"`
	Remedy       string  `json:"remedy,omitempty"`
	RetryAfterUS int64   `json:"retry_after_us,omitempty"` // microseconds
}

// Last reports whether no frame may follow.
func (f Frame) Last() bool {
	return f.Frame == FrameDone || f.Frame == FrameRefused || f.Frame == FrameUnknown
}
