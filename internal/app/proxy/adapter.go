package proxy

import (
	"net/http"

	"violetthread/placement"
	"violetthread/route"
)

// RequestInfo is what an adapter reads off a caller's request.
type RequestInfo struct {
	AttemptID       string // the caller's name for this attempt
	TimeoutUS       int64  // microseconds that the caller waits, 0 if it did not say
	Key             string // of the tenant, empty for none
	Model           string
	Blocks          []placement.Block // of the prompt
	PromptTokens    int
	MaxOutputTokens int
	LastEventID     string // the caller has a stream's events up to this one
}

// EngineRequest is what an engine is told beside the caller's own request.
type EngineRequest struct {
	EngineID    string // of the incarnation that is meant
	TimeoutUS   int64  // microseconds left to answer
	Tenant      string // empty on a public route
	Salt        string // of the keys of the prompt's blocks
	Source      string // address to fetch cached blocks from, empty for none
	Destination string // address to send computed blocks to, empty for none
	Model       string
	Version     uint64 // of the model's weights that must be run
	Priority    int    // 0 is the highest
	LastEventID string // a stream goes on after this event
}

// ResponseInfo is what an adapter reads off the head of an engine's answer.
type ResponseInfo struct {
	AttemptID       string // of the request that it answers
	HasSuccessStamp bool   // the engine's own sign of a success
	NotRun          bool   // the engine did not run the request and never will
	HasLoad         bool   // Running, Waiting and Slots were reported
	Running         int    // requests at the engine; not used
	Waiting         int
	Slots           int // not used
}

// Adapter translates between callers, engines and the proxy. Its methods are called from many
// goroutines at once.
type Adapter interface {
	// ParseRequest reads a caller's headers. An error is answered as a malformed request.
	ParseRequest(h http.Header) (RequestInfo, error)
	// SetEngineHeaders puts what the engine is told into the headers that go to it, and
	// takes out what it must not see.
	SetEngineHeaders(h http.Header, r EngineRequest)
	// ParseResponse reads the status and headers of an engine's answer.
	ParseResponse(status int, h http.Header) ResponseInfo
	// ParseConfig reads the value of the configuration's register; nil if it is malformed.
	ParseConfig(value []byte, revision uint64) *route.Table
}
