// Package membership is the table of sessions: which nodes of a fleet are live, by their
// heartbeats to any control node.
//
// # Protocol
//
// Each control node keeps the sessions of the nodes that send their heartbeats to it, and
// announces them to the other control nodes every so often. A control node that hears
// another one relays its sessions to third ones that do not, one hop and no further, so
// that one cut link ends no session (docs/design.md §4.7). It is an all-to-all exchange
// with one relay hop, not a gossip protocol such as SWIM: there are few control nodes.
// Nothing here decides anything that needs a majority.
//
// # Assumptions
//
// Sessions are aged, not dated: an announcement says how long ago each node was heard, and
// its way adds to no age. A session may therefore end late by as long as an announcement
// was under way, and never early while its control node is heard.
//
// The package is pure: it has no clock, and times are microseconds of the caller's
// monotonic clock. All methods may be called from any goroutine.
package membership
