// Package transport carries frames (package codec) between the project's own processes over
// TCP.
//
// # Protocol
//
// A request is a frame with a reference number chosen by the sender; the response has the
// same number and arrives on the same connection. The numbers are not reset when a
// connection is replaced, so a late response from an earlier connection matches no request.
// One-way messages (voter messages, session and load updates) have no response and are
// handled in the order of their arrival. Requests are handled concurrently, and their
// responses may arrive in any order.
//
// # Guarantees
//
// A request is sent at most once: this package never retries, and a request whose caller
// gave up before it was written is not written later. After an error other than
// [RemoteError] it is unknown whether the peer handled the request. A one-way message may be
// lost at any time; every protocol built on them (heartbeats, replication) repeats what
// matters (docs/design.md section 9).
//
// # Concurrency
//
// [Peer] and [PeerPool] may be used from any goroutine. A [Handler] is called from several
// goroutines at once and must not block beyond the end of its context. All goroutines are
// started in the given task group and end with it.
package transport
