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
	known, err := parse(string(list))
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
	if !r.close() {
		os.Exit(1)
	}
}

// groups splits arguments at "--".
func groups(args []string) (out [][]string) {
	for {
		i := slices.Index(args, "--")
		if i < 0 {
			return append(out, args)
		}
		out, args = append(out, args[:i]), args[i+1:]
	}
}

// red is a line of the list.
type red struct{ test, cause, issue string }

// parse reads a list: "package.Test | cause | issue" lines and comments.
func parse(text string) (out []red, err error) {
	for i, l := range strings.Split(text, "\n") {
		l = strings.TrimSpace(l)
		if l == "" || l[0] == '#' {
			continue
		}
		f := strings.Split(l, "|")
		for j := range f {
			f[j] = strings.TrimSpace(f[j])
		}
		pkg, test, ok := strings.Cut(f[0], ".")
		if len(f) != 3 || !ok || pkg == "" || test == "" || f[1] == "" || f[2] == "" {
			return nil, fmt.Errorf("%s:%d: write package.Test | cause | issue", listName, i+1)
		}
		if slices.ContainsFunc(out, func(r red) bool { return r.test == f[0] }) {
			return nil, fmt.Errorf("%s:%d: %s is listed twice", listName, i+1, f[0])
		}
		out = append(out, red{f[0], f[1], f[2]})
	}
	return out, nil
}

// event is one line of go test -json.
type event struct {
	Action, Package, Test, Output, ImportPath, FailedBuild string
}

// pack is what is known of one package's tests while they run.
type pack struct {
	lines  []string            // of the package itself
	output map[string][]string // of a test that has not passed
	state  map[string]string   // of each test: run, pass, fail or skip
	order  []string
	wild   bool // it ended otherwise than by failing tests
}

type run struct {
	out    io.Writer
	known  []red
	packs  map[string]*pack
	state  map[string]string // of every test, by package.Test
	wrong  []string          // why the run as a whole fails
	module string
}

func newRun(known []red, out io.Writer) *run {
	return &run{out: out, known: known, packs: map[string]*pack{}, state: map[string]string{}, module: "violetthread/"}
}

// test runs go test once.
func (r *run) test(args []string) error {
	c := exec.Command("go", append([]string{"test", "-json"}, args...)...)
	c.Stderr = os.Stderr
	p, err := c.StdoutPipe()
	if err != nil {
		return err
	}
	if err := c.Start(); err != nil {
		return err
	}
	fails, err := r.read(p)
	if err != nil {
		_ = c.Wait()
		return err
	}
	if err := c.Wait(); err != nil && fails == 0 {
		r.wrong = append(r.wrong, "go test "+strings.Join(args, " ")+": "+err.Error())
	}
	return nil
}

// read takes the events of one go test in and counts the packages that failed.
func (r *run) read(in io.Reader) (fails int, err error) {
	d := json.NewDecoder(in)
	for {
		var e event
		if err := d.Decode(&e); err == io.EOF {
			break
		} else if err != nil {
			return fails, fmt.Errorf("go test -json can't be read: %v", err)
		}
		if e.Action == "fail" && e.Test == "" && e.Package != "" {
			fails++
		}
		r.take(e)
	}
	for n := range r.packs {
		r.wrong = append(r.wrong, n+": has no end")
	}
	clear(r.packs)
	return fails, nil
}

func (r *run) take(e event) {
	if e.Package == "" { // of the compiler
		fmt.Fprint(r.out, e.Output)
		return
	}
	p := r.packs[e.Package]
	if p == nil {
		p = &pack{output: map[string][]string{}, state: map[string]string{}}
		r.packs[e.Package] = p
	}
	switch {
	case e.Action == "output":
		p.wild = p.wild || wild(e.Output, e.Test)
		if e.Test == "" {
			p.lines = append(p.lines, e.Output)
		} else if !strings.HasPrefix(e.Output, "=== ") {
			p.output[e.Test] = append(p.output[e.Test], e.Output)
		}
	case e.Test != "":
		if _, is := p.state[e.Test]; !is {
			p.order = append(p.order, e.Test)
		}
		switch e.Action {
		case "run", "fail", "skip":
			p.state[e.Test] = e.Action
		case "pass":
			p.state[e.Test] = e.Action
			delete(p.output, e.Test)
		}
	case e.Action == "pass" || e.Action == "fail" || e.Action == "skip":
		r.end(e, p)
		delete(r.packs, e.Package)
	}
}

