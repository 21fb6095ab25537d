// Package transport carries frames (package codec) between the project's own processes over
// TCP.
//
// # Protocol
//
// A request is a frame under a reference number that its sender chose; the response bears
// the same number and comes on the same connection. Numbers run on from connection to
// connection, so that a late response of a former connection matches no request. Some
// messages have no response (voter messages, session and load updates) and are handled in the order of their arrival;
// requests are handled concurrently, and answered in any order.
//
// # What callers may rely on
//
// A request is sent at most once: it is never repeated here, and one that its caller gave up
// is not written late. An error leaves open whether the peer handled the request. A message
// without response may be lost at any time; every protocol above (heartbeats, replication)
// repeats what matters (docs/design.md section 9).
//
// # Use
//
// [Peer] and [PeerPool] may be used from any goroutine. A [Handler] is called from several
// goroutines at once and must not block longer than its context. All goroutines belong to
// the task group that is given, and end with it.
package transport
