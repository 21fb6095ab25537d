package transport

import "errors"

// errConnectionLost is why a connection ended that was not closed on purpose.
var errConnectionLost = errors.New("the connection broke")

// RemoteError is a peer's answer that it can't or won't handle a request.
type RemoteError struct {
	Kind string // short name of the cause
	Text string // what is wrong, with the remedy where there is one
}

// Error is the kind and the text.
func (e *RemoteError) Error() string { return e.Kind + ": " + e.Text }
