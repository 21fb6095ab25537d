package codec

import "fmt"

// FormatError means that bytes are not a valid buffer of the schema. Nothing further from the
// same connection or disk can be trusted.
type FormatError struct {
	Fault string // what is malformed
}

// Error describes the fault and the remedy.
func (e *FormatError) Error() string {
	return fmt.Sprintf("malformed buffer: %s; close this connection and check the version of the sender", e.Fault)
}

// FrameSizeError means that the declared length of a frame is over MaxFrameBytes.
type FrameSizeError struct {
	Bytes uint32 // declared length
}

// Error describes the fault and the remedy.
func (e *FrameSizeError) Error() string {
	return fmt.Sprintf("a frame of %d bytes is over the limit of %d; the peer is probably not a node of a fleet, close the connection", e.Bytes, MaxFrameBytes)
}
