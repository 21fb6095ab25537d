package proxy

import (
	"errors"
	"slices"
	"testing"

	"violetthread/internal/codec"
	"violetthread/internal/controlorder"
	"violetthread/placement"
	"violetthread/route"
	"violetthread/schema/fb"
)

const second = 1_000_000

// fullState returns a node's response with a fleet map of one engine, the age of its list of
// engines, and how long ago version 2 of model m was announced.
func fullState(node uint64, listAge int64, engine string, announcedAge int64, term uint64) *fb.MapResponseT {
	return &fb.MapResponseT{Incarnation: node, Known: true, FullMap: true, ListAge: listAge, Proxies: 3, AnnouncedTerm: term,
		Engines: []*fb.MapEngineT{{Id: engine}}, Announced: []*fb.AnnouncedVersionT{{Model: "m", Version: 2, Age: announcedAge}}}
}

// TestSwitchingNodesKeepsAnnouncementAges: switching to a node that learnt of new weights later must
// not make older weights usable again.
func TestSwitchingNodesKeepsAnnouncementAges(t *testing.T) {
	const within = 12 * second
	v := &view{}
	v.merge(fullState(1, 0, "e", 11*second, 5), 100*second)
	v.merge(fullState(2, 0, "e", 1*second, 5), 102*second)
	if least := v.minVersion(103*second, "m", route.VersionLimits{PerTermUS: within}); least != 2 {
		t.Errorf("attempts may still start on older weights 14 s after version 2 was announced: minimum version %d", least)
	}
	before := *v
	v.merge(fullState(2, 0, "e", 4*second, 6), 104*second) // the rollout role has moved to another node
	if least := v.minVersion(105*second, "m", route.VersionLimits{PerTermUS: within}); least != 0 {
		t.Errorf("minimum version %d, though the deadline was restarted", least)
	}
	if least := before.minVersion(105*second, "m", route.VersionLimits{PerTermUS: within}); least != 2 {
		t.Error("a published view has changed")
	}
	v.merge(fullState(1, 0, "e", 90*second, 5), 106*second) // a node that does not know that yet
	if least := v.minVersion(107*second, "m", route.VersionLimits{PerTermUS: within}); least != 0 {
		t.Errorf("minimum version %d, taken from a node of an earlier term", least)
	}
}

// unchangedState returns a node's response without a fleet map, since that has not changed.
func unchangedState(node uint64, listAge int64) *fb.MapResponseT {
	return &fb.MapResponseT{Incarnation: node, Known: true, ListAge: listAge, Proxies: 3}
}

// TestOlderEngineListIsDeferred: a node's older list of engines must not replace a newer one, or an
// engine that has left would reappear. It is used once the node has read a newer list, or after
// pendingMapWaitUS.
func TestOlderEngineListIsDeferred(t *testing.T) {
	v := &view{}
	use := func(what string, m *fb.MapResponseT, at int64, want string) {
		t.Helper()
		engines, ok := v.merge(m, at)
		switch {
		case ok && engines[0].Id != want:
			t.Errorf("%s: the map of %q is used, not %q", what, engines[0].Id, want)
		case !ok && want != "":
			t.Errorf("%s: the map is not used", what)
		}
	}
	use("the first map", fullState(1, second, "one", 0, 1), 100*second, "one")
	use("a newer map of the same node", fullState(1, second, "one more", 0, 1), 100*second+1, "one more")
	use("an older list of another node", fullState(2, 2*second, "two", 0, 1), 100*second+2, "")
	use("its list is still older", unchangedState(2, 2*second+200_000), 100*second+200_000, "")
	use("it has read a newer list", unchangedState(2, 100_000), 101*second, "two")
	use("nothing new", unchangedState(2, 200_000), 101*second+100_000, "")
	use("an older list of a third node", fullState(3, 9*second, "three", 0, 1), 102*second, "")
	use("the platform is down", unchangedState(3, 13*second), 102*second+pendingMapWaitUS+1, "three")
	use("a node that has just started", fullState(4, codec.AgeNeverRead, "none", 0, 1), 107*second, "")
	use("and 10 s later", unchangedState(4, codec.AgeNeverRead), 117*second, "")
	use("once it has read a list", fullState(4, 0, "four", 0, 1), 118*second, "four")
}

// TestProxyCountDoesNotFallWhenCutOff: an isolated node no longer counts proxies that still exist.
// That must not raise the share of the retry allowance that each proxy may spend.
func TestProxyCountDoesNotFallWhenCutOff(t *testing.T) {
	v := &view{}
	all := fullState(1, 0, "e", 0, 1)
	all.Proxies = 9
	v.merge(all, 100*second)
	cut := unchangedState(1, 0)
	cut.Age = 5 * second
	v.merge(cut, 105*second)
	if v.proxies != 9 {
		t.Errorf("%d proxies are counted, as an isolated node reports", v.proxies)
	}
	v.merge(unchangedState(1, 0), 106*second)
	if v.proxies != 3 {
		t.Errorf("%d proxies are counted, 3 are reported", v.proxies)
	}
}

