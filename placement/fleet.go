package placement

import "violetthread/cacheindex"

// Engine is an engine as the map of the fleet shows it. It is not changed once in a map.
type Engine struct {
	ID, Pool, Addr, Zone string            // ID stands for one incarnation
	Draining             bool              // takes no new requests
	UpdatingWeights      bool              // about to load other weights
	Unhealthy            bool              // does not answer the fleet's health checks
	Slots                int               // requests that it runs at one time, 0 if not known
	CacheTokens          int64             // tokens that its memory holds, 0 if not known
	LinkMbps             float64           // 0 if not known
	LinkTokensPerMS      float64           // cached tokens that its link moves in a millisecond, 0 if not known
	Weights              map[string]uint64 // version of each model it runs
}

// Store is a store of cached prompt blocks.
type Store struct {
	Addr, Zone string
	Unhealthy  bool    // does not answer the fleet's health checks
	LinkMbps   float64 // 0 if not known
}

// Picker selects engines for one proxy. It is not safe for concurrent use.
type Picker struct {
	Cost   CostModel // may be changed between calls
	Policy Policy    // may be changed between calls
	// Connected reports whether the proxy has an idle connection to an engine. Without it no
	// engine is preferred for that.
	Connected func(engineID string) bool
	// HintsComplete says that the hints are as complete as they get: until then no store is
	// named as a Destination, since it may well have the blocks.
	HintsComplete bool

	zone     string
	byPool   map[string][]*Engine
	byID     map[string]*Engine
	byHolder map[uint64]*Engine
	stores   []Store
	states   map[string]*engineState // by engine id
	hints    *cacheindex.HolderTable

	prefillModels map[string]*prefillModel // by pool
	pendingReads  map[cacheindex.Key]pendingRead
	holderBuf     []uint64 // of holdersOf
}

// New makes a picker for a proxy in a zone; hints may be written meanwhile.
func New(zone string, hints *cacheindex.HolderTable) *Picker {
	return &Picker{Cost: DefaultCostModel(), zone: zone, hints: hints, states: map[string]*engineState{}, prefillModels: map[string]*prefillModel{}, pendingReads: map[cacheindex.Key]pendingRead{}}
}

// SetFleet takes in a new map of the fleet. What is known of engines that stay is kept, and
// of those that are gone as long as attempts are in flight there.
func (p *Picker) SetFleet(engines []*Engine, stores []Store) {
	p.stores = stores
	p.byPool, p.byID, p.byHolder = map[string][]*Engine{}, map[string]*Engine{}, map[uint64]*Engine{}
	for _, e := range engines {
		p.byPool[e.Pool] = append(p.byPool[e.Pool], e)
		p.byID[e.ID] = e
		p.byHolder[EngineHolderID(e.ID)] = e
		if p.states[e.ID] == nil {
			p.states[e.ID] = &engineState{}
		}
	}
	for id, state := range p.states {
		if p.byID[id] == nil && state.own.Requests == 0 {
			delete(p.states, id)
		}
	}
}

// StoreID is the id of a store in the fleet's map, which directories and proxies agree on.
func StoreID(addr string) string { return "store " + addr }

// StoreHolderID is the holder in the hint table that stands for a store.
func StoreHolderID(addr string) uint64 { return cacheindex.NodeID(StoreID(addr), 0) }

// EngineHolderID is the holder in the hint table that stands for one incarnation of an engine.
func EngineHolderID(id string) uint64 { return cacheindex.NodeID(id, 0) }
