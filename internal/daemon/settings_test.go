package daemon

import (
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/integrii/flaggy"
)

type testSettings struct {
	Name  string   `json:"name" validate:"required,name" help:"a name"`
	Addr  string   `json:"addr" validate:"omitempty,ipport" help:"an address"`
	Count int      `json:"count" old:"sum" validate:"min=1,max=9" help:"a count"`
	Wide  int64    `json:"wide_us" help:"a time"`
	On    bool     `json:"on" help:"a switch"`
	List  []string `json:"list" validate:"max=2,dive,ipport" help:"a list"`
	RecordingSettings
}

// load loads settings from args. It returns the settings, the warnings as "former=current" and
// the error.
func load(t *testing.T, args ...string) (testSettings, []string, error) {
	t.Helper()
	s := testSettings{Count: 3, RecordingSettings: RecordingDefaults}
	p := flaggy.NewParser("test")
	p.ShowCompletion = false
	d := DeclareSettings("test", &p.Subcommand, &s)
	var warnings []string
	d.warn = func(former, current string) { warnings = append(warnings, former+"="+current) }
	if err := p.ParseArgs(args); err != nil {
		t.Fatal(err)
	}
	err := d.Load()
	return s, warnings, err
}

func settingsFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestLoadSettings(t *testing.T) {
	defaults := testSettings{Name: "n", Count: 3, RecordingSettings: RecordingDefaults}
	for _, c := range []struct {
		name string
		file string // empty: none
		args []string
		want func(*testSettings)
	}{
		{"defaults", "", []string{"--name", "n"}, func(*testSettings) {}},
		{"file", `{"name":"n","wide_us":7,"on":true,"list":["10.0.0.1:1"]}`, nil, func(s *testSettings) {
			s.Wide, s.On, s.List = 7, true, []string{"10.0.0.1:1"}
		}},
		{"flags override the file", `{"name":"other","count":2}`, []string{"--name", "n", "--count", "5"}, func(s *testSettings) { s.Count = 5 }},
		{"list in a flag", "", []string{"--name", "n", "--list", "10.0.0.1:1, 10.0.0.2:2,"}, func(s *testSettings) {
			s.List = []string{"10.0.0.1:1", "10.0.0.2:2"}
		}},
		{"embedded settings", `{"name":"n","recording":"f"}`, []string{"--recording-bytes", "8192"}, func(s *testSettings) {
			s.Recording, s.RecordingBytes = "f", 8192
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			args := c.args
			if c.file != "" {
				args = append([]string{"--settings", settingsFile(t, c.file)}, args...)
			}
			got, warnings, err := load(t, args...)
			want := defaults
			c.want(&want)
			if err != nil || len(warnings) > 0 || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, warnings %v, %v; want %+v", got, warnings, err, want)
			}
		})
	}
}

// TestFormerNames: keys and flags of earlier versions still work and cause a warning.
func TestFormerNames(t *testing.T) {
	for _, c := range []struct {
		name     string
		file     string
		args     []string
		warnings []string
	}{
		{"file", `{"name":"n","sum":5,"tape":"f","tape_bytes":8192}`, nil, []string{"sum=count", "tape=recording", "tape_bytes=recording_bytes"}},
		{"flags", "", []string{"--name", "n", "--sum", "5", "--tape", "f", "--tape-bytes", "8192"}, []string{"--sum=--count", "--tape=--recording", "--tape-bytes=--recording-bytes"}},
		{"both forms mixed", `{"name":"n","count":5,"tape":"g"}`, []string{"--recording", "f", "--tape-bytes", "8192"}, []string{"tape=recording", "--tape-bytes=--recording-bytes"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			args := c.args
			if c.file != "" {
				args = append([]string{"--settings", settingsFile(t, c.file)}, args...)
			}
			got, warnings, err := load(t, args...)
			want := testSettings{Name: "n", Count: 5, RecordingSettings: RecordingSettings{Recording: "f", RecordingBytes: 8192}}
			if err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("got %+v, %v; want %+v", got, err, want)
			}
			if !slices.Equal(warnings, c.warnings) {
				t.Errorf("warnings %v, want %v", warnings, c.warnings)
			}
		})
	}
}

// TestInvalidSettings: the error lists every mistake with its remedy.
func TestInvalidSettings(t *testing.T) {
	for _, c := range []struct {
		name string
		file string
		args []string
		want []string
	}{
		{"no name", "", nil, []string{`name: "" breaks the rule required ; set it in the file or by --name`}},
		{"several", "", []string{"--name", "n n", "--addr", "here:1", "--count", "many", "--on", "perhaps", "--list", "10.0.0.1:70000"}, []string{
			"--count: is not a whole number", "--on: is not true or false", `name: "n n" breaks the rule name`,
			`addr: "here:1" breaks the rule ipport`, `list[0]: "10.0.0.1:70000" breaks the rule ipport ; set it in the file or by --list`}},
		{"unknown key", `{"name":"n","nonsense":1}`, nil, []string{`unknown field "nonsense"; compare with examples/settings`}},
		{"unknown key beside a former one", `{"name":"n","tape":"f","nonsense":1}`, nil, []string{`unknown field "nonsense"; compare with examples/settings`}},
		{"not JSON", `name = n`, nil, []string{"invalid character", "compare with examples/settings", "name: "}},
		{"not an object", `["n"]`, nil, []string{"cannot unmarshal array", "compare with examples/settings"}},
		{"both names in the file", `{"name":"n","count":2,"sum":3}`, nil, []string{"count and its former name sum are both set; remove sum"}},
		{"both names as flags", "", []string{"--name", "n", "--count", "2", "--sum", "3"}, []string{"--count and its former name --sum are both given; remove --sum"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			args := c.args
			if c.file != "" {
				args = append([]string{"--settings", settingsFile(t, c.file)}, args...)
			}
			_, _, err := load(t, args...)
			if err == nil {
				t.Fatal("no error")
			}
			for _, want := range c.want {
				if !strings.Contains(err.Error(), want) {
					t.Errorf("%q is not in\n%v", want, err)
				}
			}
		})
	}
	t.Run("no such file", func(t *testing.T) {
		_, _, err := load(t, "--settings", filepath.Join(t.TempDir(), "none.json"))
		if err == nil || !strings.Contains(err.Error(), "give --settings an existing file") {
			t.Errorf("%v", err)
		}
	})
}
