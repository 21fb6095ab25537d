// Package attempt decides a request's next step from the record of its attempts: whether to
// send it to an engine (again), to wait, or to end it, and with what promise to the caller
// (docs/design.md §6 and §14).
//
// There are two kinds of record. A History belongs to a request that the dispatcher queues
// and may guard by a durable once-only claim. A Forward belongs to a request that the proxy
// forwards unopened; the operator's route says whether it is idempotent. Both follow one
// rule: a request that is not idempotent is sent again only when every attempt so far
// provably never ran, and a caller is told that its request was rejected only then as well.
// There are no hedged requests: one attempt at most is in flight.
//
// RetryBudget and RetryWindow bound retries to a part of real traffic, so that retries don't
// multiply an overload. RetryBudget is a token bucket as in Finagle's retry budgets;
// RetryWindow is the bound of docs/design.md §14, which counts over a sliding window.
//
// The package is pure: no clock, no I/O, no goroutines. Times are monotonic microseconds
// given by the caller. Values are not safe for concurrent use: the dispatcher calls its own
// from its single deciding goroutine, the proxy holds its lock around a RetryWindow and
// keeps each Forward to the goroutine of its request.
package attempt
