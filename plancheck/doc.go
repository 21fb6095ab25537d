// Package plancheck checks a plan against the fleet as it is, before an operator puts it in
// force: program violetthread-validate gathers the fleet and prints the findings
// (docs/operating.md). What is wrong with a plan by itself, package plan finds.
//
// The package is pure, and may be used from any goroutine.
package plancheck
