package plan

import (
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestCheck runs testdata/check: a plan and its findings, or a text, a merge patch and the
// result.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check", func(_ *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "check":
			_, findings := Parse([]byte(d.Input))
			var out []string
			for _, finding := range findings {
				out = append(out, finding.String())
			}
			if len(out) == 0 {
				return "no findings\n"
			}
			return strings.Join(out, "\n") + "\n"
		case "merge":
			base, patch, _ := strings.Cut(d.Input, "\n")
			merged, err := MergePatch([]byte(base), []byte(patch))
			if err != nil {
				return err.Error() + "\n"
			}
			return string(merged) + "\n"
		}
		return "unknown command\n"
	})
}

// exampleNames are the plans in examples/plans.
var exampleNames = []string{"selat", "subtitulos"}

func readExample(tb testing.TB, name string) []byte {
	tb.Helper()
	raw, err := os.ReadFile("../examples/plans/" + name + ".json")
	if err != nil {
		tb.Fatal(err)
	}
	return raw
}

// TestExamples checks that the example plans have no findings, and that each key belongs to its
// own group.
func TestExamples(t *testing.T) {
	for _, name := range exampleNames {
		t.Run(name, func(t *testing.T) {
			p, findings := Parse(readExample(t, name))
			if len(findings) > 0 || len(p.Groups) != 8 {
				t.Fatal(findings)
			}
			compiled := Compile(p, 1)
			for group, callers := range p.Groups {
				if got, found := compiled.GroupOf(callers.Keys[0]); !found || got != group {
					t.Fatalf("the key of %s belongs to %q", group, got)
				}
			}
		})
	}
}

// FuzzParse checks that any text results in a plan that Load accepts, or in findings with
// remedies.
func FuzzParse(f *testing.F) {
	for _, name := range exampleNames {
		f.Add(readExample(f, name))
	}
	f.Add([]byte(`{"weights":"w","kinds":{"k":{"due_us":1e400}},"groups":{"g":{"share":0.1,"keys":[null]}}}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p, findings := Parse(raw)
		for _, finding := range findings {
			if finding.Remedy == "" || finding.Text == "" {
				t.Fatalf("%+v", finding)
			}
		}
		if len(findings) == 0 {
			if _, err := Load(raw, 1); err != nil {
				t.Fatalf("accepted but can't be loaded: %v", err)
			}
			_ = Compile(p, 1)
		}
	})
}
