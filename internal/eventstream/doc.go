// Package eventstream parses and validates server-sent events (the WHATWG HTML standard, section
// "Server-sent events"), so that a proxy can pass on an engine's stream without passing on anything
// else.
//
// The standard tells a receiver to ignore what it does not know. A proxy has to be stricter: what it
// ignores, the caller may not. An event is valid here if every party that follows the standard reads
// the same single event from it, and if it has an id, so that the caller knows its position in the
// stream:
//
//   - it is UTF-8 text without control characters, and its lines end in LF or CRLF;
//   - its lines are fields of the standard, or extension fields that stand before them;
//   - it has exactly one id, a decimal number, and at least one data line;
//   - it ends with a blank line.
//
// Within a stream, ids rise. Blocks that consist of comments alone are dropped: they are no events.
//
// The package has no clock and no goroutines. A Reader is used by one goroutine.
package eventstream
