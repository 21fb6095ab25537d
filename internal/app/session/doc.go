// Package session is a node's session with the control nodes: heartbeats to one of them,
// which bring the plan and the live nodes back, and operations on control keys.
//
// # Protocol
//
// The node sends its heartbeats to one control node, the current one; without an answer it
// goes over to the next in its own order of preference (rendezvous hashing, so that nodes
// spread over control nodes and stay where they are when one comes or goes). Control nodes
// exchange their sessions (package membership), so that it does not matter which one hears
// a node. What comes back carries its age, counted from before the heartbeat was sent
// (docs/design.md §3, §4.7).
//
// # Goroutines
//
// Run starts one loop in internal/taskgroup. View and Propose may be called from any
// goroutine. Times and durations are microseconds.
package session
