// Package recording stores what went into a deciding component (the gateway's dispatcher,
// an index node) and what came out, so that the same decisions can be read by people and
// made again by the same code (package recording/replay; docs/design.md section 11). It
// rests on the components being deterministic: time and random draws are inputs.
//
// A recording is a file of JSON objects, one a line: a [Header], then an [Event] for each
// call of the component, in the order of the calls. Its size is bounded; recording stops
// at the bound, because one without its beginning can't be replayed.
//
// A [Writer] is used by one goroutine at a time: the one that calls the component, under
// the same lock.
package recording

import "encoding/json"

// Version is the version of the stored form and of the rules that decided. A recording of
// another version is refused, since other rules may decide otherwise.
const Version = 2

// Components that are recorded, as Header.Component names them. The values are stored.
const (
	ComponentDispatcher = "desk"
	ComponentIndexNode  = "keeper"
)

// Header is the first line of a recording: what the component was made with.
type Header struct {
	Version     int    `json:"tape"` // Create sets it
	Component   string `json:"part"`
	Name        string `json:"name"` // of the node
	Zone        string `json:"site"` // of the node
	Incarnation uint64 `json:"inc"`  // of the process
}

// Event is one call of the component: its arguments, and what was decided.
type Event struct {
	TimeUS int64           `json:"at"`            // the node's time since boot, in microseconds
	Type   string          `json:"kind"`          // which call it was
	Input  json.RawMessage `json:"in,omitempty"`  // nothing for a call without arguments
	Output json.RawMessage `json:"out,omitempty"` // nothing for a call without result
}
