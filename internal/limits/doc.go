// Package limits bounds what the peers of a process can make it hold: connections, message heads,
// bodies that are incomplete or wait for an answer, answers that are not read, and bytes that the kernel
// keeps for the process. The peers are callers, operators, engines and other nodes, and none of them is
// trusted to be quick or brief.
//
// # Bounds
//
// A [Machine] has memory and file descriptors. Each listening port of a process gets a share of both, a
// [Port], so that a crowd at one port does not starve another one. The share of the memory has two
// parts:
//
//   - Connections. Each connection is accounted with connectionBytes, which cover its goroutines,
//     buffers and small requests, and the kernel's buffers, whose size [Listen] fixes. This bounds the
//     number of connections.
//   - Held bytes. What a connection holds beyond that is reserved with [Conn.Reserve] before it is
//     allocated, and is released when its request has been answered or the connection ends.
//
// # Eviction
//
// A port at its bound does not turn new peers away as long as connections exist that wait for their
// peer: idle ones, those in the middle of a request, and those whose peer does not read. The one that
// has waited the longest is closed. So a crowd of stalled peers gives way to peers that make progress.
// Connections that have been useful before (see [Conn.Prove]) are closed after all others. A connection
// whose request is in service is never closed for another one; if only such connections are left, new
// connections are closed and reservations fail, and the request is rejected with a promise that it has
// not run.
//
// # Concurrency
//
// All methods may be called from any goroutine. The methods of a nil *Conn do nothing and allow
// everything, so that handlers also work on connections from other listeners.
package limits
