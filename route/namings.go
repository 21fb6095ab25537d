package route

import (
	"maps"
	"slices"
)

// namingsKept is how many versions of a model are kept: who lags behind an older naming
// is late by that one, whatever was named since.
const namingsKept = 8

// Namings holds since when versions of weights are known to be named, in the time of the
// node that keeps it. An age that is too small would let requests begin on weights that
// are out of date, so that within an epoch the earliest time that was heard stays.
//
// An epoch is a hold of the duty of weights. When the duty changes hands the core was
// unsettled, and the bound on weights counts anew from there.
type Namings struct {
	epoch  uint64
	models map[string]map[uint64]int64
}

// Epoch is the epoch that the times count in.
func (n *Namings) Epoch() uint64 { return n.epoch }

// Clone is a copy that shares nothing.
func (n *Namings) Clone() *Namings {
	c := &Namings{epoch: n.epoch, models: map[string]map[uint64]int64{}}
	for model, versions := range n.models {
		c.models[model] = maps.Clone(versions)
	}
	return c
}

// Hear takes in that a version was named no later than at. The earliest time stays.
func (n *Namings) Hear(model string, version uint64, at int64) {
	versions := n.models[model]
	if versions == nil {
		versions = map[uint64]int64{}
		if n.models == nil {
			n.models = map[string]map[uint64]int64{}
		}
		n.models[model] = versions
	}
	if known, ok := versions[version]; !ok || at < known {
		versions[version] = at
	}
	if len(versions) > namingsKept {
		delete(versions, slices.Min(slices.Collect(maps.Keys(versions))))
	}
}

// Begin starts a later epoch, which counts nothing from before since. An epoch that is
// not later changes nothing.
func (n *Namings) Begin(epoch uint64, since int64) {
	if epoch <= n.epoch {
		return
	}
	n.epoch = epoch
	for _, versions := range n.models {
		for version, at := range versions {
			versions[version] = max(at, since)
		}
	}
}

// Take takes over what another node tells. Its times stand if its epoch is later. From
// an earlier epoch only versions are taken that were not known.
func (n *Namings) Take(told *Namings) {
	switch {
	case told.epoch > n.epoch:
		n.epoch = told.epoch
		for model, versions := range told.models {
			for version := range versions {
				delete(n.models[model], version)
			}
		}
	case told.epoch < n.epoch:
		told = told.Clone()
		for model, versions := range n.models {
			for version := range versions {
				delete(told.models[model], version)
			}
		}
	}
	for model, versions := range told.models {
		for version, at := range versions {
			n.Hear(model, version, at)
		}
	}
}

// At is since when a version is known to be named, and whether it is.
func (n *Namings) At(model string, version uint64) (at int64, ok bool) {
	at, ok = n.models[model][version]
	return at, ok
}

// Each hands on every version, models by name and versions rising.
func (n *Namings) Each(on func(model string, version uint64, at int64)) {
	for _, model := range slices.Sorted(maps.Keys(n.models)) {
		versions := n.models[model]
		for _, version := range slices.Sorted(maps.Keys(versions)) {
			on(model, version, versions[version])
		}
	}
}

// Oldest is the oldest version of a model that may still be begun at a time: the newest
// of those that were named for longer than within.
func (n *Namings) Oldest(now int64, model string, within int64) (oldest uint64) {
	for version, at := range n.models[model] {
		if now-at > within {
			oldest = max(oldest, version)
		}
	}
	return oldest
}
