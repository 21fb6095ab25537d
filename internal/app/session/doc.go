// Package session implements a node's session with the control nodes: heartbeats to one of
// them, whose responses have the plan and the live nodes, and operations on control keys.
//
// # Protocol
//
// The node sends its heartbeats to one control node, the current one. If that one does not
// respond, the node tries the next in its own order of preference. The order comes from
// rendezvous hashing, so that nodes spread over the control nodes, and few move when a control
// node is added or removed. Control nodes exchange their sessions (package membership), so it
// does not matter which of them gets a node's heartbeats. Plans have an age, which counts from
// before the heartbeat was sent (docs/design.md §3, §4.7).
//
// # Goroutines
//
// Run starts one loop in internal/taskgroup. View and Propose are safe for concurrent use.
// Times and durations are in microseconds.
package session
