// Command knownred runs go test and passes over the failing tests that a list names.
// Any other failure counts, and so does a listed test that passes, is skipped or is
// not there: a list that is out of date would hide the next fault.
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

const listName = "KNOWN-RED.txt"

func main() {
	list, err := os.ReadFile(listName)
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
	for _, args := range groups(os.Args[1:]) {
		if err := r.test(args); err != nil {
			fmt.Fprintf(os.Stderr, "known-red: %v\n", err)
			os.Exit(2)
		}
	}
	if !r.finish() {
		os.Exit(1)
	}
}

// groups splits arguments at "--".
func groups(args []string) (groups [][]string) {
	for {
		i := slices.Index(args, "--")
		if i < 0 {
			return append(groups, args)
		}
		groups, args = append(groups, args[:i]), args[i+1:]
	}
}

// knownFailure is a line of the list.
type knownFailure struct{ test, cause, issue string }

// parseList reads a list: "package.Test | cause | issue" lines and comments.
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
			return nil, fmt.Errorf("%s:%d: write package.Test | cause | issue", listName, i+1)
		}
		if slices.ContainsFunc(list, func(r knownFailure) bool { return r.test == fields[0] }) {
			return nil, fmt.Errorf("%s:%d: %s is listed twice", listName, i+1, fields[0])
		}
		list = append(list, knownFailure{fields[0], fields[1], fields[2]})
	}
	return list, nil
}

// event is one line of go test -json.
type event struct {
	Action, Package, Test, Output, ImportPath, FailedBuild string
}

// packageRun is what is known of one package's tests while they run.
type packageRun struct {
	lines    []string            // of the package itself
	output   map[string][]string // of a test that has not passed
	state    map[string]string   // of each test: run, pass, fail or skip
	order    []string
	brokeOff bool // it ended otherwise than by failing tests
}

type run struct {
	out      io.Writer
	known    []knownFailure
	running  map[string]*packageRun
	state    map[string]string // of every test, by package.Test
	failures []string          // why the run as a whole fails
	module   string
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

// readEvents handles the events of one go test and counts the packages that failed.
func (r *run) readEvents(in io.Reader) (fails int, err error) {
	decoder := json.NewDecoder(in)
	for {
		var event event
		if err := decoder.Decode(&event); err == io.EOF {
			break
		} else if err != nil {
			return fails, fmt.Errorf("go test -json can't be read: %v", err)
		}
		if event.Action == "fail" && event.Test == "" && event.Package != "" {
			fails++
		}
		r.handle(event)
	}
	for n := range r.running {
		r.failures = append(r.failures, n+": has no end")
	}
	clear(r.running)
	return fails, nil
}

func (r *run) handle(event event) {
	if event.Package == "" { // of the compiler
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
		pkg.brokeOff = pkg.brokeOff || endsProcess(event.Output, event.Test)
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

// endsProcess tells by a line that a package's process ended in another way than by failing
// tests, so that some tests may not have run at all.
func endsProcess(line, test string) bool {
	trimmed := strings.TrimSpace(line)
	return strings.HasPrefix(trimmed, "panic: ") || strings.HasPrefix(trimmed, "fatal error: ") || strings.HasPrefix(trimmed, "signal: ") ||
		test == "" && strings.HasPrefix(trimmed, "exit status ") && trimmed != "exit status 1"
}

// finishPackage judges a package and prints what go test would, or which of its tests are
// passed over.
func (r *run) finishPackage(e event, pkg *packageRun) {
	name := strings.TrimPrefix(e.Package, r.module)
	failures, passedOver, failed := r.judgeTests(name, pkg)
	if pkg.brokeOff {
		failures = append(failures, name+": its process broke off")
	}
	if e.Action == "fail" && failed == 0 {
		cause := "failed, though none of its tests did"
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
	excused := len(failures) == 0
	for _, line := range pkg.lines {
		r.printPackageLine(line, excused, excused && e.Action == "fail", passedOver)
	}
}

// judgeTests returns the tests that count as failures, the listed ones that failed, and how
// many failed in all.
func (r *run) judgeTests(name string, pkg *packageRun) (failures, passedOver []string, failed int) {
	for _, test := range pkg.order {
		state := pkg.state[test]
		r.state[name+"."+test] = state
		if state == "run" {
			failures = append(failures, name+"."+test+" did not end")
		}
		if state != "fail" {
			continue
		}
		failed++
		switch {
		case r.listed(name + "." + test):
			passedOver = append(passedOver, test)
		case !r.excused(name, test, pkg):
			failures = append(failures, name+"."+test)
		}
	}
	return failures, passedOver, failed
}

// printPackageLine prints a line of the package itself. A package that failed by listed
// tests alone is known-red in place of FAIL.
func (r *run) printPackageLine(line string, excused, hideFailure bool, passedOver []string) {
	text := strings.TrimSpace(line)
	if text == "PASS" || hideFailure && (text == "FAIL" || text == "exit status 1") {
		return
	}
	if rest, ok := strings.CutPrefix(line, "FAIL\t"); ok && excused {
		line = "known-red\t" + strings.TrimRight(rest, "\n") + "\t" + strings.Join(passedOver, " ") + "\n"
	}
	fmt.Fprint(r.out, line)
}

func (r *run) listed(test string) bool {
	return slices.ContainsFunc(r.known, func(k knownFailure) bool { return k.test == test })
}

// excused reports whether a test failed only because listed ones below it did. One
// that wrote anything itself may have failed by itself.
func (r *run) excused(name, test string, pkg *packageRun) bool {
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

// finish compares the list with what ran, says what was passed over and whether all
// is well.
func (r *run) finish() bool {
	var passedOver bytes.Buffer
	for _, known := range r.known {
		switch r.state[known.test] {
		case "fail":
			fmt.Fprintf(&passedOver, "  %s: %s (issue %s)\n", known.test, known.cause, strings.TrimPrefix(known.issue, "#"))
		case "pass":
			r.failures = append(r.failures, known.test+" passes: take it off "+listName)
		case "skip":
			r.failures = append(r.failures, known.test+" is skipped, though "+listName+" says that it fails")
		case "":
			r.failures = append(r.failures, known.test+" is on "+listName+" and is not there")
		}
	}
	if passedOver.Len() > 0 {
		fmt.Fprintf(r.out, "known red, passed over (%s):\n%s", listName, passedOver.String())
	}
	if len(r.failures) > 0 {
		fmt.Fprintf(r.out, "FAIL: %s\n", strings.Join(r.failures, "\nFAIL: "))
	}
	return len(r.failures) == 0
}
