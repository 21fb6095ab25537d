// Package gateway implements the proxy of the product's own interface, program
// violetthread-gateway: it receives callers' requests over HTTP and runs them on the engines
// that package dispatch selects.
//
// The gateway polls the agent beside it for the plan, engine grants and cache updates, and
// executes operations on claims through it (docs/design.md §3 and §6). Package dispatch makes
// the decisions and does no I/O; this package has the sockets and the clock.
//
// Plain calls are all other HTTP requests of callers. They don't go through the dispatcher: the
// gateway forwards them to the application back ends that the plan names for their paths.
//
// One lock guards all state of the dispatcher. It is held for each step, which is a call of
// the dispatcher and the start of the actions that it returns; no step blocks. Each attempt,
// claim and release runs in a goroutine of its own in the daemon's task group. The plan and
// the hint table are read without the lock.
package gateway
