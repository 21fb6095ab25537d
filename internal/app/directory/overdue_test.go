package directory

import (
	"maps"
	"testing"

	"violetthread/rollout"
)

// TestOverdueEngines: the time bound of an engine that is not draining counts from the earliest
// version newer than its own; later announcements must not extend it.
func TestOverdueEngines(t *testing.T) {
	d, _, _ := newTestDirectory(t)
	bound := d.settings.Bounds.VersionApplyUS
	d.announcements.Observe("m", 2, 1_000)
	d.announcements.Observe("m", 3, 5_000)
	d.role.scheduler = rollout.New(rollout.DefaultConfig(bound, d.settings.Bounds.LeaseUS), 0, 0,
		rollout.State{Applied: map[string]map[string]uint64{"updated": {"m": 2}}})
	engines := map[string]rollout.Engine{
		"late":    {Weights: map[string]uint64{"m": 1}},
		"updated": {Weights: map[string]uint64{"m": 1}},
		"current": {Weights: map[string]uint64{"m": 3}},
		"leaves":  {Weights: map[string]uint64{"m": 1}, Draining: true},
	}
	for now, want := range map[int64]map[string]int{
		1_000 + bound: {},
		1_001 + bound: {"m": 1},
		5_001 + bound: {"m": 2},
	} {
		if got := d.overdueEngines(now, engines); !maps.Equal(got, want) {
			t.Errorf("at %d: got %v, want %v", now, got, want)
		}
	}
}
