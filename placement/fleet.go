package placement

import "violetthread/cacheindex"

// Engine is an engine in the map of the fleet. It is immutable once it is in a map.
type Engine struct {
	ID, Pool, Addr, Zone string            // ID identifies one incarnation
	Draining             bool              // accepts no new requests
	UpdatingWeights      bool              // about to load other weights
	Unhealthy            bool              // fails the fleet's health checks
	Slots                int               // maximum number of concurrent requests, 0 if not known
	CacheTokens          int64             // memory capacity in tokens, 0 if not known
	LinkMbps             float64           // 0 if not known
	LinkTokensPerMS      float64           // cached tokens per millisecond over its link, 0 if not known
	Weights              map[string]uint64 // version of each model that it runs
}

// Store is a store of cached prompt blocks.
type Store struct {
	Addr, Zone string
	Unhealthy  bool    // fails the fleet's health checks
	LinkMbps   float64 // 0 if not known
}

// Picker selects engines for one proxy. It is not safe for concurrent use.
type Picker struct {
	Cost   CostModel // may be changed between calls
	Policy Policy    // may be changed between calls
	// Connected reports whether the proxy has an idle connection to an engine. If it is nil,
	// idle connections are not considered.
	Connected func(engineID string) bool
	// HintsComplete reports whether the received hints are as complete as the directory can make
	// them. While it is false no Choice has a Destination, since the store may already have the
	// blocks.
	HintsComplete bool

	zone     string
	byPool   map[string][]*Engine
	byID     map[string]*Engine
	byHolder map[uint64]*Engine
	stores   []Store
	states   map[string]*engineState // by engine ID
	hints    *cacheindex.HolderTable

	prefillModels   map[string]*prefillModel // by pool
	pendingPrefills map[cacheindex.Key]pendingPrefill
	holderBuf       []uint64 // scratch space of hintedHolders
}

// New creates a picker for a proxy in a zone. Another goroutine may write hints while the picker
// reads them.
func New(zone string, hints *cacheindex.HolderTable) *Picker {
	return &Picker{Cost: DefaultCostModel(), zone: zone, hints: hints, states: map[string]*engineState{}, prefillModels: map[string]*prefillModel{}, pendingPrefills: map[cacheindex.Key]pendingPrefill{}}
}

// SetFleet installs a new map of the fleet. It keeps the state of the engines in the new map, and
// of removed engines that still have attempts in flight.
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

// StoreID returns the ID of a store in the fleet's map. Directories and proxies use the same IDs.
func StoreID(addr string) string { return "store " + addr }

// StoreHolderID returns the ID of a store as a holder in the hint table.
func StoreHolderID(addr string) uint64 { return cacheindex.NodeID(StoreID(addr), 0) }

// EngineHolderID returns the ID of one incarnation of an engine as a holder in the hint table.
func EngineHolderID(id string) uint64 { return cacheindex.NodeID(id, 0) }
