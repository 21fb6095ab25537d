package proxy

import (
	"context"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/placement"
	"violetthread/route"
	"violetthread/schema/fb"
)

// failureScale is the number of units in which one failure is reported to control nodes.
const failureScale = 100

// loads returns the load that this proxy has in flight at each engine, and the sequence number of
// the report.
func (s *server) loads() (loads []*fb.EngineLoadT, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for holder, l := range s.picker.OwnLoads(clock.Now()) {
		loads = append(loads, &fb.EngineLoadT{
			Node:          holder,
			Active:        uint32(l.Requests),
			PrefillTokens: uint32(l.PrefillTokens),
			MemoryTokens:  uint32(l.MemoryTokens),
			Failures:      uint32(l.Failures * failureScale),
		})
	}
	s.loadsSequence++
	return loads, s.loadsSequence
}

// loadsBatchUS is for how long changes of load are batched before they are reported.
const loadsBatchUS = 4_000

// loadChanged signals reportLoads that the in-flight load of an engine has changed.
func (s *server) loadChanged() { taskgroup.TrySend(s.loadChanges, struct{}{}) }

// reportLoads reports this proxy's in-flight load to the followed control node soon after a change:
// proxies that place requests by outdated loads would send them to the engine that others have just
// chosen.
func (s *server) reportLoads(ctx context.Context) {
	for {
		if _, ok := taskgroup.Receive(ctx, s.loadChanges); !ok || !taskgroup.Sleep(ctx, loadsBatchUS) {
			return
		}
		followed := s.followed.Load()
		if followed == nil {
			continue
		}
		loads, sequence := s.loads()
		report := &fb.ProxyLoadT{Name: s.settings.Name, Incarnation: s.incarnation, Loads: loads, Sequence: sequence, Updates: s.takeCacheUpdates()}
		s.controlNodes.Get(*followed).Send(&fb.FrameT{LoadUpdate: &fb.LoadUpdateT{Proxies: []*fb.ProxyLoadT{report}, Direct: true}})
	}
}

// setOtherLoads applies the in-flight loads of the other proxies, as of the time at, and whether
// the hints are complete.
func (s *server) setOtherLoads(state *fb.MapResponseT, at int64) {
	others := map[uint64]placement.Load{}
	for _, l := range state.Loads {
		others[l.Node] = placement.Load{
			Requests:      int(l.Active),
			PrefillTokens: int64(l.PrefillTokens),
			MemoryTokens:  int64(l.MemoryTokens),
			Failures:      float64(l.Failures) / failureScale,
		}
	}
	s.mu.Lock()
	s.picker.SetOtherLoads(at, others, state.LoadsChangedOnly)
	s.picker.HintsComplete = state.Complete && !state.UpdatesReset
	s.mu.Unlock()
}

// applyUpdates applies changes of the prefix-cache location hints.
func (s *server) applyUpdates(state *fb.MapResponseT) {
	reading := s.applyHints(state)
	if len(reading) == 0 {
		return
	}
	now := clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, update := range reading {
		s.picker.BlockPrefillStarted(now, codec.UnpackUpdate(update).Key, update.Holder)
	}
}

// applyHints updates the table of cached blocks, and returns the updates for blocks that an engine
// is still computing (cacheindex.OpComputing).
func (s *server) applyHints(state *fb.MapResponseT) (reading []*fb.CacheUpdateT) {
	s.hintsMu.Lock()
	defer s.hintsMu.Unlock()
	if state.UpdatesReset {
		s.hints.Clear()
	}
	for _, update := range state.Updates {
		switch cacheindex.UpdateOp(update.Op) {
		case cacheindex.OpAdd:
			s.hints.Put(codec.UnpackUpdate(update).Key, update.Holder)
		case cacheindex.OpComputing:
			reading = append(reading, update)
		default:
			s.hints.Remove(codec.UnpackUpdate(update).Key, update.Holder)
		}
	}
	return reading
}

// maxPendingCacheUpdates bounds the cache updates that are kept for the next report.
const maxPendingCacheUpdates = 1000

// queueCacheUpdates queues updates for control nodes: these blocks are being computed by an engine
// (cacheindex.OpComputing) or are cached there now (cacheindex.OpAdd). The caller holds s.mu.
func (s *server) queueCacheUpdates(op cacheindex.UpdateOp, engineID string, keys []cacheindex.Key) {
	if !s.settings.Policy.Uses(placement.PromptHints) || len(s.pendingCacheUpdates)+len(keys) > maxPendingCacheUpdates {
		return
	}
	holder := placement.EngineHolderID(engineID)
	for _, key := range keys {
		s.pendingCacheUpdates = append(s.pendingCacheUpdates, codec.PackUpdate(cacheindex.Update{Key: key, Node: holder, Op: op}))
	}
}

// takeCacheUpdates returns the queued updates and empties the queue.
func (s *server) takeCacheUpdates() []*fb.CacheUpdateT {
	s.mu.Lock()
	defer s.mu.Unlock()
	updates := s.pendingCacheUpdates
	s.pendingCacheUpdates = nil
	return updates
}

// setFleet gives the picker a new fleet map, and closes idle connections to engines that are gone.
func (s *server) setFleet(listed []*fb.MapEngineT, table *route.Table) {
	engines, stores := fleetOf(listed, table)
	if !s.settings.Policy.Uses(placement.LinkSpeed) {
		clearLinkSpeeds(engines)
	}
	s.mu.Lock()
	s.picker.SetFleet(engines, stores)
	s.mu.Unlock()
	if len(engines) > 0 {
		s.enginesSeen.Store(true)
	}
	live := map[string]bool{}
	for _, e := range engines {
		live[e.ID] = true
	}
	s.pool.sweep(func(id string) bool { return live[id] })
}

// fleetOf splits the entries of a fleet map into engines and stores. Without a table the settings
// of pools and the links of stores are unknown.
func fleetOf(listed []*fb.MapEngineT, table *route.Table) (engines []*placement.Engine, stores []placement.Store) {
	for _, e := range listed {
		if e.Store {
			stores = append(stores, placement.Store{Addr: e.Addr, Zone: e.Zone, Unhealthy: e.Unhealthy, LinkMbps: storeLinkMbps(table, e.Addr)})
			continue
		}
		pool := &route.Pool{}
		if table != nil && table.Pool(e.Pool) != nil {
			pool = table.Pool(e.Pool)
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
			CacheTokens:     pool.CacheTokens,
			LinkMbps:        pool.LinkMbps,
			LinkTokensPerMS: linkTokensPerMS(pool),
			Weights:         codec.UnpackWeights(e.Weights),
		})
	}
	return engines, stores
}

// linkTokensPerMS returns how many cached tokens the link of a pool's engine transfers per
// millisecond; 0 if the configuration does not say.
func linkTokensPerMS(pool *route.Pool) float64 {
	if pool.BytesPerToken <= 0 {
		return 0
	}
	const bitsPerMS = 1000 // in 1 Mbit/s
	return pool.LinkMbps * bitsPerMS / 8 / float64(pool.BytesPerToken)
}

// storeLinkMbps returns the link speed of a store; 0 if the configuration does not say.
func storeLinkMbps(table *route.Table, addr string) float64 {
	if table == nil {
		return 0
	}
	for _, pool := range table.Stores() {
		if pool.StoreAddr == addr {
			return pool.LinkMbps
		}
	}
	return 0
}

// clearLinkSpeeds makes placement use its assumed link speed.
func clearLinkSpeeds(engines []*placement.Engine) {
	for _, e := range engines {
		e.LinkMbps, e.LinkTokensPerMS = 0, 0
	}
}
