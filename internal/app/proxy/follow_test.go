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

// fullState is a node's answer with its map: its list of engines, by one engine's name, and
// since when weights of model m are announced.
func fullState(node uint64, listAge int64, engine string, announcedAge int64, term uint64) *fb.MapResponseT {
	return &fb.MapResponseT{Incarnation: node, Known: true, FullMap: true, ListAge: listAge, Proxies: 3, AnnouncedTerm: term,
		Engines: []*fb.MapEngineT{{Id: engine}}, Announced: []*fb.AnnouncedVersionT{{Model: "m", Version: 2, Age: announcedAge}}}
}

// Changing to a node that learnt of weights late does not make older ones good again.
func TestSwitchingNodesKeepsAges(t *testing.T) {
	const within = 12 * second
	v := &view{}
	v.merge(fullState(1, 0, "e", 11*second, 5), 100*second)
	v.merge(fullState(2, 0, "e", 1*second, 5), 102*second)
	if least := v.minVersion(103*second, "m", route.VersionLimits{PerTermUS: within}); least != 2 {
		t.Errorf("version %d may still be begun 14 s after 2 was announced", least)
	}
	before := *v
	v.merge(fullState(2, 0, "e", 4*second, 6), 104*second) // the rollout role changed hands
	if least := v.minVersion(105*second, "m", route.VersionLimits{PerTermUS: within}); least != 0 {
		t.Errorf("%d must be begun though the bound counts anew", least)
	}
	if least := before.minVersion(105*second, "m", route.VersionLimits{PerTermUS: within}); least != 2 {
		t.Error("a view that was published has changed")
	}
	v.merge(fullState(1, 0, "e", 90*second, 5), 106*second) // a node that has not noticed
	if least := v.minVersion(107*second, "m", route.VersionLimits{PerTermUS: within}); least != 0 {
		t.Errorf("%d must be begun as a node of an earlier term says", least)
	}
}

// unchangedState is a node's answer without its map, which has not changed.
func unchangedState(node uint64, listAge int64) *fb.MapResponseT {
	return &fb.MapResponseT{Incarnation: node, Known: true, ListAge: listAge, Proxies: 3}
}

// A node's older list does not take the place of a newer one: an engine that leaves
// would come back. It is used once the node has looked again, or after a while.
func TestOlderListWaits(t *testing.T) {
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
	use("its own next map", fullState(1, second, "one more", 0, 1), 100*second+1, "one more")
	use("another's older list", fullState(2, 2*second, "two", 0, 1), 100*second+2, "")
	use("still the older", unchangedState(2, 2*second+200_000), 100*second+200_000, "")
	use("it has looked again", unchangedState(2, 100_000), 101*second, "two")
	use("nothing new", unchangedState(2, 200_000), 101*second+100_000, "")
	use("a third's older list", fullState(3, 9*second, "three", 0, 1), 102*second, "")
	use("the platform is down", unchangedState(3, 13*second), 102*second+pendingMapWaitUS+1, "three")
	use("a node that just started", fullState(4, codec.AgeNeverRead, "none", 0, 1), 107*second, "")
	use("and after a while", unchangedState(4, codec.AgeNeverRead), 117*second, "")
	use("once it has looked", fullState(4, 0, "four", 0, 1), 118*second, "four")
}

// A node that is cut off forgets proxies that are still there: what each of them may
// spend on retries must not grow by that.
func TestProxyCountDoesNotFallWhenCutOff(t *testing.T) {
	v := &view{}
	all := fullState(1, 0, "e", 0, 1)
	all.Proxies = 9
	v.merge(all, 100*second)
	cut := unchangedState(1, 0)
	cut.Age = 5 * second
	v.merge(cut, 105*second)
	if v.proxies != 9 {
		t.Errorf("%d proxies are counted as a node that is cut off says", v.proxies)
	}
	v.merge(unchangedState(1, 0), 106*second)
	if v.proxies != 3 {
		t.Errorf("%d proxies are counted, 3 are reported", v.proxies)
	}
}

