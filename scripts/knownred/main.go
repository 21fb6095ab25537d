// Command knownred runs go test and ignores failures of the tests in a list (KNOWN-RED.txt). It
// fails on any other failure, and also if a listed test passes, is skipped or does not run: an
// outdated list would hide the next fault.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"slices"
	"strings"
)

const listFile = "KNOWN-RED.txt"

func main() {
	list, err := os.ReadFile(listFile)
	if err != nil {
		fmt.Fprintln(os.Stderr, "known-red:", err)
		os.Exit(2)
	}
	known, err := parseList(string(list))
	if err != nil {
		fmt.Fprintf(os.Stderr, "known-red: %v\n", err)
		os.Exit(2)
	}
	r := newRun(known, os.Stdout)
	for _, args := range splitGroups(os.Args[1:]) {
		if err := r.test(args); err != nil {
			fmt.Fprintf(os.Stderr, "known-red: %v\n", err)
			os.Exit(2)
		}
	}
	if !r.finish() {
		os.Exit(1)
	}
}

// splitGroups splits the arguments at "--".
func splitGroups(args []string) (groups [][]string) {
	for {
		i := slices.Index(args, "--")
		if i < 0 {
			return append(groups, args)
		}
		groups, args = append(groups, args[:i]), args[i+1:]
	}
}

// knownFailure is one entry of the list.
type knownFailure struct{ test, cause, issue string }

// parseList parses a list: lines of the form "package.Test | cause | issue", and comments.
func parseList(text string) (list []knownFailure, err error) {
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || line[0] == '#' {
			continue
		}
		fields := strings.Split(line, "|")
		for j := range fields {
			fields[j] = strings.TrimSpace(fields[j])
		}
		pkg, test, ok := strings.Cut(fields[0], ".")
		if len(fields) != 3 || !ok || pkg == "" || test == "" || fields[1] == "" || fields[2] == "" {
			return nil, fmt.Errorf("%s:%d: expected package.Test | cause | issue", listFile, i+1)
		}
		if slices.ContainsFunc(list, func(r knownFailure) bool { return r.test == fields[0] }) {
			return nil, fmt.Errorf("%s:%d: %s is listed twice", listFile, i+1, fields[0])
		}
		list = append(list, knownFailure{fields[0], fields[1], fields[2]})
	}
	return list, nil
}

// event is one line of the output of go test -json.
type event struct {
	Action, Package, Test, Output, ImportPath, FailedBuild string
}

// packageRun is the state of one package's tests while they run.
type packageRun struct {
	lines   []string            // output that belongs to no test
	output  map[string][]string // output of each test that has not passed
	state   map[string]string   // state of each test: run, pass, fail or skip
	order   []string            // tests in the order in which they started
	aborted bool                // the process ended for another reason than failed tests
}

type run struct {
	out      io.Writer
	known    []knownFailure
	running  map[string]*packageRun // by import path
	state    map[string]string      // final state of every test, by package.Test
	failures []string               // reasons why the run as a whole fails
	module   string                 // prefix of import paths that is not printed
}

func newRun(known []knownFailure, out io.Writer) *run {
	return &run{out: out, known: known, running: map[string]*packageRun{}, state: map[string]string{}, module: "violetthread/"}
}

// test runs go test once.
func (r *run) test(args []string) error {
	command := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	command.Stderr = os.Stderr
	stdout, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	fails, err := r.readEvents(stdout)
	if err != nil {
		_ = command.Wait()
		return err
	}
	if err := command.Wait(); err != nil && fails == 0 {
		r.failures = append(r.failures, "go test "+strings.Join(args, " ")+": "+err.Error())
	}
	return nil
}

// readEvents handles the events of one go test, and returns the number of packages that failed.
func (r *run) readEvents(in io.Reader) (fails int, err error) {
	decoder := json.NewDecoder(in)
	for {
		var event event
		if err := decoder.Decode(&event); err == io.EOF {
			break
		} else if err != nil {
			return fails, fmt.Errorf("reading the output of go test -json: %v", err)
		}
		if event.Action == "fail" && event.Test == "" && event.Package != "" {
			fails++
		}
		r.handle(event)
	}
	for n := range r.running {
		r.failures = append(r.failures, n+": no final result")
	}
	clear(r.running)
	return fails, nil
}

func (r *run) handle(event event) {
	if event.Package == "" { // output of the compiler
		fmt.Fprint(r.out, event.Output)
		return
	}
	pkg := r.running[event.Package]
	if pkg == nil {
		pkg = &packageRun{output: map[string][]string{}, state: map[string]string{}}
		r.running[event.Package] = pkg
	}
	switch {
	case event.Action == "output":
		pkg.aborted = pkg.aborted || reportsAbort(event.Output, event.Test)
		if event.Test == "" {
			pkg.lines = append(pkg.lines, event.Output)
		} else if !strings.HasPrefix(event.Output, "=== ") {
			pkg.output[event.Test] = append(pkg.output[event.Test], event.Output)
		}
	case event.Test != "":
		if _, is := pkg.state[event.Test]; !is {
			pkg.order = append(pkg.order, event.Test)
		}
		switch event.Action {
		case "run", "fail", "skip":
			pkg.state[event.Test] = event.Action
		case "pass":
			pkg.state[event.Test] = event.Action
			delete(pkg.output, event.Test)
		}
	case event.Action == "pass" || event.Action == "fail" || event.Action == "skip":
		r.finishPackage(event, pkg)
		delete(r.running, event.Package)
	}
}

