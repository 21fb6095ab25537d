package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
)

// Names of the checks, as in not-done.txt.
const (
	checkOfNames     = "names"
	checkOfTestNames = "test-names"
	checkOfShape     = "shape"
)

var checks = []string{checkOfNames, checkOfTestNames, checkOfShape}

// finding is a violation of a check.
type finding struct {
	check string
	pkg   string // folder of the package
	at    string // file and line
	text  string
}

func (f finding) String() string { return fmt.Sprintf("%s: %s [%s]", f.at, f.text, f.check) }

func (f finding) key() key { return key{f.pkg, f.check} }

// key is a line of the list: a package and a check that it does not pass yet.
type key struct{ pkg, check string }

// notDone is the list of packages and checks that they do not pass yet, in the order of the file.
type notDone struct {
	comment []string
	keys    []key
}

func readList(path string) (notDone, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return notDone{}, err
	}
	return parseList(path, string(text))
}

func parseList(path, text string) (l notDone, err error) {
	for i, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if strings.HasPrefix(line, "#") {
			l.comment = append(l.comment, line)
			continue
		}
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}
		if len(words) != 2 || !slices.Contains(checks, words[1]) {
			return l, fmt.Errorf("%s:%d: %q: expected a package and one of %s", path, i+1, line, strings.Join(checks, ", "))
		}
		k := key{words[0], words[1]}
		if l.has(k) {
			return l, fmt.Errorf("%s:%d: %q is listed twice", path, i+1, line)
		}
		l.keys = append(l.keys, k)
	}
	return l, nil
}

func (l notDone) has(k key) bool { return slices.Contains(l.keys, k) }

// stale returns the lines without findings.
func (l notDone) stale(findings []finding) (stale []key) {
	for _, k := range l.keys {
		if !slices.ContainsFunc(findings, func(f finding) bool { return f.key() == k }) {
			stale = append(stale, k)
		}
	}
	return stale
}

// shrink returns the list without stale lines.
func (l notDone) shrink(findings []finding) notDone {
	stale := l.stale(findings)
	left := slices.DeleteFunc(slices.Clone(l.keys), func(k key) bool { return slices.Contains(stale, k) })
	return notDone{l.comment, left}
}

func (l notDone) write(path string) error {
	var b strings.Builder
	for _, line := range l.comment {
		fmt.Fprintln(&b, line)
	}
	for _, k := range l.keys {
		fmt.Fprintln(&b, k.pkg, k.check)
	}
	return os.WriteFile(path, []byte(b.String()), 0o644)
}
