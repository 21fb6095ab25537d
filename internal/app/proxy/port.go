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
type Ask struct {
	Attempt string // the caller's name for this try
	WaitUS  int64  // how long the caller waits, 0 if it did not say
	Key     string
	Model   string
	Parts   []placement.Part
	Tokens  int // of the prompt
	Out     int // at the most
	After   string
}

// Told is what an engine is told beside the caller's own words.
type Told struct {
	Engine   string
	WaitUS   int64
	Tenant   string
	Salt     string
	Source   string
	Dest     string
	Model    string
	Version  uint64
	Priority int
	After    string
}

// Word is what an adapter reads off an engine's answer.
type Word struct {
	Attempt string
	Sealed  bool // the engine's own mark of a success
	Skipped bool // the engine did not run the request and never will
	Loaded  bool
	Running int
	Waiting int
	Slots   int
}

// Door is the adapter between callers, engines and this proxy.
type Door interface {
	Ask(h http.Header) (Ask, error)
	// Tell puts what the engine is told into the headers that go to it.
	Tell(h http.Header, t Told)
	Word(status int, h http.Header) Word
	// Config reads the configuration's register.
	Config(val []byte, rev uint64) *route.Table
}