// reportsAbort returns whether an output line shows that a package's test process ended for another
// reason than failed tests, so that some tests may not have run.
func reportsAbort(line, test string) bool {
	trimmed := strings.TrimSpace(line)
	return strings.HasPrefix(trimmed, "panic: ") || strings.HasPrefix(trimmed, "fatal error: ") || strings.HasPrefix(trimmed, "signal: ") ||
		test == "" && strings.HasPrefix(trimmed, "exit status ") && trimmed != "exit status 1"
}

// finishPackage evaluates a package, and prints what go test would, except that ignored failures
// are marked as such.
func (r *run) finishPackage(e event, pkg *packageRun) {
	name := strings.TrimPrefix(e.Package, r.module)
	failures, ignored, failed := r.classifyTests(name, pkg)
	if pkg.aborted {
		failures = append(failures, name+": its test process was aborted")
	}
	if e.Action == "fail" && failed == 0 {
		cause := "failed, although none of its tests did"
		if e.FailedBuild != "" {
			cause = "does not build"
		}
		failures = append(failures, name+": "+cause)
	}
	r.failures = append(r.failures, failures...)
	for _, test := range pkg.order {
		if pkg.state[test] != "pass" && pkg.state[test] != "skip" {
			fmt.Fprint(r.out, strings.Join(pkg.output[test], ""))
		}
	}
	noFailures := len(failures) == 0
	for _, line := range pkg.lines {
		r.printPackageLine(line, noFailures, noFailures && e.Action == "fail", ignored)
	}
}

// classifyTests returns the tests that count as failures, the failed tests that are ignored because
// they are listed, and the number of all failed tests.
func (r *run) classifyTests(name string, pkg *packageRun) (failures, ignored []string, failed int) {
	for _, test := range pkg.order {
		state := pkg.state[test]
		r.state[name+"."+test] = state
		if state == "run" {
			failures = append(failures, name+"."+test+" did not finish")
		}
		if state != "fail" {
			continue
		}
		failed++
		switch {
		case r.listed(name + "." + test):
			ignored = append(ignored, test)
		case !r.failedOnlyBelow(name, test, pkg):
			failures = append(failures, name+"."+test)
		}
	}
	return failures, ignored, failed
}

// printPackageLine prints an output line that belongs to no test. For a package in which only
// listed tests failed, FAIL is replaced by known-red.
func (r *run) printPackageLine(line string, noFailures, hideFailure bool, ignored []string) {
	text := strings.TrimSpace(line)
	if text == "PASS" || hideFailure && (text == "FAIL" || text == "exit status 1") {
		return
	}
	if rest, ok := strings.CutPrefix(line, "FAIL\t"); ok && noFailures {
		line = "known-red\t" + strings.TrimRight(rest, "\n") + "\t" + strings.Join(ignored, " ") + "\n"
	}
	fmt.Fprint(r.out, line)
}

func (r *run) listed(test string) bool {
	return slices.ContainsFunc(r.known, func(k knownFailure) bool { return k.test == test })
}

// failedOnlyBelow reports whether a test failed only because listed subtests of it did. A test with
// output of its own may have failed by itself.
func (r *run) failedOnlyBelow(name, test string, pkg *packageRun) bool {
	listedBelow := false
	for below, s := range pkg.state {
		if s == "fail" && strings.HasPrefix(below, test+"/") {
			if r.listed(name + "." + below) {
				listedBelow = true
			} else if !slices.ContainsFunc(r.known, func(k knownFailure) bool { return strings.HasPrefix(k.test, name+"."+below+"/") }) {
				return false
			}
		}
	}
	own := slices.ContainsFunc(pkg.output[test], func(l string) bool {
		return !strings.HasPrefix(strings.TrimSpace(l), "--- FAIL: "+test+" ")
	})
	return listedBelow && !own
}

// finish compares the list with the tests that ran, prints the ignored and the other failures, and
// returns whether the run passes.
func (r *run) finish() bool {
	var ignored bytes.Buffer
	for _, known := range r.known {
		switch r.state[known.test] {
		case "fail":
			fmt.Fprintf(&ignored, "  %s: %s (issue %s)\n", known.test, known.cause, strings.TrimPrefix(known.issue, "#"))
		case "pass":
			r.failures = append(r.failures, known.test+" passes: remove it from "+listFile)
		case "skip":
			r.failures = append(r.failures, known.test+" is skipped, although "+listFile+" says that it fails")
		case "":
			r.failures = append(r.failures, known.test+" is listed in "+listFile+" but did not run")
		}
	}
	if ignored.Len() > 0 {
		fmt.Fprintf(r.out, "known failures, ignored (%s):\n%s", listFile, ignored.String())
	}
	if len(r.failures) > 0 {
		fmt.Fprintf(r.out, "FAIL: %s\n", strings.Join(r.failures, "\nFAIL: "))
	}
	return len(r.failures) == 0
}
