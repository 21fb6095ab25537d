// Command vocabulary checks the whole module for readable names and functions:
//
//   - names: withdrawn words (withdrawn.txt) in identifiers, files, packages, log events and
//     keys, and documentation of exported items; log events and keys that are not snake_case
//   - test-names: the same in test files
//   - shape: long functions, tangled functions, long parameter lists (.revive-shape.toml),
//     and files over 400 lines; test files are not measured
//
// Packages that are not done yet stand in not-done.txt, a line for each package and check.
// Any finding in another package fails, and so does a line whose package is gone or has no
// finding left: the list can only shrink. Generated code is not checked.
//
//	go run ./scripts/vocabulary            checks; exit code 1 with findings
//	go run ./scripts/vocabulary -all       prints the findings of listed packages too
//	go run ./scripts/vocabulary -shrink    removes lines that are done from the list
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
)

const (
	withdrawnFile = "scripts/vocabulary/withdrawn.txt"
	notDoneFile   = "scripts/vocabulary/not-done.txt"
)

func main() {
	all := flag.Bool("all", false, "print the findings of listed packages too")
	shrink := flag.Bool("shrink", false, "remove lines that are done from the list")
	flag.Parse()
	failed, err := run(os.Stdout, *all, *shrink)
	if err != nil {
		fmt.Fprintln(os.Stderr, "vocabulary:", err)
		os.Exit(2)
	}
	if failed {
		os.Exit(1)
	}
}

// run checks the module in the working directory.
func run(out io.Writer, all, shrink bool) (failed bool, err error) {
	words, err := readWords(withdrawnFile)
	if err != nil {
		return false, err
	}
	list, err := readList(notDoneFile)
	if err != nil {
		return false, err
	}
	findings, err := checkNames(".", words)
	if err != nil {
		return false, err
	}
	shape, err := checkShape(".")
	if err != nil {
		return false, err
	}
	findings = append(findings, shape...)
	if shrink {
		return false, list.shrink(findings).write(notDoneFile)
	}
	return report(out, findings, list, all), nil
}

// report prints what fails, and tells whether anything does.
func report(out io.Writer, findings []finding, list notDone, all bool) (failed bool) {
	for _, f := range findings {
		if listed := list.has(f.key()); all || !listed {
			fmt.Fprintln(out, f)
			failed = failed || !listed
		}
	}
	for _, k := range list.stale(findings) {
		fmt.Fprintf(out, "%s: no findings of %s are left in %s; remove the line (-shrink does)\n", notDoneFile, k.check, k.pkg)
		failed = true
	}
	return failed
}
