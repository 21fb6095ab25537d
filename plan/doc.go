// Package plan is what operators configure of the product's own interface: groups of
// callers with their shares, kinds of request, routes to application back ends, the
// engines' weights, and limits (docs/design.md §2).
//
// A plan is a JSON object. Parse checks it and lists all findings at once; a Change, which
// is a whole plan or an RFC 7396 merge patch, is applied to the plan in force; Compile
// makes it ready for the path of a request. The register of the control state contains the
// operator's text to the byte, after a Seal that says since which revision each cache
// domain exists (docs/design.md §2.1).
//
// Nodes that are not voters have the plan as a Cached value, which knows how old its last
// confirmation is: every hop adds its own delay to the age, and no wall clock takes part
// (docs/design.md §3).
//
// The package is pure. Compiled never changes after it is made and may be read from any
// goroutine; the other types are values.
package plan
