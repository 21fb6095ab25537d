package directory

import (
	"maps"
	"slices"

	"violetthread/rollout"
)

// reportOverdue logs once for each announced version that engines still run something older
// after the bound on it has passed.
func (d *Directory) reportOverdue(now int64, engines map[string]rollout.Engine) {
	late := d.overdueEngines(now, engines)
	for _, model := range slices.Sorted(maps.Keys(late)) {
		if version := d.newestVersion(model); d.role.overdue[model] < version {
			d.role.overdue[model] = version
			d.logRolloutOverdue(model, version, late[model])
		}
	}
}

// overdueEngines counts, for each model, the engines that are to stay and whose weights had to
// be replaced by the time now.
func (d *Directory) overdueEngines(now int64, engines map[string]rollout.Engine) map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	late := map[string]int{}
	for id, engine := range engines {
		if engine.Draining {
			continue
		}
		for model, reported := range engine.Weights {
			version := d.role.scheduler.State.Version(id, model, reported)
			until, superseded := d.announcements.UsableUntil(model, version, d.settings.Bounds.VersionLimits())
			if superseded && now > until {
				late[model]++
			}
		}
	}
	return late
}

// newestVersion is the newest announced version of a model.
func (d *Directory) newestVersion(model string) uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.newestVersions[model]
}
