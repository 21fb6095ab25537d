// Package agent implements the process of the agent beside a proxy. It holds the connections
// to the control nodes and the index nodes, and serves the proxy over loopback, so that a
// restart of the proxy puts no load on the core machines. Package violetthread/agent decides
// which queries to send and does no I/O; this package sends them.
//
// Goroutines are started in internal/taskgroup: one loop of queries, one for each query to an
// index node, and those of the session with a control node. Times are in microseconds.
package agent
