package proxy

import (
	"net/http"

	"violetthread/placement"
	"violetthread/route"
)

// RequestInfo is what an adapter parses from a caller's request headers.
type RequestInfo struct {
	AttemptID       string // chosen by the caller
	TimeoutUS       int64  // how long the caller waits for the response, in microseconds; 0 if not given
	Key             string // API key of the tenant, empty for none
	Model           string
	Blocks          []placement.Block // of the prompt
	PromptTokens    int
	MaxOutputTokens int
	LastEventID     string // last event of a stream that the caller has received
}

// EngineRequest is what the proxy tells an engine in addition to the caller's own request.
type EngineRequest struct {
	EngineID    string // of the incarnation that the request is meant for
	TimeoutUS   int64  // microseconds left for the response
	Tenant      string // empty on a public route
	Salt        string // of the keys of the prompt's blocks
	Source      string // address to fetch cached blocks from, empty for none
	Destination string // address to send computed blocks to, empty for none
	Model       string
	Version     uint64 // of the model's weights that must be used
	Priority    int    // 0 is the highest
	LastEventID string // a resumed stream continues after this event
}

// ResponseInfo is what an adapter parses from the status and headers of an engine's response.
type ResponseInfo struct {
	AttemptID       string // of the request that is answered
	HasSuccessStamp bool   // the engine has marked the response as a success of its own
	NotRun          bool   // the engine has not run the request and never will
	HasLoad         bool   // whether Running, Waiting and Slots were reported
	Running         int    // requests at the engine; not used
	Waiting         int
	Slots           int // not used
}

// Adapter translates between the message formats of callers and engines and those of the proxy. Its
// methods must be safe for concurrent use.
type Adapter interface {
	// ParseRequest parses a caller's headers. On an error the request is rejected as malformed.
	ParseRequest(h http.Header) (RequestInfo, error)
	// SetEngineHeaders adds r to the headers of the request to the engine, and removes headers that
	// the engine must not see.
	SetEngineHeaders(h http.Header, r EngineRequest)
	// ParseResponse parses the status and headers of an engine's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ValidEventField reports whether a field that is not part of the standard for server-sent events
	// may stand before the others in an event of an engine's stream.
	ValidEventField(name, value string) bool
	// ParseConfig parses the value of the configuration register; nil if it is malformed.
	ParseConfig(value []byte, revision uint64) *route.Table
}
