package route

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"unicode/utf8"
)

func TestMerge(t *testing.T) {
	for _, c := range []struct{ name, base, patch, want string }{
		{"version only", `{"v":1,"x":[{"id":"a"}]}`, `{"v":2}`, `{"v":2,"x":[{"id":"a"}]}`},
		{"item replaced in place, as a whole", `{"v":1,"x":[{"id":"a","n":1,"m":2},{"id":"b"}]}`,
			`{"v":2,"set":{"x":[{"id":"a","n":3}]}}`, `{"v":2,"x":[{"id":"a","n":3},{"id":"b"}]}`},
		{"items appended in order", `{"v":1,"x":[{"id":"a"}]}`, `{"v":2,"set":{"x":[{"id":"c"},{"id":"b"}]}}`,
			`{"v":2,"x":[{"id":"a"},{"id":"c"},{"id":"b"}]}`},
		{"removed", `{"v":1,"x":[{"id":"a"},{"id":"b"},{"id":"c"}]}`, `{"v":2,"drop":{"x":["b","no-such"]}}`,
			`{"v":2,"x":[{"id":"a"},{"id":"c"}]}`},
		{"all removed", `{"v":1,"x":[{"id":"a"}]}`, `{"v":2,"drop":{"x":["a"]}}`, `{"v":2,"x":[]}`},
		{"removed from a missing section", `{"v":1}`, `{"v":2,"drop":{"x":["a"]}}`, `{"v":2}`},
		{"removed, then added again", `{"v":1,"x":[{"id":"a"},{"id":"b"}]}`,
			`{"v":2,"set":{"x":[{"id":"a","n":1}]},"drop":{"x":["a"]}}`, `{"v":2,"x":[{"id":"b"},{"id":"a","n":1}]}`},
		{"two sections", `{"v":1,"x":[{"id":"a"}],"y":[{"id":"a"}]}`, `{"v":2,"set":{"y":[{"id":"b"}]},"drop":{"x":["a"]}}`,
			`{"v":2,"x":[],"y":[{"id":"a"},{"id":"b"}]}`},
		{"a new section", `{"v":1}`, `{"v":2,"set":{"x":[{"id":"a"}]}}`, `{"v":2,"x":[{"id":"a"}]}`},
		{"null sections", `{"v":1,"x":null,"y":[{"id":"a"}]}`, `{"v":2,"set":{"x":[{"id":"a"}],"y":null},"drop":null}`,
			`{"v":2,"x":[{"id":"a"}],"y":[{"id":"a"}]}`},
		{"the last of two items of one name wins", `{"v":1}`, `{"v":2,"set":{"x":[{"id":"a","n":1},{"id":"a","n":2}]}}`, `{"v":2,"x":[{"id":"a","n":2}]}`},
		{"fields of an object", `{"v":1,"l":{"a":1,"b":2}}`, `{"v":2,"set":{"l":{"b":3.0,"c":4}}}`, `{"v":2,"l":{"a":1,"b":3.0,"c":4}}`},
		{"unknown sections and numbers are kept unchanged", `{"z":{"deep":[1e400,0.10,{"q":"<&>"}]},"v":1,"x":[{"id":"a","n":370000.0,"m":12345678901234567890}]}`,
			`{"v":2,"set":{"x":[{"id":"b","n":1.50}]},"odd":7}`,
			`{"z":{"deep":[1e400,0.10,{"q":"<&>"}]},"v":2,"x":[{"id":"a","n":370000.0,"m":12345678901234567890},{"id":"b","n":1.50}]}`},
		{"names with escape sequences", `{"v":1,"x":[{"id":"\u0061"}]}`, `{"v":2,"set":{"x":[{"id":"a","n":1}]}}`, `{"v":2,"x":[{"id":"a","n":1}]}`},
		{"patch to no configuration", ``, `{"v":2,"set":{"x":[{"id":"a"}]}}`, `{"v":2,"x":[{"id":"a"}]}`},
		{"the version is kept as written", `{"v":1}`, `{"v":2.0}`, `{"v":2.0}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, findings := Merge([]byte(c.base), []byte(c.patch), testFields)
			if len(findings) > 0 || string(got) != c.want {
				t.Fatalf("got %s %v, want %s", got, findings, c.want)
			}
		})
	}
}

func TestMergeRefuses(t *testing.T) {
	for _, c := range []struct{ name, patch, path, reason string }{
		{"truncated JSON", `{"v":2,"set":{"x":[{"id":"a"}`, "", "unreadable"},
		{"trailing", `{"v":2}x`, "", "unreadable"},
		{"not an object", `[1]`, "", "unreadable"},
		{"empty", ``, "", "unreadable"},
		{"no version", `{"set":{}}`, "v", "no-version"},
		{"set is not an object", `{"v":2,"set":[]}`, "set", "unreadable"},
		{"drop is not an object", `{"v":2,"drop":["a"]}`, "drop", "unreadable"},
		{"an item without a name", `{"v":2,"set":{"x":[{"id":"b"},{"n":1}]}}`, "set.x[1]", "no-name"},
		{"a name that is not a string", `{"v":2,"set":{"x":[{"id":5}]}}`, "set.x[0]", "unreadable"},
		{"an item that is not an object", `{"v":2,"set":{"x":["a"]}}`, "set.x[0]", "unreadable"},
		{"a number as a section", `{"v":2,"set":{"x":5}}`, "set.x", "unmergeable"},
		{"a list into an object", `{"v":2,"set":{"l":[{"id":"a"}]}}`, "set.l", "not-a-list"},
		{"an object into a list", `{"v":2,"set":{"x":{"id":"a"}}}`, "set.x", "not-an-object"},
		{"names to remove that are not strings", `{"v":2,"drop":{"x":[1]}}`, "drop.x", "unreadable"},
		{"names to remove from an object", `{"v":2,"drop":{"l":["a"]}}`, "drop.l", "not-a-list"},
		{"twice", `{"v":2,"v":3}`, "", "unreadable"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, findings := Merge([]byte(`{"v":1,"x":[{"id":"a"}],"l":{"a":1}}`), []byte(c.patch), testFields)
			if len(findings) != 1 || findings[0].Path != c.path || findings[0].Reason != c.reason || findings[0].Remedy == "" {
				t.Fatalf("got %+v, want %s %s", findings, c.path, c.reason)
			}
		})
	}
}

func FuzzMerge(f *testing.F) {
	f.Add([]byte(`{"v":1,"x":[{"id":"a"}],"l":{"a":1}}`), []byte(`{"v":2,"set":{"x":[{"id":"b"}],"l":{"b":2}},"drop":{"x":["a"]}}`))
	f.Add([]byte(``), []byte(`{"v":2}`))
	f.Fuzz(func(t *testing.T, base, patch []byte) {
		baseBefore, patchBefore := bytes.Clone(base), bytes.Clone(patch)
		got, findings := Merge(base, patch, testFields)
		if !bytes.Equal(baseBefore, base) || !bytes.Equal(patchBefore, patch) {
			t.Fatal("Merge modified its arguments")
		}
		if len(findings) > 0 {
			return
		}
		if !json.Valid(got) {
			t.Fatalf("result is not valid JSON: %s", got)
		}
		if _, findings := Merge(got, patch, testFields); len(findings) > 0 {
			t.Fatalf("the same patch could not be applied again: %v", findings)
		}
	})
}

// TestManyMembers: repeated names are found in an object of more than scannedMembers members.
func TestManyMembers(t *testing.T) {
	var b strings.Builder
	for i := range 100 {
		fmt.Fprintf(&b, `,"k%d":%d`, i, i)
	}
	text := `{"v":1` + b.String()
	if ms, err := topLevelMembers([]byte(text + "}")); err != nil || len(ms) != 101 {
		t.Fatal(len(ms), err)
	}
	for _, k := range []string{"v", "k5", "k40", "k99"} {
		if _, err := topLevelMembers([]byte(text + `,"` + k + `":0}`)); err == nil {
			t.Errorf("repeated member %s was accepted", k)
		}
	}
}

// FuzzMembers compares topLevelMembers with encoding/json.
func FuzzMembers(f *testing.F) {
	f.Add([]byte(` { "a" : [ 1 , {"x":"}\\\"],"} ] , "\u0062\n" :{ } ,"c": "" , "":-1.0e5 } `))
	f.Add([]byte(`{}`))
	f.Add([]byte(`[{"a":1}]`))
	f.Fuzz(func(t *testing.T, text []byte) {
		ms, err := topLevelMembers(text)
		if err != nil || !utf8.Valid(text) {
			return
		}
		var want map[string]json.RawMessage
		if err := json.Unmarshal(text, &want); err != nil || len(want) != len(ms) {
			t.Fatalf("%v, got %d members, want %d", err, len(ms), len(want))
		}
		for _, m := range ms {
			if !bytes.Equal(m.value, want[m.name]) {
				t.Fatalf("member %q is %q, want %q", m.name, m.value, want[m.name])
			}
		}
	})
}