// wild tells by a line that a package's process ended in another way than by failing
// tests, so that some tests may not have run at all.
func wild(line, test string) bool {
	l := strings.TrimSpace(line)
	return strings.HasPrefix(l, "panic: ") || strings.HasPrefix(l, "fatal error: ") || strings.HasPrefix(l, "signal: ") ||
		test == "" && strings.HasPrefix(l, "exit status ") && l != "exit status 1"
}

// end judges a package and prints what go test would, or which of its tests are
// passed over.
func (r *run) end(e event, p *pack) {
	name := strings.TrimPrefix(e.Package, r.module)
	var bad, over []string
	failed := 0
	for _, t := range p.order {
		s := p.state[t]
		r.state[name+"."+t] = s
		switch {
		case s == "run":
			bad = append(bad, name+"."+t+" did not end")
		case s != "fail":
		case r.listed(name + "." + t):
			failed++
			over = append(over, t)
		case r.excused(name, t, p):
			failed++
		default:
			failed++
			bad = append(bad, name+"."+t)
		}
	}
	if p.wild {
		bad = append(bad, name+": its process broke off")
	}
	if e.Action == "fail" && failed == 0 {
		why := "failed, though none of its tests did"
		if e.FailedBuild != "" {
			why = "does not build"
		}
		bad = append(bad, name+": "+why)
	}
	r.wrong = append(r.wrong, bad...)
	for _, t := range p.order {
		if p.state[t] != "pass" && p.state[t] != "skip" {
			fmt.Fprint(r.out, strings.Join(p.output[t], ""))
		}
	}
	for _, l := range p.lines {
		if t := strings.TrimSpace(l); t == "PASS" || len(bad) == 0 && e.Action == "fail" && (t == "FAIL" || t == "exit status 1") {
			continue
		}
		if rest, ok := strings.CutPrefix(l, "FAIL\t"); ok && len(bad) == 0 {
			l = "known-red\t" + strings.TrimRight(rest, "\n") + "\t" + strings.Join(over, " ") + "\n"
		}
		fmt.Fprint(r.out, l)
	}
}

func (r *run) listed(test string) bool {
	return slices.ContainsFunc(r.known, func(k red) bool { return k.test == test })
}

// excused reports whether a test failed only because listed ones below it did. One
// that wrote anything itself may have failed by itself.
func (r *run) excused(pkg, test string, p *pack) bool {
	below := false
	for t, s := range p.state {
		if s == "fail" && strings.HasPrefix(t, test+"/") {
			if r.listed(pkg + "." + t) {
				below = true
			} else if !slices.ContainsFunc(r.known, func(k red) bool { return strings.HasPrefix(k.test, pkg+"."+t+"/") }) {
				return false
			}
		}
	}
	own := slices.ContainsFunc(p.output[test], func(l string) bool {
		return !strings.HasPrefix(strings.TrimSpace(l), "--- FAIL: "+test+" ")
	})
	return below && !own
}

// close compares the list with what ran, says what was passed over and whether all
// is well.
func (r *run) close() bool {
	var over bytes.Buffer
	for _, k := range r.known {
		switch r.state[k.test] {
		case "fail":
			fmt.Fprintf(&over, "  %s: %s (issue %s)\n", k.test, k.cause, strings.TrimPrefix(k.issue, "#"))
		case "pass":
			r.wrong = append(r.wrong, k.test+" passes: take it off "+listName)
		case "skip":
			r.wrong = append(r.wrong, k.test+" is skipped, though "+listName+" says that it fails")
		case "":
			r.wrong = append(r.wrong, k.test+" is on "+listName+" and is not there")
		}
	}
	if over.Len() > 0 {
		fmt.Fprintf(r.out, "known red, passed over (%s):\n%s", listName, over.String())
	}
	if len(r.wrong) > 0 {
		fmt.Fprintf(r.out, "FAIL: %s\n", strings.Join(r.wrong, "\nFAIL: "))
	}
	return len(r.wrong) == 0
}
