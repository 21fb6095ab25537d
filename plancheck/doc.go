// Package plancheck checks a plan against the current state of the fleet, before an operator
// puts it in force: the program violetthread-validate reads the state and prints the findings
// (docs/operating.md). Package plan validates a plan by itself.
//
// The package does no I/O, and may be used from any goroutine.
package plancheck
