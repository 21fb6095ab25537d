// Package probe measures a running fleet from outside: the latency that a proxy and a claim
// add to the first piece, how long a change of the plan takes to be in force at all proxies,
// and how much CPU time processes have used. scripts/measure uses it to produce the figures of
// docs/measurements.md, and reads its output.
//
// A probe is a struct of settings with a Run method, which sends one request at a time and
// returns when it is done.
package probe
