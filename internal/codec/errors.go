package codec

import "fmt"

// FormatError means that bytes are no buffer of the schema. The connection or the disk that
// they came from can't be trusted any further.
type FormatError struct {
	Fault string // what is wrong
}

// Error names the remedy.
func (e *FormatError) Error() string {
	return fmt.Sprintf("malformed buffer: %s; close this connection and look at the sender's version", e.Fault)
}

// FrameSizeError means that a frame claims to be longer than MaxFrameBytes.
type FrameSizeError struct {
	Bytes uint32 // length that the frame claims
}

// Error names the remedy.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("a frame of %d bytes is over %d; this peer is no node of a fleet, close the connection", e.Bytes, MaxFrameBytes)
}
