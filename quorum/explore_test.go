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
func report(t *testing.T, size worldConfig, actions trace, wrong string) {
	t.Helper()
	short := shorten(size, actions, kindOf(wrong))
	t.Fatalf("%s\nthe shortest trace, in %+v:\n%q\n%s", wrong, size, short, play(size, short).checker.violation)
}

// TestWalks draws random runs of every world, the same ones every time; as many
// times more as VT_EXPLORE says.
func TestWalks(t *testing.T) {
	for _, test := range []struct {
		name   string
		config worldConfig
		walks  int
	}{
		{"three", three, 400},
		{"two slots", twoSlots, 200},
		{"generations", withGenerations, 250},
		{"late messages", withLateMessages, 150},
		{"in chunks", inChunks, 250},
		{"voter set", threeOfFive, 80},
		{"seats", withSeats, 80},
		{"four", fourOfFive, 70},
		{"five", five, 50},
	} {
		t.Run(test.name, func(t *testing.T) { walks(t, test.config, test.walks*level()) })
	}
}

func walks(t *testing.T, size worldConfig, count int) {
	begin := time.Now()
	inputs, changes, setChanges := 0, 0, 0
	for seed := int64(1); seed <= int64(count); seed++ {
		actions, w := walk(size, seed, 80)
		if w.checker.violation != "" {
			t.Logf("seed %d", seed)
			report(t, size, actions, w.checker.violation)
		}
		if err := w.checker.linearizable(); err != nil {
			t.Fatalf("seed %d: %v\n%q", seed, err, actions)
		}
		inputs += *w.inputs
		setChanges += len(w.checker.voterSets) - 1
		for _, operation := range w.checker.history {
			if operation.tookEffect && operation.operation.Type == OpPut {
				changes++
			}
		}
	}
	t.Logf("%d walks, %d inputs, %d changes confirmed, %d changes of the voter set, %.1f s", count, inputs, changes, setChanges, time.Since(begin).Seconds())
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

// TestSearch visits every run that deviates from the ordinary one at most so many
// times; VT_EXPLORE adds ticks.
func TestSearch(t *testing.T) {
	for _, test := range []struct {
		name              string
		config            worldConfig
		prefix            string
		ticks, deviations int
	}{
		{"three", three, calm, 4, 1},
		{"three, two deviations", three, calm, 1, 2},
		{"a change torn", three, changeTorn, 4, 1},
		{"one behind", three, oneBehind, 3, 1},
		{"one ahead", three, oneAhead, 3, 1},
		{"two slots", twoSlots, calm, 3, 1},
		{"four", fourOfFive, calm, 2, 1},
		{"five", five, calm, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			begin := time.Now()
			s := newSearch(test.config)
			s.run(readTrace(test.prefix), test.ticks+level()-1, test.deviations)
			if s.found != "" {
				report(t, test.config, s.trace, s.found)
			}
			took := time.Since(begin).Seconds()
			t.Logf("%d ticks, %d deviations: %v, %.1f s, %.0f states/s", test.ticks+level()-1, test.deviations, s, took, float64(len(s.seen))/took)
		})
	}
}
