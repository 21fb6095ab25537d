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

// failureUnits is how a failure is told to control nodes.
const failureUnits = 100

// loads reports what this proxy has in flight at each engine, and the sequence number of the
// report.
func (s *server) loads() (loads []*fb.EngineLoadT, sequence uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for holder, l := range s.picker.OwnLoads(clock.Now()) {
		loads = append(loads, &fb.EngineLoadT{
			Node:          holder,
			Active:        uint32(l.Requests),
			PrefillTokens: uint32(l.PrefillTokens),
			MemoryTokens:  uint32(l.MemoryTokens),
			Failures:      uint32(l.Failures * failureUnits),
		})
	}
	s.loadsSequence++
	return loads, s.loadsSequence
}

// loadsBatchUS is for how long changes of loads are gathered before control nodes are told.
const loadsBatchUS = 4_000

// loadChanged notes that something was sent to an engine, or that it has read a prompt.
func (s *server) loadChanged() { taskgroup.TrySend(s.loadChanges, struct{}{}) }

// reportLoads tells the control node that is followed what this proxy has in flight, soon
// after it changes: whoever places requests by old loads sends them where others just did.
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
		report := &fb.ProxyLoadT{Name: s.settings.Name, Incarnation: s.incarnation, Loads: loads, Sequence: sequence, Updates: s.takeUnreportedReads()}
		s.controlNodes.Get(*followed).Send(&fb.FrameT{LoadUpdate: &fb.LoadUpdateT{Proxies: []*fb.ProxyLoadT{report}, Direct: true}})
	}
}

// setOtherLoads takes in what the other proxies have in flight, as of at, and whether the
// hints are complete.
func (s *server) setOtherLoads(state *fb.MapResponseT, at int64) {
	others := map[uint64]placement.Load{}
	for _, l := range state.Loads {
		others[l.Node] = placement.Load{
			Requests:      int(l.Active),
			PrefillTokens: int64(l.PrefillTokens),
			MemoryTokens:  int64(l.MemoryTokens),
			Failures:      float64(l.Failures) / failureUnits,
		}
	}
	s.mu.Lock()
	s.picker.SetOtherLoads(at, others, state.LoadsChangedOnly)
	s.picker.HintsComplete = state.Complete && !state.UpdatesReset
	s.mu.Unlock()
}

// applyUpdates takes in changes of the prefix-cache location hints.
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

// applyHints takes in which blocks are cached where, and returns the updates of those that are
// being read.
func (s *server) applyHints(state *fb.MapResponseT) (reading []*fb.CacheUpdateT) {
	s.hintMu.Lock()
	defer s.hintMu.Unlock()
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

// maxUnreportedReads bounds what is kept for control nodes of blocks that engines read.
const maxUnreportedReads = 1000

// reportReads keeps what an engine reads, or has read, to be told to control nodes.
// The caller holds s.mu.
func (s *server) reportReads(op cacheindex.UpdateOp, engineID string, keys []cacheindex.Key) {
	if !s.settings.Policy.Uses(placement.PromptHints) || len(s.unreportedReads)+len(keys) > maxUnreportedReads {
		return
	}
	holder := placement.EngineHolderID(engineID)
	for _, key := range keys {
		s.unreportedReads = append(s.unreportedReads, codec.PackUpdate(cacheindex.Update{Key: key, Node: holder, Op: op}))
	}
}

// takeUnreportedReads empties the list.
func (s *server) takeUnreportedReads() []*fb.CacheUpdateT {
	s.mu.Lock()
	defer s.mu.Unlock()
	reads := s.unreportedReads
	s.unreportedReads = nil
	return reads
}

// setFleet gives the picker a new map of the fleet, and closes connections to engines that
// are gone.
func (s *server) setFleet(listed []*fb.MapEngineT, table *route.Table) {
	engines, stores := fleetOf(listed, table)
	if !s.settings.Policy.Uses(placement.LinkSpeed) {
		forgetLinkSpeeds(engines)
	}
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

// linkTokensPerMS is how many cached tokens the link of a pool's engine moves in a millisecond;
// 0 if the configuration does not say.
func linkTokensPerMS(pool *route.Pool) float64 {
	if pool.BytesPerToken <= 0 {
		return 0
	}
	const bitsPerMS = 1000 // of one Mbit/s
	return pool.LinkMbps * bitsPerMS / 8 / float64(pool.BytesPerToken)
}

// storeLinkMbps is the speed of a store's link; 0 if the configuration does not say.
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

// forgetLinkSpeeds leaves placement to the speed that it assumes.
func forgetLinkSpeeds(engines []*placement.Engine) {
	for _, e := range engines {
		e.LinkMbps, e.LinkTokensPerMS = 0, 0
	}
}
