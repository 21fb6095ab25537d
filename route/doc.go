// Package route is the configuration of the requests that a fleet forwards without parsing
// their bodies (docs/design.md §12): which pool of engines the host and path of a request are
// routed to and with which settings, which tenant its API key belongs to, which cached prompt
// blocks it may share, and which versions of a model's weights may still serve it.
//
// It is stored in two of the replicated registers of package quorum. ConfigKey holds a Document:
// the operator's configuration text and the changes that led to it. Change.Apply decides a change
// against the current Document; the caller writes the result on condition that the register
// still has the revision it read (optimistic concurrency control), and decides again if that
// condition fails. WeightsKey holds WeightVersions. Announcements are not stored: they hold
// since when a node has known each version, to enforce the limit on the use of outdated weights.
//
// The package does not depend on a platform's configuration format: an adapter translates the
// operator's text into a Config. It has no clock, no I/O and no goroutines. A Config, Table,
// Document or WeightVersions is immutable once built and may be shared between goroutines; an
// Announcements must be used by one goroutine at a time.
package route
