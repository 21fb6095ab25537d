// Package attempt decides the next step of a request from the attempts made so far: send it
// to an engine (again), wait, or finish it, and what to tell the caller about whether it ran
// (docs/design.md §6 and §14).
//
// There are two kinds of record. A History belongs to a request that the dispatcher queues
// and may protect with a durable once-only claim. A Forward belongs to a request that the
// proxy passes to an engine without parsing its body; the operator's route says whether it
// is idempotent. Both follow one rule: a request that is not idempotent is sent again only if
// every attempt so far provably never ran, and any request is reported to its caller as
// rejected only in that case. There are no hedged requests: at most one attempt is in flight.
//
// RetryBudget and RetryWindow limit retries to a fraction of the regular traffic, so that
// retries do not amplify an overload. RetryBudget is a token bucket as in Finagle's retry
// budgets; RetryWindow is the limit of docs/design.md §14, which counts over a sliding window.
//
// The package has no clock, no I/O and no goroutines. Times are monotonic microseconds
// passed in by the caller. Values are not safe for concurrent use: the dispatcher uses its
// own from its single deciding goroutine; the proxy holds its lock around a RetryWindow and
// uses each Forward only from the goroutine of its request.
package attempt
