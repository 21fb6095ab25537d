// Package probe measures a running fleet from outside: what a proxy and a claim add to the
// time of the first piece, how long a change of the plan takes to be in force everywhere, and
// how much processor time processes have used. The figures of docs/measurements.md come from
// it (scripts/measure, which reads what it prints).
//
// A probe is a struct of settings with a Run method, which sends one request at a time and
// returns when it is done.
package probe
