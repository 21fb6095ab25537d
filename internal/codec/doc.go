// Package codec encodes and decodes the frames that the project's own processes exchange, and
// the records of the control state in a voter's write-ahead log. The schema is
// schema/violetthread.fbs; package schema/fb is generated from it.
//
// # Frames
//
// A frame consists of the length of its body, the CRC-32C of its body (four bytes each, little
// endian) and the body: a FlatBuffers buffer whose root is the table Frame. Fields are
// identified by their numbers, so that versions can communicate when one of them has appended
// fields to a table (docs/design.md section 9).
//
// # Untrusted input
//
// FlatBuffers for Go does not check bounds when it reads. [Verify] therefore checks every
// buffer against the declared tables first, so that malformed bytes from a peer or a disk
// cause an error, never a panic or an allocation larger than the buffer.
//
// # Concurrency
//
// Functions may be called from any goroutine and keep no state. The package also holds the
// adapters between tables and the types of the packages quorum, index, dispatch and
// cacheindex, so that these do not depend on the schema; a caller of an adapter that takes an
// index node, a dispatcher or a hint table must hold the lock that protects it.
package codec
