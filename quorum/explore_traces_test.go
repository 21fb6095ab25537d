package quorum

import "testing"

// TestKeptTraces plays the shortest traces that violate an invariant once a safeguard is
// removed. They were found by the explorer, or written by hand where it rarely reaches such a
// case.
func TestKeptTraces(t *testing.T) {
	for _, test := range []struct {
		safeguard string // its name in scripts/weaken
		config    clusterConfig
		trace     string
	}{
		{"acknowledged before the sync", three,
			"tick 1; power a 1; tick 3; put b 1; stall b; put b 0; tick 1; power b 1; start b; start a; tick 5"},
		{"no grace after a start", three,
			"tick 4; cut b c; cut c b; tick 5; step 4; kill a; start a; tick 4"},
		{"no hold-off for the live leader", three,
			"isolate c; heal c a; heal a c; tick 6"},
		{"older logs count as well", three,
			"tick 4; isolate b; claim b 1; tick 5; power a 2; start a; heal-all; tick 5"},
		{"uncertain changes are kept by a snapshot", three,
			"tick 4; put b 0; power c 0; kill b; kill a; tick 1; start c; start a; tick 1; start b; tick 4"},
		{"renewed role leases are forgotten by a new leader", three,
			"tick 4; acquire b 0; tick 1; leave b; tick 3; acquire a 1; acquire c 1; tick 1"},
		{"reads without a live lease", three,
			"tick 4; put b 0; tick 1; freeze b; tick 8; put a 0; put c 0; tick 1; thaw b; get b 0"},
		{"a promise is not recorded", three,
			"tick 4; hold b a; tick 2; kill b; tick 5; put a 0; power c 0; tick 1; start c; start b; power a 0; tick 8; start a; put b 0; heal-all; tick 6"},
		{"lease counted from the answer", three,
			"tick 3; power b 0; start b; tick 5; freeze a; tick 7; put c 0; tick 1; thaw a; tick 1"},
		{"served before a majority recovered", three,
			"tick 4; cut b a; cut b c; put b 0; step 1; kill b; heal-all; start b; isolate c; tick 3; step 1; stall a; tick 2; power a 0; kill b; start a; heal-all; tick 14"},
		{"a step before every slot is recovered", threeOfFive,
			"tick 5; cut b a; cut a b; put b 0; tick 1; kill b; heal-all; start d; voterset c 512; tick 4; start e; voterset c 1026; tick 2; heal-all; isolate c; tick 12"},
		{"any change of the voter set is a step", threeOfFive,
			"tick 5; voterset c 3582; tick 2"},
		{"claims are forgotten at takeover", three,
			"tick 4; claim b 1; tick 1; leave b; tick 3; claim a 1"},
		{"a floor is trusted before it is beyond doubt", withGenerations,
			"tick 10; claim b 2; tick 4; power b 0; start b; tick 1"},
	} {
		t.Run(test.safeguard, func(t *testing.T) {
			if cl := play(test.config, parseTrace(test.trace)); cl.checker.violation != "" {
				t.Fatal(cl.checker.violation)
			}
		})
	}
}

// TestCatchUpInParts: a key that changes again while a voter catches up in chunks is not
// missing from what the voter then claims to have.
func TestCatchUpInParts(t *testing.T) {
	for _, actions := range []string{
		"tick 4; power a 2; put b 1; isolate c; start a; put b 0; acquire b 0; put b 1; heal-all; tick 1; isolate b; tick 5",
		"tick 3; power b 1; start b; tick 5; cut a c; put a 1; power b 1; put a 0; start b; put a 1; heal-all; tick 1",
	} {
		if cl := play(inChunks, parseTrace(actions)); cl.checker.violation != "" {
			t.Errorf("%s: %s", actions, cl.checker.violation)
		}
	}
}

// TestLateMessages: an answer to a voter's previous process may arrive after a restart that
// lost unsynced records. It is not taken for an answer to the new process.
func TestLateMessages(t *testing.T) {
	for _, test := range []struct{ name, trace string }{
		{"a snapshot chunk", "tick 5; step 60; stall a; put b 1; step 60; cut b a; put b 0; step 60; heal b a; put b 0; step 2; hold b a; step 60; power a 0; start a; tick 1; step 60; heal b a; postpone; step 60"},
		{"a vote", "tick 5; step 60; stall a; put b 1; step 60; tick 1; step 60; kill b; tick 3; step 5; late; step 60; power a 0; start a; tick 3; release 0; step 60; tick 14"},
	} {
		if cl := play(three, parseTrace(test.trace)); cl.checker.violation != "" {
			t.Errorf("%s: %s", test.name, cl.checker.violation)
		}
	}
}
