package daemon_test

import (
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"violetthread/internal/app/agent"
	"violetthread/internal/app/control"
	"violetthread/internal/app/gateway"
	"violetthread/internal/app/indexnode"
	"violetthread/internal/daemon"
)

// TestExampleSettings: every file in examples/settings contains valid and sufficient settings
// of its program.
func TestExampleSettings(t *testing.T) {
	settings := map[string]any{
		"agent.json":   ptr(agent.Defaults()),
		"control.json": ptr(control.Defaults()),
		"gateway.json": ptr(gateway.Defaults()),
		"index.json":   ptr(indexnode.Defaults()),
	}
	files, err := os.ReadDir("../../examples/settings")
	if err != nil || len(files) != len(settings) {
		t.Fatalf("%d examples for %d programs, %v", len(files), len(settings), err)
	}
	for name, s := range settings {
		t.Run(name, func(t *testing.T) {
			if err := daemon.LoadSettings("test", "", s, []string{"--settings", filepath.Join("../../examples/settings", name)}); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestFormerSettings: settings files and flags of earlier versions of the programs result in
// the same settings as the current ones.
func TestFormerSettings(t *testing.T) {
	const node = `{"name":"n","site":"z","http":"10.0.0.1:1","wire":"127.0.0.1:2","seeds":["10.0.0.2:2"]`
	for _, c := range []struct {
		name         string
		defaults     func() any
		former, file string
		formerFlags  []string
		flags        []string
	}{
		{"gateway", func() any { return ptr(gateway.Defaults()) },
			`,"runner":"127.0.0.1:3","tape":"f","tape_bytes":8192}`, `,"agent":"127.0.0.1:3","recording":"f","recording_bytes":8192}`,
			[]string{"--runner", "127.0.0.1:4", "--tape", "g"}, []string{"--agent", "127.0.0.1:4", "--recording", "g"}},
		{"index node", func() any { return ptr(indexnode.Defaults()) },
			`,"platform":"10.0.0.3:1","tape":"f","tape_bytes":8192}`, `,"platform":"10.0.0.3:1","recording":"f","recording_bytes":8192}`,
			[]string{"--tape-bytes", "9000"}, []string{"--recording-bytes", "9000"}},
		{"control node", func() any { return ptr(control.Defaults()) },
			`,"era_us":3000000,"eras":4}`, `,"generation_us":3000000,"generations":4}`,
			[]string{"--era-us", "2000000", "--eras", "3"}, []string{"--generation-us", "2000000", "--generations", "3"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, given := range []struct {
				name                    string
				former, current         string
				formerArgs, currentArgs []string
			}{
				{"file", node + c.former, node + c.file, nil, nil},
				{"flags", node + c.file, node + c.file, c.formerFlags, c.flags},
			} {
				t.Run(given.name, func(t *testing.T) {
					former, current := c.defaults(), c.defaults()
					mustLoad(t, former, given.former, given.formerArgs)
					mustLoad(t, current, given.current, given.currentArgs)
					if !reflect.DeepEqual(former, current) {
						t.Errorf("former names gave %+v, not %+v", former, current)
					}
					if reflect.DeepEqual(former, c.defaults()) {
						t.Error("nothing was set")
					}
				})
			}
		})
	}
}

// mustLoad loads a settings file with the given text, then flags. A setting may be in both the
// file and the flags, under its former or current name; the flag takes precedence.
func mustLoad(t *testing.T, settings any, text string, args []string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := daemon.LoadSettings("test", "", settings, append([]string{"--settings", path}, args...)); err != nil {
		t.Fatal(err)
	}
}

func ptr[T any](v T) *T { return &v }
