package main

import (
	"bytes"
	"errors"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/pelletier/go-toml/v2"
)

// siteText is a deployment's file made up for these tests.
const siteText = `
name = "test"
contracts = ["base", "config"]
zones = [{ name = "east" }, { name = "west" }]
services = [{ name = "models", model = "llm" }, { name = "store", model = "kvstore" }]
classes = [{ name = "short", attempts = 1 }, { name = "long", attempts = 2, stream = { resume = true, gap_ms = 20 } }]
models = [{ name = "m0" }]
machines = [{ class = "front", count = 3 }, { class = "core", count = 4, disk = { mb = 128, sync_ms = 2 } }]
traffic = [{ zone = "east", per_s = 40.0, clients = 5, shape = { kind = "wave", swing = 0.1 } }, { zone = "west", per_s = 10 }]
[[day]]
slot = "quiet"
one = 0.9
zero = 0.5
[[day]]
slot = "trouble"
one = 0.7
zero = 0.3
`

// manySeeds gives thirty days of each of the ten themes.
const manySeeds = 300

func testSite(t *testing.T) (site, string) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "site.toml")
	if err := os.WriteFile(path, []byte(siteText), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := readSite(path)
	if err != nil {
		t.Fatal(err)
	}
	return s, path
}

func TestSameSeedSameDay(t *testing.T) {
	_, sitePath := testSite(t)
	folder := t.TempDir()
	texts := map[string]string{}
	for _, name := range []string{"first", "again"} {
		path := filepath.Join(folder, "made", name+".toml")
		if err := run([]string{"draw", sitePath, "17", path}, nil); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		texts[name] = string(text)
	}
	if texts["first"] != texts["again"] {
		t.Error("the same seed gave different days")
	}
	s, _ := testSite(t)
	if draw(s, 17).Traffic[0]["per_s"] == draw(s, 27).Traffic[0]["per_s"] {
		t.Error("different seeds of a theme gave the same traffic")
	}
}

func TestWrittenDayReadsBack(t *testing.T) {
	s, _ := testSite(t)
	for seed := range uint64(manySeeds) {
		path := filepath.Join(t.TempDir(), "day.toml")
		want := draw(s, seed)
		if err := want.write(path); err != nil {
			t.Fatal(err)
		}
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		var got struct {
			Days []day `toml:"day"`
		}
		if err := toml.Unmarshal(text, &got); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		if len(got.Days) != 1 || !slices.Equal(got.Days[0].Plan, want.Plan) || !slices.Equal(got.Days[0].Faults, want.Faults) {
			t.Fatalf("seed %d: the day read back differs from the drawn one", seed)
		}
	}
}

func TestEntriesAreInOrder(t *testing.T) {
	s, _ := testSite(t)
	for seed := range uint64(manySeeds) {
		drawn := draw(s, seed)
		for _, e := range slices.Concat(drawn.Plan, drawn.Faults) {
			if e.At < 2 || e.At > drawn.LengthS-quietTailS {
				t.Errorf("seed %d: %s at %v of %v s", seed, e.Kind, e.At, drawn.LengthS)
			}
			if e.Share < 0 || e.Share > 1 {
				t.Errorf("seed %d: %s with a share of %v", seed, e.Kind, e.Share)
			}
			if strings.Contains(e.How, "  ") || strings.TrimSpace(e.How) != e.How {
				t.Errorf("seed %d: %s with a variant %q", seed, e.Kind, e.How)
			}
		}
		for _, e := range drawn.Faults {
			if isPlanned[e.Kind] {
				t.Errorf("seed %d: planned work %s is listed as a fault", seed, e.Kind)
			}
		}
	}
}

func TestEveryKindComes(t *testing.T) {
	s, _ := testSite(t)
	s.Contracts = append(s.Contracts, "pool", "health")
	seen := map[string]bool{}
	for seed := range uint64(manySeeds) {
		drawn := draw(s, seed)
		for _, e := range slices.Concat(drawn.Plan, drawn.Faults) {
			seen[e.Kind] = true
		}
	}
	for kind := range kinds {
		if !seen[kind] {
			t.Errorf("%s was never drawn", kind)
		}
	}
}

