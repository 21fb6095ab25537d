package transport

import "errors"

// errConnectionLost is the cause of a connection's end when reading or writing failed, or
// when the peer stopped responding.
var errConnectionLost = errors.New("connection lost")

// RemoteError is a peer's response that it can't or won't handle a request.
type RemoteError struct {
	Kind string // short name of the cause
	Text string // description, with the remedy where there is one
}

func (e *RemoteError) Error() string { return e.Kind + ": " + e.Text }
