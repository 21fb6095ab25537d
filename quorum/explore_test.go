package quorum

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// The worlds that are explored.
var (
	three            = worldConfig{voters: 3, machines: 3, slots: 1, chunkBytes: 1 << 20}
	twoSlots         = worldConfig{voters: 3, machines: 3, slots: 2, chunkBytes: 1 << 20}
	withGenerations  = worldConfig{voters: 3, machines: 3, slots: 2, chunkBytes: 1 << 20, generationDuration: 3 * tickInterval}
	withLateMessages = worldConfig{voters: 3, machines: 3, slots: 1, chunkBytes: 1 << 20, lateMessages: true}
	inChunks         = worldConfig{voters: 3, machines: 3, slots: 1, chunkBytes: 300}
	threeOfFive      = worldConfig{voters: 3, machines: 5, slots: 2, chunkBytes: 1 << 20}
	withSeats        = worldConfig{voters: 3, machines: 5, slots: 2, chunkBytes: 1 << 20, seats: 3}
	fourOfFive       = worldConfig{voters: 4, machines: 5, slots: 1, chunkBytes: 1 << 20}
	five             = worldConfig{voters: 5, machines: 5, slots: 1, chunkBytes: 1 << 20}
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
func report(t *testing.T, c worldConfig, tr trace, wrong string) {
	t.Helper()
	short := shorten(c, tr, kindOf(wrong))
	t.Fatalf("%s\nthe shortest trace, in %+v:\n%q\n%s", wrong, c, short, play(c, short).checker.violation)
}

// TestWalks draws random courses of every world, the same ones every time; as many
// times more as VT_EXPLORE says.
func TestWalks(t *testing.T) {
	for _, c := range []struct {
		name   string
		config worldConfig
		walks  int
	}{
		{"three", three, 400},
		{"two slots", twoSlots, 200},
		{"eras", withGenerations, 250},
		{"late messages", withLateMessages, 150},
		{"in parts", inChunks, 250},
		{"roster", threeOfFive, 80},
		{"seats", withSeats, 80},
		{"four", fourOfFive, 70},
		{"five", five, 50},
	} {
		t.Run(c.name, func(t *testing.T) { walks(t, c.config, c.walks*level()) })
	}
}

func walks(t *testing.T, c worldConfig, count int) {
	begin := time.Now()
	inputs, changes, rosters := 0, 0, 0
	for seed := int64(1); seed <= int64(count); seed++ {
		tr, w := walk(c, seed, 80)
		if w.checker.violation != "" {
			t.Logf("seed %d", seed)
			report(t, c, tr, w.checker.violation)
		}
		if err := w.checker.linearizable(); err != nil {
			t.Fatalf("seed %d: %v\n%q", seed, err, tr)
		}
		inputs += *w.inputs
		rosters += len(w.checker.voterSets) - 1
		for _, o := range w.checker.history {
			if o.tookEffect && o.operation.Type == OpPut {
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
	calm       = "tick 5"
	changeTorn = "tick 4; cut b a; cut b c; put b 0; step 1; kill b; heal-all"
	oneBehind  = "tick 5; put b 0; tick 1; isolate c; put b 0; tick 1; put b 1; tick 1; heal-all"
	oneAhead   = "tick 5; put b 0; tick 1; isolate a; hold c b; put b 0; tick 1; heal-all"
)

// TestSearch visits every course that strays from the ordinary one at most so many
// times; VT_EXPLORE adds ticks.
func TestSearch(t *testing.T) {
	for _, c := range []struct {
		name          string
		config        worldConfig
		prefix        string
		ticks, strays int
	}{
		{"three", three, calm, 4, 1},
		{"three, two strays", three, calm, 1, 2},
		{"a change torn", three, changeTorn, 4, 1},
		{"one behind", three, oneBehind, 3, 1},
		{"one ahead", three, oneAhead, 3, 1},
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