func TestContractsBoundKinds(t *testing.T) {
	s, _ := testSite(t)
	for seed := range uint64(manySeeds) {
		drawn := draw(s, seed)
		for _, e := range drawn.Faults {
			if needed := contractOf[e.Kind]; needed != "" {
				t.Errorf("seed %d: %s needs the contract %s", seed, e.Kind, needed)
			}
		}
	}
}

func TestEveryClosingFaultComes(t *testing.T) {
	s, _ := testSite(t)
	seen := map[string]bool{}
	for seed := range uint64(manySeeds) {
		if last := draw(s, seed).Closing; last != nil {
			seen[joinVariants(last.Kind, last.How)] = true
		}
	}
	for _, want := range []string{
		"power_off_all", "power_off_all timed", "kill_all", "kill_all timed",
		"wipe_after_ack", "wipe_after_ack aimed", "wipe_after_ack timed", "wipe_after_ack aimed timed",
	} {
		if !seen[want] {
			t.Errorf("%s was never drawn; seen: %v", want, slices.Sorted(maps.Keys(seen)))
		}
	}
}

func TestTrafficIsScaled(t *testing.T) {
	s, _ := testSite(t)
	scaled := scale(s.Traffic, 0.5)
	if scaled[0]["per_s"] != 20.0 || scaled[1]["per_s"] != 5.0 {
		t.Errorf("half of the traffic is %v and %v", scaled[0]["per_s"], scaled[1]["per_s"])
	}
	if s.Traffic[0]["per_s"] != 40.0 {
		t.Error("the site's own traffic changed")
	}
}

func TestSlowerDisks(t *testing.T) {
	s, _ := testSite(t)
	slower := 0
	for seed := range uint64(manySeeds) {
		drawn := draw(s, seed)
		if len(drawn.Machines) == 0 {
			continue
		}
		slower++
		if len(drawn.Machines) != len(s.Machines) || drawn.Machines[0]["disk"] != nil {
			t.Fatalf("seed %d: machines differ from the site's in more than their disks: %v", seed, drawn.Machines)
		}
		disk := drawn.Machines[1]["disk"].(map[string]any)
		if sync := disk["sync_ms"].(float64); sync < 10 || sync > 60 || disk["mb"] != int64(128) {
			t.Errorf("seed %d: a disk %v", seed, disk)
		}
	}
	if slower == 0 || slower == manySeeds {
		t.Errorf("%d of %d days with slower disks", slower, manySeeds)
	}
	if disk := s.Machines[1]["disk"].(map[string]any); disk["sync_ms"] != int64(2) {
		t.Error("the site's own disks changed")
	}
}

func TestOnceOnly(t *testing.T) {
	s, _ := testSite(t)
	found := 0
	for seed := range uint64(manySeeds) {
		drawn := draw(s, seed)
		if len(drawn.Classes) == 0 {
			continue
		}
		found++
		stream := drawn.Classes[1]["stream"].(map[string]any)
		if stream["resume"] != false || stream["gap_ms"] != int64(20) {
			t.Errorf("seed %d: a stream %v", seed, stream)
		}
		for _, e := range drawn.Classes {
			if attempts := e["attempts"].(int); attempts < 2 || attempts > 4 {
				t.Errorf("seed %d: %d attempts", seed, attempts)
			}
		}
	}
	if found == 0 || found == manySeeds {
		t.Errorf("%d of %d days with once-only routes", found, manySeeds)
	}
	if s.Classes[1]["stream"].(map[string]any)["resume"] != true {
		t.Error("the site's own classes changed")
	}
}

func TestReferenceDay(t *testing.T) {
	s, _ := testSite(t)
	if got := s.referenceDay(); got.One != 0.7 || got.Zero != 0.3 {
		t.Errorf("reference day %+v", got)
	}
}

