// Package proxy is the proxy that passes callers' requests through to engines
// unopened: it takes a request whole, places it, relays the answer as it arrives and
// sees to it that what may run once only does so (design §12, §14).
package proxy

import (
	"net/http"

	"violetthread/placement"
	"violetthread/route"
)

// Ask is what an adapter reads off a caller's request. Times are microseconds.
type RequestInfo struct {
	AttemptID       string // the caller's name for this try
	TimeoutUS       int64  // how long the caller waits, 0 if it did not say
	Key             string
	Model           string
	Blocks          []placement.Block
	PromptTokens    int // of the prompt
	MaxOutputTokens int // at the most
	LastEventID     string
}

// Told is what an engine is told beside the caller's own words.
type EngineRequest struct {
	EngineID    string
	TimeoutUS   int64
	Tenant      string
	Salt        string
	Source      string
	Destination string
	Model       string
	Version     uint64
	Priority    int
	LastEventID string
}

// Word is what an adapter reads off an engine's answer.
type ResponseInfo struct {
	AttemptID       string
	HasSuccessStamp bool // the engine's own mark of a success
	NotRun          bool // the engine did not run the request and never will
	HasLoad         bool
	Running         int
	Waiting         int
	Slots           int
}

// Door is the adapter between callers, engines and this proxy.
type Adapter interface {
	ParseRequest(h http.Header) (RequestInfo, error)
	// Tell puts what the engine is told into the headers that go to it.
	SetEngineHeaders(h http.Header, t EngineRequest)
	ParseResponse(status int, h http.Header) ResponseInfo
	// Config reads the configuration's register.
	ParseConfig(val []byte, rev uint64) *route.Table
}
