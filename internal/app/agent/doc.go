// Package agent is the process of the agent beside a proxy: it keeps the connections to
// the control nodes and the index nodes, and answers the proxy over loopback, so that a
// restart of the proxy costs the core nothing. What it asks whom is decided by package
// violetthread/agent, which is pure; this package carries it out.
//
// Goroutines start in internal/taskgroup: one loop of queries, one call to each index
// node, and those of the session with a control node. Times are microseconds.
package agent
