// Package codec turns messages between the project's own processes into frames and back,
// and records of the control state into the bytes that lie on a voter's disk. The schema is
// schema/violetthread.fbs; package schema/fb is made from it.
//
// # Frames
//
// A frame is the length of its body and the CRC-32C of its body, four bytes each, little
// endian, and the body: a FlatBuffers buffer whose root is the table Frame. Fields are known
// by their numbers, so that versions whose tables end in different fields understand each
// other (docs/design.md section 9).
//
// # Trust
//
// FlatBuffers for Go reads without checking. Every buffer is walked by the declared tables
// first ([Verify]), so that bytes from a broken peer or disk end in an error: never in a
// panic, and never in an allocation larger than the buffer.
//
// # Use
//
// All functions are pure and may be called from any goroutine. The adapters between tables
// and the types of deciding packages (quorum, index, dispatch, cacheindex) stand here too, so
// that these packages need not know the schema; those that take an index node, a dispatcher
// or a table are called under its owner's lock.
package codec