func TestIsIsolated(t *testing.T) {
	for _, c := range []struct {
		known         bool
		config, named int64
		want          bool
	}{
		{true, 300_000, 300_000, false}, {true, 2 * second, 0, true}, {true, 0, 2 * second, true}, {false, 0, 0, true}, {true, 0, codec.AgeNeverRead, true},
	} {
		if got := isIsolated(&fb.MapResponseT{Known: c.known, Age: c.config, AnnouncedAge: c.named}); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// TestStaleVoterSetRemovesNoNodes: an isolated node may report an old set of voters. Voters added
// since must not be removed because of it.
func TestStaleVoterSetRemovesNoNodes(t *testing.T) {
	f := newFollower(&server{settings: Settings{Seeds: []string{"a"}}})
	f.setNodes([]string{"b", "c"}, true)
	f.setNodes([]string{"a", "d"}, false)
	if len(f.nodes) != 4 {
		t.Errorf("%d nodes are known, want 4", len(f.nodes))
	}
	f.setNodes([]string{"b", "d"}, true)
	if f.nodes["c"] != nil || len(f.nodes) != 3 {
		t.Errorf("%d nodes are known, want 3 without c", len(f.nodes))
	}
}

// TestConfigurationRevisionNeverDecreases: the configuration revision never decreases, and the age
// of one revision does not make another one count as fresh.
func TestConfigurationRevisionNeverDecreases(t *testing.T) {
	const damaged = "damaged"
	parse := func(text []byte, rev uint64) *route.Table {
		if string(text) == damaged {
			return nil
		}
		return route.Compile(route.Config{}, rev)
	}
	v := &view{}
	for i, s := range []struct {
		rev      uint64
		text     string
		known    bool
		at, age  int64
		wantRev  uint64
		wantFrom int64 // when it was last known to be in force
	}{
		{0, "", false, 9 * second, 0, 0, 0},                         // the node has no configuration
		{7, "seven", true, 10 * second, second, 7, 9 * second},      // the first revision
		{7, "", true, 11 * second, 0, 7, 11 * second},               // confirmed
		{7, "", true, 12 * second, 5 * second, 7, 11 * second},      // an isolated node
		{5, "five", true, 13 * second, 0, 7, 11 * second},           // a node with an older revision
		{9, damaged, true, 14 * second, 0, 7, 11 * second},          // an unreadable configuration is not used
		{9, "", true, 15 * second, 0, 7, 11 * second},               // reported without its text
		{9, "nine", true, 16 * second, 20 * second, 9, 11 * second}, // an old report
		{9, "", true, 17 * second, 300_000, 9, 17*second - 300_000}, // a fresh report of the same revision
		{8, "eight", true, 18 * second, 0, 9, 17*second - 300_000},  // another node's older revision
		{9, "", false, 19 * second, 0, 9, 17*second - 300_000},      // a node that has just started
	} {
		state := &fb.MapResponseT{Known: s.known, Revision: s.rev, Config: []byte(s.text), Age: s.age}
		v.mergeConfig(state, s.at, parse)
		if v.revision != s.wantRev || v.configAt != s.wantFrom {
			t.Fatalf("step %d: revision %d in force at %d, want %d at %d", i, v.revision, v.configAt, s.wantRev, s.wantFrom)
		}
	}
}

// TestRetryUsesCurrentMinVersion: a retry starts later than the first attempt, and by then the
// weights of an engine may be outdated.
func TestRetryUsesCurrentMinVersion(t *testing.T) {
	const announcedAt = 100 * second
	u := NewStandalone(t, nil, route.Compile(route.Config{}, 1))
	u.SetEngines(&placement.Engine{ID: "old", Pool: "p", Addr: "127.0.0.1:1", Weights: map[string]uint64{"m": 1}})
	v := *u.server.view.Load()
	v.merge(fullState(1, 0, "old", 0, 1), announcedAt)
	u.server.view.Store(&v)
	p := &forwardedRequest{server: u.server, info: RequestInfo{Model: "m"}, placement: placement.Request{Pool: "p", Model: "m", TriedEngines: map[string]bool{}}}
	within := u.server.settings.Bounds.VersionApplyUS
	if _, err := p.pickEngine(announcedAt+within/2, false); err != nil {
		t.Fatal(err)
	}
	if _, err := p.pickEngine(announcedAt+within, true); !errors.Is(err, errNoEngine) {
		t.Fatalf("an engine with outdated weights was selected at the deadline: %v", err)
	}
}

// TestIsolatedNodeIsTriedLast: a node that responds but is isolated is polled again only after all
// others, even though it is in the proxy's own zone and responds fast.
func TestIsolatedNodeIsTriedLast(t *testing.T) {
	const now = 100 * second
	f := &follower{server: &server{settings: Settings{Name: "p", Zone: "north"}}, nodes: map[string]*controlorder.Node{
		"near": {Zone: "north", FailedAt: now - 100},
		"far1": {Zone: "south", FailedAt: now - second},
		"far2": {Zone: "west", FailedAt: now - second/2},
	}}
	want := func(what string, now int64, names ...string) {
		t.Helper()
		if got := f.order(now); !slices.Equal(got, names) {
			t.Errorf("%s: order %v, want %v", what, got, names)
		}
	}
	want("all failed lately", now, "far1", "far2", "near")
	f.nodes["far1"].FailedAt = now
	want("one failed again", now+1, "far2", "near", "far1")
	f.nodes["far2"].FailedAt = 0
	want("one responded normally", now+1, "far2", "near", "far1")
	want("a while later", now+2*second, "near", "far2", "far1")
}
