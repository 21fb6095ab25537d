package callerapi

// Request is the body of a caller's request (docs/caller-api.md).
type Request struct {
	Kind string `json:"kind"`
	// ID identifies the request within the caller's group; if empty, the proxy generates one.
	ID string `json:"id,omitempty"`
	// Generation is the generation of claims with which the ID was first sent; required with
	// an ID of a once-only kind.
	Generation uint64 `json:"era,omitempty"`
	// DueUS is the time from arrival to the deadline, in microseconds; 0 means the default of
	// the kind.
	DueUS  int64  `json:"due_us,omitempty"`
	Prompt string `json:"prompt"`
}

// Generation is the response to a query for the newest generation of claims, with which new
// IDs of once-only kinds are sent (docs/caller-api.md).
type Generation struct {
	Generation uint64 `json:"era"`
}

// Values of Frame.Frame. The last three end a response.
const (
	FrameAccepted = "accepted"
	FramePiece    = "piece"
	FrameDone     = "done"
	FrameRefused  = "refused"
	FrameUnknown  = "unknown"
)

// Frame is one line of a response. The last one is done, refused or unknown; a response that
// ends without one of these is incomplete, and its outcome is unknown.
type Frame struct {
	Frame        string  `json:"frame"`
	RequestID    string  `json:"ticket,omitempty"` // id of the request
	Node         string  `json:"node,omitempty"`   // name of the proxy
	Index        int     `json:"n,omitempty"`      // of a piece, from 0
	Text         *string `json:"text,omitempty"`   // of a piece
	Pieces       *int    `json:"pieces,omitempty"` // in a last frame: number of pieces sent before it
	Generation   uint64  `json:"era,omitempty"`    // newest generation of claims
	Reason       string  `json:"reason,omitempty"`
	Remedy       string  `json:"remedy,omitempty"`
	RetryAfterUS int64   `json:"retry_after_us,omitempty"` // microseconds
}

// Last reports whether this frame ends a response.
func (f Frame) Last() bool {
	return f.Frame == FrameDone || f.Frame == FrameRefused || f.Frame == FrameUnknown
}