func TestSiteErrors(t *testing.T) {
	for name, text := range map[string]string{
		"not TOML":   "name = ",
		"no engines": strings.ReplaceAll(siteText, `model = "llm"`, `model = "app"`),
		"no days":    siteText[:strings.Index(siteText, "[[day]]")],
	} {
		path := filepath.Join(t.TempDir(), "site.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := readSite(path); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestLine(t *testing.T) {
	for _, c := range []struct {
		name, report string
		failed       bool
		wants        []string
	}{
		{"clean", `{"served":0.9,"breaks":{},"fault":null,"short":[],"exits":[],"configs":200}`, false,
			[]string{"gate passed", "rules none", "changes  200", "own ends 0"}},
		{"own end", `{"exits_n":23,"exits":[{"node":"core-1","at_s":4.26,"why":"it ended with code 2","log":"..."}]}`, false,
			[]string{"gate passed", "own ends 23", "[core-1 at 4.3 s: it ended with code 2]"}},
		{"rules", `{"breaks":{"LOST":1,"CONFIG":2}}`, true, []string{"gate FAILED", "rules CONFIG,LOST"}},
		{"fault", `{"fault":"does not start"}`, true, []string{"gate FAILED", "fault: does not start"}},
		{"short", `{"short":["floor"]}`, true, []string{"gate FAILED", "short: [floor]"}},
	} {
		path := filepath.Join(t.TempDir(), "report.json")
		if err := os.WriteFile(path, []byte(c.report), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		err := run([]string{"line", "test 1", path}, &out)
		if failed := errors.Is(err, errDayFailed); failed != c.failed || err != nil && !failed {
			t.Errorf("%s: error %v", c.name, err)
		}
		for _, want := range c.wants {
			if !strings.Contains(out.String(), want) {
				t.Errorf("%s: no %q in %q", c.name, want, out.String())
			}
		}
	}
}

func TestWrongUse(t *testing.T) {
	_, sitePath := testSite(t)
	for _, arguments := range [][]string{
		{}, {"play"}, {"draw", sitePath, "1"}, {"draw", sitePath, "-1", "x"}, {"draw", "missing.toml", "1", "x"},
		{"line", "x", "missing.json"}, {"kinds", "more"},
	} {
		if err := run(arguments, &bytes.Buffer{}); err == nil || errors.Is(err, errDayFailed) {
			t.Errorf("%v: error %v", arguments, err)
		}
	}
}

func TestKindsAreListed(t *testing.T) {
	var out bytes.Buffer
	if err := run([]string{"kinds"}, &out); err != nil {
		t.Fatal(err)
	}
	if lines := strings.Fields(out.String()); len(lines) != len(kinds) || !slices.IsSorted(lines) {
		t.Errorf("%d kinds listed of %d", len(lines), len(kinds))
	}
}

// TestExtraThemes checks that a named theme is used whatever the seed, and that an unknown one is
// an error. A day of the theme rollouts must announce new weights and restart engines.
func TestExtraThemes(t *testing.T) {
	s, sitePath := testSite(t)
	rollouts, err := themeOf("rollouts", 0)
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(manySeeds) {
		count := map[string]int{}
		drawn := drawTheme(s, seed, rollouts)
		for _, e := range slices.Concat(drawn.Plan, drawn.Faults) {
			count[e.Kind]++
			if e.At < 2 || e.At > drawn.LengthS-quietTailS {
				t.Errorf("seed %d: %s at %v of %v s", seed, e.Kind, e.At, drawn.LengthS)
			}
		}
		if count["version_bump"] < 2 || count["srv_crash"] < 3 || count["burst"]+count["srv_slow"] == 0 {
			t.Errorf("seed %d: a day of rollouts has %v", seed, count)
		}
	}
	path := filepath.Join(t.TempDir(), "day.toml")
	if err := run([]string{"draw", sitePath, "4", path, "rollouts"}, nil); err != nil {
		t.Error(err)
	}
	if err := run([]string{"draw", sitePath, "4", path, "nobody's"}, nil); err == nil {
		t.Error("no error for an unknown theme")
	}
}
