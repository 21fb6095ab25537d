// Command vocabulary checks all packages of the module for readable names and functions:
//
//   - names: withdrawn words (withdrawn.txt) in identifiers, files, packages, log events and
//     keys, and documentation of exported items; log events and keys that are not snake_case
//   - test-names: the same in test files
//   - shape: long functions, complex functions, long parameter lists (.revive-shape.toml),
//     and files over 400 lines; test files are not measured
//
// Packages that do not pass yet are listed in not-done.txt, one line for each package and check.
// The command fails if a package that is not listed has findings, and also if a listed package has
// no findings or does not exist any more, so that the list can only shrink. Generated code is not
// checked.
//
//	go run ./scripts/vocabulary            checks; exit code 1 if it fails
//	go run ./scripts/vocabulary -all       also prints the findings of listed packages
//	go run ./scripts/vocabulary -shrink    removes lines without findings from the list
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
	shrink := flag.Bool("shrink", false, "remove lines without findings from the list")
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

// report prints the findings and list entries that make the check fail, and returns whether there
// are any.
func report(out io.Writer, findings []finding, list notDone, all bool) (failed bool) {
	for _, f := range findings {
		if listed := list.has(f.key()); all || !listed {
			fmt.Fprintln(out, f)
			failed = failed || !listed
		}
	}
	for _, k := range list.stale(findings) {
		fmt.Fprintf(out, "%s: no %s findings are left in %s; remove the line (-shrink does)\n", notDoneFile, k.check, k.pkg)
		failed = true
	}
	return failed
}
