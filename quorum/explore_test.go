package quorum

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// The worlds that are explored.
var (
	three       = config{voters: 3, machines: 3, slots: 1, chunk: 1 << 20}
	twoSlots    = config{voters: 3, machines: 3, slots: 2, chunk: 1 << 20}
	withEras    = config{voters: 3, machines: 3, slots: 2, chunk: 1 << 20, eraTerm: 3 * tickTime}
	late        = config{voters: 3, machines: 3, slots: 1, chunk: 1 << 20, lateness: true}
	inParts     = config{voters: 3, machines: 3, slots: 1, chunk: 300}
	threeOfFive = config{voters: 3, machines: 5, slots: 2, chunk: 1 << 20}
	seated      = config{voters: 3, machines: 5, slots: 2, chunk: 1 << 20, seats: 3}
	fourOfFive  = config{voters: 4, machines: 5, slots: 1, chunk: 1 << 20}
	five        = config{voters: 5, machines: 5, slots: 1, chunk: 1 << 20}
)

// level says how far the explorer goes: VT_EXPLORE, or 1 as in CI.
func level() int {
	n, err := strconv.Atoi(os.Getenv("VT_EXPLORE"))
	if err != nil || n < 1 {
		return 1
	}
	return n
}

// report fails the test with the shortest trace that still breaks the rule, in the
// form that TestKeptTraces takes.
func report(t *testing.T, c config, tr trace, wrong string) {
	t.Helper()
	short := shorten(c, tr, kindOf(wrong))
	t.Fatalf("%s\nthe shortest trace, in %+v:\n%q\n%s", wrong, c, short, play(c, short).judge.wrong)
}

// TestWalks draws random courses of every world, the same ones every time; as many
// times more as VT_EXPLORE says.
func TestWalks(t *testing.T) {
	for _, c := range []struct {
		name   string
		config config
		walks  int
	}{
		{"three", three, 400},
		{"two slots", twoSlots, 200},
		{"eras", withEras, 250},
		{"late messages", late, 150},
		{"in parts", inParts, 250},
		{"roster", threeOfFive, 80},
		{"seats", seated, 80},
		{"four", fourOfFive, 70},
		{"five", five, 50},
	} {
		t.Run(c.name, func(t *testing.T) { walks(t, c.config, c.walks*level()) })
	}
}

func walks(t *testing.T, c config, count int) {
	begin := time.Now()
	inputs, changes, rosters := 0, 0, 0
	for seed := int64(1); seed <= int64(count); seed++ {
		tr, w := walk(c, seed, 80)
		if w.judge.wrong != "" {
			t.Logf("seed %d", seed)
			report(t, c, tr, w.judge.wrong)
		}
		if err := w.judge.linearizable(); err != nil {
			t.Fatalf("seed %d: %v\n%q", seed, err, tr)
		}
		inputs += *w.inputs
		rosters += len(w.judge.rosters) - 1
		for _, o := range w.judge.history {
			if o.known && o.op.Type == OpPut {
				changes++
			}
		}
	}
	t.Logf("%d walks, %d inputs, %d changes confirmed, %d steps of the roster, %.1f s", count, inputs, changes, rosters, time.Since(begin).Seconds())
	if changes < 2*count {
		t.Fatalf("%d changes confirmed: too little to prove anything", changes)
	}
}

// Prefixes that searches start from.
const (
	calm    = "tick 5"
	torn    = "tick 4; cut b a; cut b c; put b 0; step 1; kill b; heal-all"
	behind  = "tick 5; put b 0; tick 1; isolate c; put b 0; tick 1; put b 1; tick 1; heal-all"
	partial = "tick 5; put b 0; tick 1; isolate a; hold c b; put b 0; tick 1; heal-all"
)

// TestSearch visits every course that strays from the ordinary one at most so many
// times; VT_EXPLORE adds ticks.
func TestSearch(t *testing.T) {
	for _, c := range []struct {
		name          string
		config        config
		prefix        string
		ticks, strays int
	}{
		{"three", three, calm, 4, 1},
		{"three, two strays", three, calm, 1, 2},
		{"a change torn", three, torn, 4, 1},
		{"one behind", three, behind, 3, 1},
		{"one ahead", three, partial, 3, 1},
		{"two slots", twoSlots, calm, 3, 1},
		{"four", fourOfFive, calm, 2, 1},
		{"five", five, calm, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			begin := time.Now()
			s := newSearch(c.config)
			s.run(readTrace(c.prefix), c.ticks+level()-1, c.strays)
			if s.found != "" {
				report(t, c.config, s.trace, s.found)
			}
			took := time.Since(begin).Seconds()
			t.Logf("%d ticks, %d strays: %v, %.1f s, %.0f states/s", c.ticks+level()-1, c.strays, s, took, float64(len(s.seen))/took)
		})
	}
}
