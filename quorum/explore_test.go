package quorum

import (
	"os"
	"strconv"
	"testing"
	"time"
)

// The explored clusters.
var (
	three            = clusterConfig{voters: 3, machines: 3, slots: 1, chunkBytes: 1 << 20}
	twoSlots         = clusterConfig{voters: 3, machines: 3, slots: 2, chunkBytes: 1 << 20}
	withGenerations  = clusterConfig{voters: 3, machines: 3, slots: 2, chunkBytes: 1 << 20, generationDuration: 3 * tickInterval}
	withLateMessages = clusterConfig{voters: 3, machines: 3, slots: 1, chunkBytes: 1 << 20, lateMessages: true}
	inChunks         = clusterConfig{voters: 3, machines: 3, slots: 1, chunkBytes: 300}
	threeOfFive      = clusterConfig{voters: 3, machines: 5, slots: 2, chunkBytes: 1 << 20}
	withTargetSize   = clusterConfig{voters: 3, machines: 5, slots: 2, chunkBytes: 1 << 20, targetSize: 3}
	fourOfFive       = clusterConfig{voters: 4, machines: 5, slots: 1, chunkBytes: 1 << 20}
	five             = clusterConfig{voters: 5, machines: 5, slots: 1, chunkBytes: 1 << 20}
)

// level is how far to explore: VT_EXPLORE, or 1 as in CI.
func level() int {
	n, err := strconv.Atoi(os.Getenv("VT_EXPLORE"))
	if err != nil || n < 1 {
		return 1
	}
	return n
}

// report fails the test with the shortest trace that still violates the invariant, in the form
// that TestKeptTraces takes.
func report(t *testing.T, size clusterConfig, actions trace, violation string) {
	t.Helper()
	short := shorten(size, actions, kindOf(violation))
	t.Fatalf("%s\nshortest trace, in %+v:\n%q\n%s", violation, size, short, play(size, short).checker.violation)
}

// TestWalks runs random walks in every cluster, the same ones every time. VT_EXPLORE multiplies
// their number.
func TestWalks(t *testing.T) {
	for _, test := range []struct {
		name   string
		config clusterConfig
		walks  int
	}{
		{"three", three, 400},
		{"two slots", twoSlots, 200},
		{"generations", withGenerations, 250},
		{"late messages", withLateMessages, 150},
		{"in chunks", inChunks, 250},
		{"voter set", threeOfFive, 80},
		{"seats", withTargetSize, 80},
		{"four", fourOfFive, 70},
		{"five", five, 50},
	} {
		t.Run(test.name, func(t *testing.T) { walks(t, test.config, test.walks*level()) })
	}
}

func walks(t *testing.T, size clusterConfig, count int) {
	begin := time.Now()
	inputs, changes, setChanges := 0, 0, 0
	for seed := int64(1); seed <= int64(count); seed++ {
		actions, cl := walk(size, seed, 80)
		if cl.checker.violation != "" {
			t.Logf("seed %d", seed)
			report(t, size, actions, cl.checker.violation)
		}
		if err := cl.checker.linearizable(); err != nil {
			t.Fatalf("seed %d: %v\n%q", seed, err, actions)
		}
		inputs += *cl.inputs
		setChanges += len(cl.checker.voterSets) - 1
		for _, operation := range cl.checker.history {
			if operation.tookEffect && operation.operation.Type == OpPut {
				changes++
			}
		}
	}
	t.Logf("%d walks, %d inputs, %d changes confirmed, %d changes of the voter set, %.1f s", count, inputs, changes, setChanges, time.Since(begin).Seconds())
	if changes < 2*count {
		t.Fatalf("only %d changes confirmed: the walks exercise too little", changes)
	}
}

// Prefixes from which searches start.
const (
	steadyState       = "tick 5"
	partialCommit     = "tick 4; cut b a; cut b c; put b 0; step 1; kill b; heal-all"
	oneFollowerBehind = "tick 5; put b 0; tick 1; isolate c; put b 0; tick 1; put b 1; tick 1; heal-all"
	oneFollowerAhead  = "tick 5; put b 0; tick 1; isolate a; hold c b; put b 0; tick 1; heal-all"
)

// TestSearch visits every run with at most the given number of deviations from the fault-free
// run; VT_EXPLORE adds ticks.
func TestSearch(t *testing.T) {
	for _, test := range []struct {
		name              string
		config            clusterConfig
		prefix            string
		ticks, deviations int
	}{
		{"three", three, steadyState, 4, 1},
		{"three voters, two deviations", three, steadyState, 1, 2},
		{"partly replicated change", three, partialCommit, 4, 1},
		{"one follower behind", three, oneFollowerBehind, 3, 1},
		{"one follower ahead", three, oneFollowerAhead, 3, 1},
		{"two slots", twoSlots, steadyState, 3, 1},
		{"four", fourOfFive, steadyState, 2, 1},
		{"five", five, steadyState, 1, 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			begin := time.Now()
			s := newSearch(test.config)
			s.run(parseTrace(test.prefix), test.ticks+level()-1, test.deviations)
			if s.found != "" {
				report(t, test.config, s.trace, s.found)
			}
			took := time.Since(begin).Seconds()
			t.Logf("%d ticks, %d deviations: %v, %.1f s, %.0f states/s", test.ticks+level()-1, test.deviations, s, took, float64(len(s.seen))/took)
		})
	}
}
