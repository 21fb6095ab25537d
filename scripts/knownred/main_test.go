package main

import (
	"bytes"
	"encoding/json"
	"reflect"
	"strings"
	"testing"
)

// makeEvents converts short lines to events in JSON: "run T", "fail T" and so on for a test T, "say
// T: text" for its output (T is - for output of the package), and "done pass" or "done fail" for the
// end of the package.
func makeEvents(t *testing.T, lines ...string) []byte {
	t.Helper()
	var b bytes.Buffer
	for _, l := range lines {
		word, rest, _ := strings.Cut(l, " ")
		e := map[string]string{"Package": "violetthread/p", "Action": word, "Test": rest}
		switch word {
		case "say":
			test, text, _ := strings.Cut(rest, ": ")
			e["Action"], e["Test"], e["Output"] = "output", strings.Trim(test, "-"), text+"\n"
		case "done":
			e["Action"], e["Test"] = rest, ""
		}
		x, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		b.Write(append(x, '\n'))
	}
	return b.Bytes()
}

func TestRuns(t *testing.T) {
	pass := []string{"run TestA", "say TestA: === RUN   TestA", "say TestA: noise", "pass TestA", "say -: PASS", "say -: ok  \tviolet\t0.1s", "done pass"}
	fails := func(test string) []string {
		return []string{"run " + test, "say " + test + ": a_test.go:7: no", "say " + test + ": --- FAIL: " + test + " (0.0s)", "fail " + test}
	}
	end := []string{"say -: FAIL", "say -: exit status 1", "say -: FAIL\tviolet\t0.1s", "done fail"}
	join := func(l ...[]string) (out []string) {
		for _, x := range l {
			out = append(out, x...)
		}
		return out
	}
	sub := append([]string{"run TestB", "run TestB/x"}, join(fails("TestB/x")[1:])...)
	sub = append(sub, "say TestB: --- FAIL: TestB (0.0s)", "fail TestB")
	for name, c := range map[string]struct {
		list   string
		events []string
		ok     bool
		has    []string
		hasNot []string
	}{
		"empty, all pass": {"", pass, true, []string{"ok  \tviolet"}, []string{"noise", "PASS", "known"}},
		"empty, one fails": {"", join(fails("TestB"), end), false,
			[]string{"a_test.go:7: no", "--- FAIL: TestB", "FAIL\tviolet", "FAIL: p.TestB"}, []string{"known"}},
		"listed": {"p.TestB | c | 3", join(fails("TestB"), end), true,
			[]string{"a_test.go:7: no", "known-red\tviolet\t0.1s\tTestB", "p.TestB: c (issue 3)"}, []string{"\nFAIL"}},
		"another fails as well":     {"p.TestB | c | 3", join(fails("TestB"), fails("TestC"), end), false, []string{"FAIL: p.TestC", "FAIL\tviolet"}, []string{"FAIL: p.TestB"}},
		"listed and passes":         {"p.TestA | c | 3", pass, false, []string{"p.TestA passes"}, nil},
		"listed but not run":        {"p.TestZ | c | 3", pass, false, []string{"p.TestZ is listed"}, nil},
		"listed and skipped":        {"p.TestA | c | 3", []string{"run TestA", "skip TestA", "done pass"}, false, []string{"skipped"}, nil},
		"a subtest is listed":       {"p.TestB/x | c | 3", join(sub, end), true, []string{"p.TestB/x: c"}, []string{"\nFAIL"}},
		"its parent fails itself":   {"p.TestB/x | c | 3", join([]string{"say TestB: a_test.go:9: mine"}, sub, end), false, []string{"FAIL: p.TestB"}, nil},
		"a sibling fails":           {"p.TestB/x | c | 3", join(fails("TestB/y"), sub, end), false, []string{"FAIL: p.TestB/y", "FAIL: p.TestB"}, nil},
		"the parent is listed":      {"p.TestB | c | 3", join(sub, end), false, []string{"FAIL: p.TestB/x"}, nil},
		"listed and panics":         {"p.TestB | c | 3", join([]string{"say TestB: panic: oh"}, fails("TestB"), []string{"say -: exit status 2"}, end), false, []string{"was aborted"}, nil},
		"a race outside tests":      {"p.TestB | c | 3", join(fails("TestB"), []string{"say -: exit status 66"}, end), false, []string{"was aborted"}, nil},
		"no test failed":            {"", []string{"say -: oh", "done fail"}, false, []string{"oh", "none of its tests did"}, nil},
		"a test does not finish":    {"p.TestB | c | 3", join(fails("TestB"), []string{"run TestC"}, end), false, []string{"p.TestC did not finish"}, nil},
		"a package does not finish": {"", []string{"run TestA"}, false, []string{"no final result"}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			known, err := parseList(c.list)
			if err != nil {
				t.Fatal(err)
			}
			var out bytes.Buffer
			r := newRun(known, &out)
			if _, err := r.readEvents(bytes.NewReader(makeEvents(t, c.events...))); err != nil {
				t.Fatal(err)
			}
			if ok := r.finish(); ok != c.ok {
				t.Errorf("finish returned %v", ok)
			}
			for _, s := range c.has {
				if !strings.Contains(out.String(), s) {
					t.Errorf("%q is missing", s)
				}
			}
			for _, s := range c.hasNot {
				if strings.Contains(out.String(), s) {
					t.Errorf("%q was printed", s)
				}
			}
			if t.Failed() {
				t.Log(out.String())
			}
		})
	}
}

func TestParse(t *testing.T) {
	got, err := parseList("# about\n\n internal/rig.TestX/a.b | late, or lost | #12 \n")
	if want := []knownFailure{{"internal/rig.TestX/a.b", "late, or lost", "#12"}}; err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("%v, %v", got, err)
	}
	for _, l := range []string{"TestX | c | 1", "p.TestX", "p.TestX | c", "p.TestX | | 1", "p.TestX | c | ", ".TestX | c | 1", "p. | c | 1", "p.TestX | c | 1 | d", "p.X | c | 1\np.X | d | 2"} {
		if _, err := parseList(l); err == nil {
			t.Errorf("no error for %q", l)
		}
	}
}

func TestGroups(t *testing.T) {
	if got := splitGroups([]string{"a", "b", "--", "c"}); !reflect.DeepEqual(got, [][]string{{"a", "b"}, {"c"}}) {
		t.Error(got)
	}
}

func TestUnreadable(t *testing.T) {
	if _, err := newRun(nil, &bytes.Buffer{}).readEvents(strings.NewReader("FAIL p [setup failed]\n")); err == nil {
		t.Error("no error for a line that is not JSON")
	}
}
