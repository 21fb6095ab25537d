package plan

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestCheck runs testdata/check: a plan, and every finding.
func TestCheck(t *testing.T) {
	datadriven.RunTest(t, "testdata/check", func(_ *testing.T, d *datadriven.TestData) string {
		switch d.Cmd {
		case "check":
			_, fs := Parse([]byte(d.Input))
			var out []string
			for _, f := range fs {
				out = append(out, f.String())
			}
			if len(out) == 0 {
				return "no findings\n"
			}
			return strings.Join(out, "\n") + "\n"
		case "merge":
			base, patch, _ := strings.Cut(d.Input, "\n")
			b, err := MergePatch([]byte(base), []byte(patch))
			if err != nil {
				return err.Error() + "\n"
			}
			return string(b) + "\n"
		}
		return "unknown command\n"
	})
}

func TestExamples(t *testing.T) {
	for _, n := range []string{"selat", "subtitulos"} {
		b, err := os.ReadFile("../examples/plans/" + n + ".json")
		if err != nil {
			t.Fatal(err)
		}
		p, fs := Parse(b)
		if len(fs) > 0 || len(p.Groups) != 8 {
			t.Fatalf("%s: %v", n, fs)
		}
		c := Compile(p, 1)
		for g, x := range p.Groups {
			if got, ok := c.GroupOf(x.Keys[0]); !ok || got != g {
				t.Fatalf("%s: the key of %s opens %q", n, g, got)
			}
		}
	}
}

// TestHeld: ages count from the question, revisions never go back.
func TestHeld(t *testing.T) {
	raw := func(n int) []byte { return []byte(fmt.Sprintf(`{"weights":"w%d"}`, n)) }
	var h Cached
	step := func(w Update, asked int64) bool {
		n, changed, err := h.Apply(w, asked)
		if err != nil {
			t.Fatal(err)
		}
		h = n
		return changed
	}
	if step(Update{Revision: 3, Age: 5}, 100) || h.Known {
		t.Fatal("a word that nobody vouched for was taken")
	}
	if !step(Update{Revision: 3, Age: 40, Raw: raw(3), Confirmed: true}, 100) || h.Age(110) != 50 {
		t.Fatalf("age %d, want 50", h.Age(110))
	}
	if step(Update{Revision: 2, Age: 0, Raw: raw(2), Confirmed: true}, 200) || h.Revision != 3 || h.Age(200) != 140 {
		t.Fatalf("went back or grew fresh by an older revision: %+v", h)
	}
	if step(Update{Revision: 4, Age: 0, Confirmed: true}, 200) || h.Revision != 3 || h.Age(200) != 140 {
		t.Fatal("a newer revision without its text made the older one fresh")
	}
	step(Update{Revision: 3, Age: 10, Confirmed: true}, 300)
	step(Update{Revision: 3, Age: 90, Confirmed: true}, 310) // an answer that was long on its way
	if h.Age(300) != 10 {
		t.Fatalf("age %d, want 10", h.Age(300))
	}
}

// FuzzParse: whatever is sent ends in a plan or in findings with remedies.
func FuzzParse(f *testing.F) {
	for _, n := range []string{"selat", "subtitulos"} {
		b, err := os.ReadFile("../examples/plans/" + n + ".json")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Add([]byte(`{"weights":"w","kinds":{"k":{"due_us":1e400}},"groups":{"g":{"share":0.1,"keys":[null]}}}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		p, fs := Parse(b)
		for _, x := range fs {
			if x.Remedy == "" || x.Text == "" {
				t.Fatalf("%+v", x)
			}
		}
		if len(fs) == 0 {
			if _, err := Load(b, 1); err != nil {
				t.Fatalf("accepted and unreadable: %v", err)
			}
			_ = Compile(p, 1)
		}
	})
}
