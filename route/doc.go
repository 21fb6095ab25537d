// Package route is the configuration of the requests that a fleet forwards unopened
// (docs/design.md §12): which pool of engines a request's host and path lead to and on what
// terms, which tenant its key belongs to, which cached prompt blocks it may share, and which
// version of a model's weights may still serve it.
//
// Two registers of the agreement core hold it. ConfigKey holds a Document: the operator's
// configuration text and the changes that led there. Change.Apply decides a change against
// the current Document; the caller puts the result into the register on condition of the
// revision it read (optimistic concurrency), and decides anew when that condition fails.
// WeightsKey holds WeightVersions. Announcements are not stored: they say since when a
// node has known each version, by which the bound on outdated weights is kept.
//
// The package knows no platform's words: an adapter translates an operator's text into a
// Config. It is pure: no clock, no I/O, no goroutines. A Config, Table, Document or
// WeightVersions is not changed once made, and may be shared between goroutines; an
// Announcements belongs to one goroutine at a time.
package route
