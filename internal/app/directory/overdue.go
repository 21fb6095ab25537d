package directory

import (
	"maps"
	"slices"

	"violetthread/rollout"
)

// reportOverdue logs, once per announced version, that engines still run an older version after
// the time bound for applying the newer one has passed.
func (d *Directory) reportOverdue(now int64, engines map[string]rollout.Engine) {
	overdue := d.overdueEngines(now, engines)
	for _, model := range slices.Sorted(maps.Keys(overdue)) {
		if version := d.newestVersion(model); d.role.loggedOverdue[model] < version {
			d.role.loggedOverdue[model] = version
			d.logRolloutOverdue(model, version, overdue[model])
		}
	}
}

// overdueEngines counts, for each model, the engines that are not draining and whose weights
// should have been replaced before now.
func (d *Directory) overdueEngines(now int64, engines map[string]rollout.Engine) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	overdue := map[string]int{}
	for id, engine := range engines {
		if engine.Draining {
			continue
		}
		for model, reported := range engine.Weights {
			version := d.role.scheduler.State.Version(id, model, reported)
			until, superseded := d.announcements.UsableUntil(model, version, d.settings.Bounds.VersionLimits())
			if superseded && now > until {
				overdue[model]++
			}
		}
	}
	return overdue
}

// newestVersion returns the newest announced version of a model.
func (d *Directory) newestVersion(model string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newestVersions[model]
}
