// Package gateway is the proxy of the product's own interface, program violetthread-gateway:
// callers' requests come in over HTTP and run on the engines that package dispatch chooses.
//
// The gateway polls the agent beside it for the plan, its engine grants and cache updates,
// and has claims carried out through it (docs/design.md §3 and §6). What it decides stands
// in package dispatch, which is pure; this package has its sockets and its clock.
//
// All state of the dispatcher is behind one lock, which is held around each step: a call of
// the dispatcher and handing its actions on. No step waits. Each attempt, claim and release
// runs on a goroutine of its own in the daemon's task group. The plan and the hint table
// are read without the lock.
package gateway
