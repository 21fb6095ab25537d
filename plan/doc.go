// Package plan is the configuration that operators write for the product's own interface:
// groups of callers with their shares, kinds of request, routes to application back ends,
// the engines' weights, and limits (docs/design.md §2).
//
// A plan is a JSON object. Parse validates it and returns all findings at once; a Change,
// which is a complete plan or an RFC 7396 merge patch, is applied to the plan in force; Compile
// prepares it for use while requests are handled. The register of the control state contains
// the operator's text byte for byte, preceded by a DomainHistory that records the revision
// at which each cache domain began (docs/design.md §2.1).
//
// Nodes that are not voters hold the plan as a Cached value, which tracks the age of its
// last confirmation: every hop adds its own delay to the age, and no wall clock is used
// (docs/design.md §3).
//
// The package does no I/O and reads no clock. Compiled is immutable and may be read from any
// goroutine; the other types are values.
package plan
