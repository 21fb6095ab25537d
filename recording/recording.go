// Package recording stores the inputs and outputs of a decision component (the gateway's
// dispatcher or an index node), so that people can read its decisions and the same code can
// replay them (package recording/replay; docs/design.md section 11). This requires the
// components to be deterministic: time and random numbers are inputs.
//
// A recording is a file with one JSON object per line: a [Header], then an [Event] for each
// call of the component, in the order of the calls. Its size is limited, and recording stops
// at the limit. Old events are not overwritten, because a recording without its beginning
// can't be replayed.
//
// A [Writer] is used by one goroutine at a time: the one that calls the component, under the
// same lock.
package recording

import "encoding/json"

// Version is the version of the file format and of the decision rules. Recordings of other
// versions are rejected, because other rules may lead to other decisions.
const Version = 2

// Values of Header.Component. They are stored in recordings.
const (
	ComponentDispatcher = "desk"
	ComponentIndexNode  = "keeper"
)

// Header is the first line of a recording: the parameters that the component was created with.
type Header struct {
	Version     int    `json:"tape"` // Create sets it
	Component   string `json:"part"`
	Name        string `json:"name"` // of the node
	Zone        string `json:"site"` // of the node
	Incarnation uint64 `json:"inc"`  // of the process
}

// Event is one call of the component: its arguments and its result.
type Event struct {
	TimeUS int64           `json:"at"`            // the node's time since boot, in microseconds
	Type   string          `json:"kind"`          // identifies the method
	Input  json.RawMessage `json:"in,omitempty"`  // absent for a call without arguments
	Output json.RawMessage `json:"out,omitempty"` // absent for a call without a result
}
