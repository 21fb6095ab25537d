// Package membership is the table of sessions: which nodes of a fleet are live, according to
// their heartbeats to any control node.
//
// # Protocol
//
// Each control node keeps the sessions of the nodes that send their heartbeats to it, and
// periodically announces them to the other control nodes. A control node that receives another
// one's announcements relays its sessions to third control nodes that do not receive them, over
// one hop only, so that the loss of a single link ends no session (docs/design.md §4.7). This is
// an all-to-all exchange with one relay hop, not a gossip protocol such as SWIM, because there
// are few control nodes. Nothing in this package needs a majority.
//
// # Assumptions
//
// Announcements carry the age of each node's last heartbeat, not its time, and the transit time
// of an announcement is not added to the age. A session may therefore end late by the transit
// time, but never early while announcements of its control node arrive.
//
// The package has no clock; times are microseconds of the caller's monotonic clock. All methods
// are safe for concurrent use.
package membership