func TestOutOfTouch(t *testing.T) {
	for _, c := range []struct {
		known         bool
		config, named int64
		want          bool
	}{
		{true, 300_000, 300_000, false}, {true, 2 * second, 0, true}, {true, 0, 2 * second, true}, {false, 0, 0, true}, {true, 0, codec.AgeNeverRead, true},
	} {
		if got := outOfTouch(&fb.MapResponseT{Known: c.known, Age: c.config, AnnouncedAge: c.named}); got != c.want {
			t.Errorf("%+v: %v", c, got)
		}
	}
}

// A node that is cut off knows an old set of voters: who came since is not forgotten on its account.
func TestOldVoterSetForgetsNobody(t *testing.T) {
	f := newFollower(&server{settings: Settings{Seeds: []string{"a"}}})
	f.setNodes([]string{"b", "c"}, true)
	f.setNodes([]string{"a", "d"}, false)
	if len(f.nodes) != 4 {
		t.Errorf("%d nodes are known, not 4", len(f.nodes))
	}
	f.setNodes([]string{"b", "d"}, true)
	if f.nodes["c"] != nil || len(f.nodes) != 3 {
		t.Errorf("c has gone, and %d nodes are known", len(f.nodes))
	}
}

// A configuration never goes back, and none is taken for fresh by what is known of another.
func TestConfigurationNeverGoesBack(t *testing.T) {
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
		{0, "", false, 9 * second, 0, 0, 0},                         // a node that knows nothing
		{7, "seven", true, 10 * second, second, 7, 9 * second},      // the first one
		{7, "", true, 11 * second, 0, 7, 11 * second},               // it stands
		{7, "", true, 12 * second, 5 * second, 7, 11 * second},      // a node that is cut off
		{5, "five", true, 13 * second, 0, 7, 11 * second},           // one that knows an older one
		{9, damaged, true, 14 * second, 0, 7, 11 * second},          // what can't be read is not in use
		{9, "", true, 15 * second, 0, 7, 11 * second},               // its text did not come along
		{9, "nine", true, 16 * second, 20 * second, 9, 11 * second}, // a report that is old
		{9, "", true, 17 * second, 300_000, 9, 17*second - 300_000}, // and fresh again
		{8, "eight", true, 18 * second, 0, 9, 17*second - 300_000},  // another node's older one
		{9, "", false, 19 * second, 0, 9, 17*second - 300_000},      // a node that just started
	} {
		state := &fb.MapResponseT{Known: s.known, Revision: s.rev, Config: []byte(s.text), Age: s.age}
		v.mergeConfig(state, s.at, parse)
		if v.revision != s.wantRev || v.configAt != s.wantFrom {
			t.Fatalf("step %d: revision %d in force at %d, want %d at %d", i, v.revision, v.configAt, s.wantRev, s.wantFrom)
		}
	}
}

// A request that is sent again begins later: by then its weights may be out of date.
func TestLaterAttemptOnNewerWeights(t *testing.T) {
	const announcedAt = 100 * second
	u := NewUnattached(t, nil, route.Compile(route.Config{}, 1))
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
		t.Fatalf("an engine with older weights was chosen at the bound: %v", err)
	}
}

// TestCutOffNodeIsNotClungTo: a node that answers, but is out of touch, is asked again only
// after all others, though it is in the proxy's own zone and answers at once.
func TestCutOffNodeIsNotClungTo(t *testing.T) {
	const now = 100 * second
	f := &follower{server: &server{settings: Settings{Name: "p", Zone: "north"}}, nodes: map[string]*controlorder.Node{
		"near": {Zone: "north", FailedAt: now - 100},
		"far1": {Zone: "south", FailedAt: now - second},
		"far2": {Zone: "west", FailedAt: now - second/2},
	}}
	want := func(what string, now int64, names ...string) {
		t.Helper()
		if got := f.order(now); !slices.Equal(got, names) {
			t.Errorf("%s: %v, not %v", what, got, names)
		}
	}
	want("all failed lately", now, "far1", "far2", "near")
	f.nodes["far1"].FailedAt = now
	want("one failed again", now+1, "far2", "near", "far1")
	f.nodes["far2"].FailedAt = 0
	want("one answered well", now+1, "far2", "near", "far1")
	want("a while later", now+2*second, "near", "far2", "far1")
}
