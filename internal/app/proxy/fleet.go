package proxy

import (
	"violetthread/cacheindex"
	"violetthread/internal/codec"
	"violetthread/placement"
	"violetthread/route"
	"violetthread/schema/fb"
)

// loads reports what this proxy has in flight at each engine.
func (s *server) loads() (loads []*fb.EngineLoadT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for holder, l := range s.picker.OwnLoads() {
		loads = append(loads, &fb.EngineLoadT{Node: holder, Active: uint32(l.Requests), PrefillTokens: uint32(l.PrefillTokens), MemoryTokens: uint32(l.MemoryTokens)})
	}
	return loads
}

// setOtherLoads takes in what the other proxies have in flight, as of at, and whether the
// hints are complete.
func (s *server) setOtherLoads(state *fb.MapResponseT, at int64) {
	others := map[uint64]placement.Load{}
	for _, l := range state.Loads {
		others[l.Node] = placement.Load{Requests: int(l.Active), PrefillTokens: int64(l.PrefillTokens), MemoryTokens: int64(l.MemoryTokens)}
	}
	s.mu.Lock()
	s.picker.SetOtherLoads(at, others)
	s.picker.HintsComplete = state.Complete && !state.UpdatesReset
	s.mu.Unlock()
}

// applyUpdates takes in changes of the prefix-cache location hints.
func (s *server) applyUpdates(state *fb.MapResponseT) {
	s.hintMu.Lock()
	defer s.hintMu.Unlock()
	if state.UpdatesReset {
		s.hints.Clear()
	}
	for _, update := range state.Updates {
		key := cacheindex.Key{Hi: update.Hi, Lo: update.Lo, Check: update.Check}
		if cacheindex.UpdateOp(update.Op) == cacheindex.OpAdd {
			s.hints.Put(key, update.Holder)
		} else {
			s.hints.Remove(key, update.Holder)
		}
	}
}

// setFleet gives the picker a new map of the fleet, and closes connections to engines that
// are gone.
func (s *server) setFleet(listed []*fb.MapEngineT, table *route.Table) {
	engines, stores := fleetOf(listed, table)
	s.mu.Lock()
	s.picker.SetFleet(engines, stores)
	s.mu.Unlock()
	if len(engines) > 0 {
		s.seenEngines.Store(true)
	}
	live := map[string]bool{}
	for _, e := range engines {
		live[e.ID] = true
	}
	s.pool.sweep(func(id string) bool { return live[id] })
}

// fleetOf splits a map into engines and stores. A nil table knows no pools.
func fleetOf(listed []*fb.MapEngineT, table *route.Table) (engines []*placement.Engine, stores []placement.Store) {
	for _, e := range listed {
		if e.Store {
			stores = append(stores, placement.Store{Addr: e.Addr, Zone: e.Zone, Unhealthy: e.Unhealthy})
			continue
		}
		cacheTokens := int64(0)
		if table != nil {
			if pool := table.Pool(e.Pool); pool != nil {
				cacheTokens = pool.CacheTokens
			}
		}
		engines = append(engines, &placement.Engine{
			ID:              e.Id,
			Pool:            e.Pool,
			Addr:            e.Addr,
			Zone:            e.Zone,
			Draining:        e.Draining,
			UpdatingWeights: e.Updating,
			Unhealthy:       e.Unhealthy,
			Slots:           int(e.Slots),
			CacheTokens:     cacheTokens,
			Weights:         codec.UnpackWeights(e.Weights),
		})
	}
	return engines, stores
}
