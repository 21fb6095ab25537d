package placement

import (
	"strings"
	"testing"
)

// TestParsePolicy checks that spaces around names are ignored, and that an unknown name is
// rejected with a list of the valid ones.
func TestParsePolicy(t *testing.T) {
	policy, err := ParsePolicy(" affinity, ,ejection")
	if err != nil || policy.Uses(Affinity) || policy.Uses(Ejection) || !policy.Uses(PeerTransfer) || policy.Disabled() != "affinity,ejection" {
		t.Errorf("two mechanisms disabled: %v %+v", err, policy)
	}
	if policy, err = ParsePolicy(""); err != nil || policy.Disabled() != "" {
		t.Errorf("empty list: %v %q", err, policy.Disabled())
	}
	if _, err = ParsePolicy("affinity,magic"); err == nil || !strings.Contains(err.Error(), `"magic"`) || !strings.Contains(err.Error(), string(StoreFill)) {
		t.Errorf("unknown name: %v", err)
	}
	for _, mechanism := range Mechanisms() {
		if policy, err = ParsePolicy(string(mechanism)); err != nil || policy.Uses(mechanism) {
			t.Errorf("%s can't be disabled: %v", mechanism, err)
		}
	}
}

// TestOverride checks that parameters are set by name, and that an error names the parameter and
// leaves the model unchanged.
func TestOverride(t *testing.T) {
	cost := DefaultCostModel()
	if err := cost.Override("other-zone-share=0.5, transfer-setup-us=12"); err != nil || cost.OtherZoneShare != 0.5 || cost.TransferSetupUS != 12 {
		t.Fatalf("two parameters set: %v %+v", err, cost)
	}
	before := cost
	for text, want := range map[string]string{
		"other-zone-share=1,price=2":         `"price"`,
		"other-zone-share=1,failure-us=-1":   "failure-us",
		"other-zone-share=1,failure-us=many": "failure-us",
		"other-zone-share":                   "other-zone-share",
	} {
		if err := cost.Override(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", text, err)
		}
		if cost != before {
			t.Errorf("%s: failed, but changed the model to %+v", text, cost)
		}
	}
}

// TestMechanismsOff checks that each mechanism changes the Choice in its test case only while it
// is enabled.
func TestMechanismsOff(t *testing.T) {
	now := int64(10_000_000)
	for _, c := range []struct {
		off     Mechanism
		prepare func(f *testFleet)
		changed func(on, off Choice) bool
	}{
		{PeerTransfer, func(f *testFleet) {
			f.putHints(EngineHolderID(f.engines[1].ID), "c1", 1, "a")
			f.engines[1].Draining = true
		},
			func(on, off Choice) bool { return on.TransferTokens == 1000 && off.TransferTokens == 0 }},
		{StoreTransfer, func(f *testFleet) { f.putHints(StoreHolderID(f.stores[0].Addr), "c1", 1, "a") },
			func(on, off Choice) bool { return on.TransferTokens == 1000 && off.Source == "" }},
		{StoreFill, func(*testFleet) {},
			func(on, off Choice) bool { return on.Destination != "" && off.Destination == "" }},
		{ZonePreference, func(f *testFleet) { f.SetOtherLoads(now, f.loadsAt(0, Load{Requests: 5}), false) },
			func(on, off Choice) bool { return on.Engine.Zone == "north" && off.Engine.Zone == "south" }},
		{ConnectionReuse, func(f *testFleet) {
			f.Connected = func(id string) bool { return id == f.engines[1].ID }
			f.SetOtherLoads(now, f.loadsAt(1, Load{Requests: 5}), false)
			f.engines[0].Zone = "south"
		}, func(on, off Choice) bool { return on.Engine.ID == "i-1" && off.Engine.ID == "i-0" }},
		{MemoryPressure, func(f *testFleet) { f.SetOtherLoads(now, f.loadsAt(0, Load{MemoryTokens: 100_000}), false) },
			func(on, off Choice) bool { return on.Engine.ID == "i-1" && off.Engine.ID == "i-0" }},
		{OtherLoads, func(f *testFleet) { f.SetOtherLoads(now, f.loadsAt(0, Load{PrefillTokens: 90_000}), false) },
			func(on, off Choice) bool { return on.Engine.ID == "i-1" && off.Engine.ID == "i-0" }},
		{SharedFailures, func(f *testFleet) { f.SetOtherLoads(now, f.loadsAt(0, Load{Failures: 5}), false) },
			func(on, off Choice) bool { return on.Engine.ID == "i-1" && off.Engine.ID == "i-0" }},
		{Ejection, func(f *testFleet) { f.Eject(now, f.engines[0].ID, 200_000, false) },
			func(on, off Choice) bool { return on.Engine.ID == "i-1" && off.Engine.ID == "i-0" }},
		{PendingReads, func(f *testFleet) {
			for _, key := range BlockKeys(request("a"), CacheSalt("c1", 1)) {
				f.BlockPrefillStarted(now, key, EngineHolderID(f.engines[1].ID))
			}
			f.engines[1].Zone = "north"
			f.SetOtherLoads(now, f.loadsAt(1, Load{Requests: 5}), false)
		}, func(on, off Choice) bool { return on.Engine.ID == "i-1" && off.Engine.ID == "i-0" }},
	} {
		choose := func(policy Policy) Choice {
			f := newTestFleet(2)
			f.Policy = policy
			f.Cost.AffinityPenaltyUS = 0 // so that affinity does not outweigh the mechanism
			c.prepare(f)
			f.updateFleet()
			choice, ok := f.Pick(now, request("a", "own"))
			if !ok {
				t.Fatalf("%s: no engine selected", c.off)
			}
			return choice
		}
		policy, err := ParsePolicy(string(c.off))
		if err != nil {
			t.Fatal(err)
		}
		if on, off := choose(Policy{}), choose(policy); !c.changed(on, off) {
			t.Errorf("%s: enabled: %s %+v, disabled: %s %+v", c.off, on.Engine.ID, on, off.Engine.ID, off)
		}
	}
}

// loadsAt returns loads with a load at a single engine.
func (f *testFleet) loadsAt(engine int, load Load) map[uint64]Load {
	return map[uint64]Load{EngineHolderID(f.engines[engine].ID): load}
}
