// Package placement chooses the engine for a request that a proxy passes through,
// and what that engine is to take from elsewhere instead of reading it again
// (design §13). It is pure: the map of the fleet, hints and the proxy's own
// observations go in, a choice comes out.
package placement

import (
	"hash/fnv"
	"sort"

	"violetthread/cacheindex"
)

// Engine is an engine as the map of the fleet shows it.
type Engine struct {
	ID, Pool, Addr, Zone string
	Draining             bool
	UpdatingWeights      bool // about to take other weights
	Unhealthy            bool // it does not answer the fleet's own questions
	Slots                int
	CacheTokens          int64             // tokens that its memory holds, 0 if not known
	Weights              map[string]uint64 // version of each model it runs
}

// Store is a store of kept parts.
type Store struct {
	Addr, Zone string
	Unhealthy  bool
}

// Part is a part of a prompt, as its caller names it.
type Block struct {
	ID     string
	Tokens int
}

// Request is what has to be placed.
type Request struct {
	Pool            string
	Model           string
	Blocks          []Block // in order; the last one is the request's own
	PromptTokens    int     // of the whole prompt
	MaxOutputTokens int     // tokens at the most
	CacheScope      string
	TriedEngines    map[string]bool
	MinVersion      uint64 // version of the model that must be run, 0 for any
	// Misdirected says that an address turned out to be another engine's. Many may have
	// gone at once, so the next attempt goes to an engine that answered lately, if any.
	Misdirected bool
}

// Choice is where a request goes. Empty Source and Dest mean none.
type Choice struct {
	Engine         *Engine
	Version        uint64
	Salt           string
	Source         string
	Destination    string
	PrefillTokens  int // tokens that the engine has to read
	TransferTokens int // tokens that it is told to take from Source
	CachedTokens   int // tokens hinted to be there already
	MemoryTokens   int // that its memory holds for the request
	BlockKeys      []cacheindex.Key
}

// Figures are what the choice is made by. Times are microseconds.
type CostModel struct {
	PrefillTokensPerMS  float64 // prompt tokens that an engine reads in a millisecond
	TransferTokensPerMS float64 // tokens that a link moves in a millisecond
	TransferSetupUS     int64
	TransferPenaltyUS   int64 // what a move costs beyond its time
	AffinityPenaltyUS   int64 // for each rank away from a part's home, where nobody keeps it
	OtherZoneUS         int64
	RunningPenaltyUS    int64 // for each request running at an engine
	WaitingPenaltyUS    int64
	MemoryPressureFrom  float64 // part of an engine's memory that requests may take freely
	MemoryPressureUS    int64   // for a whole memory beyond that
	LoadMaxAgeUS        int64   // an engine's own word on its load counts no longer than this
}

// Defaults are where the daemons start from.
func DefaultCostModel() CostModel {
	return CostModel{PrefillTokensPerMS: 110, TransferTokensPerMS: 2500, TransferSetupUS: 6_000, TransferPenaltyUS: 20_000, AffinityPenaltyUS: 25_000,
		OtherZoneUS: 1_500, RunningPenaltyUS: 700, WaitingPenaltyUS: 15_000, MemoryPressureFrom: 0.5, MemoryPressureUS: 600_000, LoadMaxAgeUS: 1_000_000}
}

// Load is what is under way at an engine.
type Load struct {
	Requests      int   // requests
	PrefillTokens int64 // prompt tokens not read yet
	MemoryTokens  int64 // that its memory holds for them
}

// seen is what this proxy knows of an engine by itself.
type engineState struct {
	own          Load  // its own requests there
	others       Load  // those of the other proxies, as last told
	ejectedUntil int64 // not used until then
	failures     int   // failures in a row
	running      int   // as the engine said in its last answer
	waiting      int
	reportedAt   int64
}

// Picker is a proxy's placement. It is not safe for concurrent use.
type Picker struct {
	Cost CostModel
	// Complete says that the hints are as complete as they get: until then nothing is
	// sent to a store that may well have it.
	HintsComplete bool
	zone          string
	engines       []*Engine
	byPool        map[string][]*Engine
	byID          map[string]*Engine
	byNode        map[uint64]*Engine
	stores        []Store
	states        map[string]*engineState
	othersAt      int64 // when the others' loads were told
	hints         *cacheindex.HolderTable
	holderBuf     []uint64
}

// StoreNode is the holder that stands for a store.
func StoreHolderID(addr string) uint64 { return cacheindex.NodeID("store "+addr, 0) }

// EngineNode is the holder that stands for one life of an engine.
func EngineHolderID(id string) uint64 { return cacheindex.NodeID(id, 0) }

// New makes a picker for a proxy at site; hints may be written meanwhile.
func New(zone string, hints *cacheindex.HolderTable) *Picker {
	return &Picker{Cost: DefaultCostModel(), zone: zone, hints: hints, states: map[string]*engineState{}}
}

// Map takes in a new map of the fleet.
func (p *Picker) SetFleet(es []*Engine, stores []Store) {
	p.engines, p.stores = es, stores
	p.byPool, p.byID, p.byNode = map[string][]*Engine{}, map[string]*Engine{}, map[uint64]*Engine{}
	for _, e := range es {
		p.byPool[e.Pool] = append(p.byPool[e.Pool], e)
		p.byID[e.ID] = e
		p.byNode[EngineHolderID(e.ID)] = e
		if p.states[e.ID] == nil {
			p.states[e.ID] = &engineState{}
		}
	}
	for id, s := range p.states {
		if p.byID[id] == nil && s.own.Requests == 0 {
			delete(p.states, id)
		}
	}
}

// Engines lists the engines of the map.
func (p *Picker) Engines() []*Engine { return p.engines }

// Usable counts the engines of a pool that would take a request now.
func (p *Picker) UsableCount(now int64, pool string) (n int) {
	for _, e := range p.byPool[pool] {
		if !e.Draining && p.states[e.ID].ejectedUntil <= now {
			n++
		}
	}
	return n
}

// Salt names a wall and a version of a model together.
func CacheSalt(wall string, version uint64) string {
	b := make([]byte, 0, len(wall)+12)
	b = append(b, wall...)
	b = append(b, '.')
	return string(appendDecimal(b, version))
}

func appendDecimal(b []byte, n uint64) []byte {
	if n >= 10 {
		b = appendDecimal(b, n/10)
	}
	return append(b, byte('0'+n%10))
}

// rank orders a pool's engines for a part: its home is where everybody would
// look for it without talking to each other.
func affinity(part string, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(part))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>29
}

// held tells for each part which holders are hinted to keep it, under one salt.
func (p *Picker) holdersOf(ks []cacheindex.Key) []map[uint64]bool {
	out := make([]map[uint64]bool, len(ks))
	for i, k := range ks {
		p.holderBuf = p.hints.Get(k, p.holderBuf[:0])
		if len(p.holderBuf) > 0 {
			out[i] = make(map[uint64]bool, len(p.holderBuf))
			for _, n := range p.holderBuf {
				out[i][n] = true
			}
		}
	}
	return out
}

// cover walks a prompt from its start for as long as one of two holders keeps each
// part: hit counts the tokens that the first keeps, moved those of the second alone.
func prefixCoverage(r *Request, held []map[uint64]bool, own, src uint64) (hit, moved int) {
	for i, x := range r.Blocks {
		switch {
		case held[i][own]:
			hit += x.Tokens
		case src != 0 && held[i][src]:
			moved += x.Tokens
		default:
			return hit, moved
		}
	}
	return hit, moved
}

// shared is how many leading parts others may use as well.
func sharedBlocks(r *Request) int { return max(0, len(r.Blocks)-1) }

// Keys are the hint keys of a request's parts under a salt.
func BlockKeys(r *Request, salt string) []cacheindex.Key {
	ks := make([]cacheindex.Key, 0, len(r.Blocks))
	for _, x := range r.Blocks {
		ks = append(ks, cacheindex.BlockKey(salt, r.Model, x.ID))
	}
	return ks
}

// Pick chooses an engine, or none.
func (p *Picker) Pick(now int64, r *Request) (Choice, bool) {
	type salted struct {
		ks   []cacheindex.Key
		held []map[uint64]bool
		salt string
	}
	by := map[uint64]*salted{}
	var es []*Engine
	for _, e := range p.byPool[r.Pool] {
		s := p.states[e.ID]
		if e.Draining || r.TriedEngines[e.ID] || s.ejectedUntil > now || r.Model != "" && e.Weights[r.Model] < max(r.MinVersion, 1) {
			continue // it runs something older, or nobody knows what
		}
		es = append(es, e)
	}
	// An engine that is about to turn is left alone while there is another.
	if rest := notUpdating(es); len(rest) > 0 {
		es = rest
	}
	if r.Misdirected {
		if heard := p.reportedLately(now, es); len(heard) > 0 {
			es = heard
		}
	}
	if len(es) == 0 {
		return Choice{}, false
	}
	home := ""
	if n := sharedBlocks(r); n > 0 {
		home = r.CacheScope + r.Blocks[n-1].ID
	} else if len(r.Blocks) > 0 {
		home = r.CacheScope + r.Blocks[0].ID
	}
	if home != "" {
		sort.Slice(es, func(i, j int) bool { return affinity(home, es[i].ID) > affinity(home, es[j].ID) })
	}
	var best Choice
	var bc int64
	for i, e := range es {
		v := e.Weights[r.Model]
		g := by[v]
		if g == nil {
			g = &salted{salt: CacheSalt(r.CacheScope, v)}
			g.ks = BlockKeys(r, g.salt)
			g.held = p.holdersOf(g.ks)
			by[v] = g
		}
		c := Choice{Engine: e, Version: v, Salt: g.salt, BlockKeys: g.ks, MemoryTokens: r.PromptTokens + r.MaxOutputTokens}
		c.CachedTokens, _ = prefixCoverage(r, g.held, EngineHolderID(e.ID), 0)
		own, move := c.CachedTokens, int64(0)
		c.Source, c.TransferTokens, move = p.bestSource(r, e, g.held, &c.CachedTokens)
		c.PrefillTokens = max(0, r.PromptTokens-c.CachedTokens-c.TransferTokens)
		cost := p.queueUS(now, e, r) + int64(float64(c.PrefillTokens)/p.Cost.PrefillTokensPerMS*1000)
		if c.TransferTokens > 0 {
			cost += move + p.Cost.TransferPenaltyUS
		}
		if own == 0 && home != "" {
			cost += int64(min(i, 6)) * p.Cost.AffinityPenaltyUS
		}
		if e.Zone != p.zone {
			cost += p.Cost.OtherZoneUS
		}
		if best.Engine == nil || cost < bc {
			best, bc = c, cost
		}
	}
	s := p.storeOf(home)
	if best.Source == "" && sharedBlocks(r) > 0 && s != nil {
		// News is late and some is lost. To ask the store for nothing costs a moment,
		// to read a part again a hundred times as much.
		best.Source = s.Addr
	}
	best.Destination = p.destination(r, s, &best, by[best.Version].held)
	return best, true
}

// heardLatelyUS is shorter than the time after which a platform gives the address of an
// engine that is gone to another one.
const reportedLatelyUS = 1_900_000

// heardLately lists the engines that told their load in an answer a short while ago.
func (p *Picker) reportedLately(now int64, es []*Engine) (out []*Engine) {
	for _, e := range es {
		if s := p.states[e.ID]; s.reportedAt > 0 && now-s.reportedAt < reportedLatelyUS {
			out = append(out, e)
		}
	}
	return out
}

func notUpdating(es []*Engine) (out []*Engine) {
	for _, e := range es {
		if !e.UpdatingWeights {
			out = append(out, e)
		}
	}
	return out
}

// source is the best holder of what the engine lacks: an engine or a store. Parts
// that the engine keeps behind a gap count as soon as the source fills the gap.
func (p *Picker) bestSource(r *Request, e *Engine, held []map[uint64]bool, hit *int) (addr string, tokens int, us int64) {
	own, best, all := EngineHolderID(e.ID), *hit, *hit
	at := func(node uint64, a, site string) {
		h, m := prefixCoverage(r, held, own, node)
		if m == 0 || h+m < best {
			return
		}
		c := p.transferUS(site == e.Zone, m)
		// The longest prefix wins; among equals the cheapest to move.
		if h+m > best || c < us {
			best, addr, tokens, us, all = h+m, a, m, c, h
		}
	}
	done := map[uint64]bool{own: true}
	for _, hs := range held {
		for node := range hs {
			if o := p.byNode[node]; o != nil && !done[node] && !o.Unhealthy {
				done[node] = true
				at(node, o.Addr, o.Zone)
			}
		}
	}
	for _, s := range p.stores {
		if !s.Unhealthy { // a dead source is waited for
			at(StoreHolderID(s.Addr), s.Addr, s.Zone)
		}
	}
	*hit = all
	return addr, tokens, us
}

func (p *Picker) transferUS(near bool, tokens int) int64 {
	us := int64(float64(tokens) / p.Cost.TransferTokensPerMS * 1000)
	if !near {
		us *= 2
	}
	return us + p.Cost.TransferSetupUS
}

// storeOf is the store where everybody would look for a part, of those that are up.
func (p *Picker) storeOf(home string) (best *Store) {
	for i := range p.stores {
		s := &p.stores[i]
		if !s.Unhealthy && (best == nil || affinity(home, s.Addr) > affinity(home, best.Addr)) {
			best = s
		}
	}
	return best
}

// dest is the store that should get the shared parts, if the engine has to read any
// that the store lacks. What is read of the request's own goes there as well, which
// drives others out: so no store is named for that alone.
func (p *Picker) destination(r *Request, s *Store, c *Choice, held []map[uint64]bool) string {
	if s == nil || !p.HintsComplete {
		return ""
	}
	sum, there := 0, c.CachedTokens+c.TransferTokens
	for i, x := range r.Blocks[:sharedBlocks(r)] {
		if sum += x.Tokens; sum > there && !held[i][StoreHolderID(s.Addr)] {
			return s.Addr
		}
	}
	return ""
}

// downCost keeps requests from an engine that looks down while there is another. It is
// not left out for good: whoever looks may be the one who is cut off.
const unhealthyUS = 400_000

// busy is how long an engine would keep a new request waiting, as far as known.
func (p *Picker) queueUS(now int64, e *Engine, r *Request) int64 {
	s := p.states[e.ID]
	// What the others had to read is read on meanwhile.
	rest := max(0, float64(s.others.PrefillTokens)-p.Cost.PrefillTokensPerMS*float64(now-p.othersAt)/1000)
	run, wait := s.own.Requests+s.others.Requests, 0
	if s.reportedAt > 0 && now-s.reportedAt < p.Cost.LoadMaxAgeUS {
		wait = s.waiting
	}
	c := int64((float64(s.own.PrefillTokens)+rest)/p.Cost.PrefillTokensPerMS*1000) + int64(run)*p.Cost.RunningPenaltyUS + int64(wait)*p.Cost.WaitingPenaltyUS
	if e.Slots > 0 && run >= e.Slots {
		c += int64(run-e.Slots+1) * 50_000
	}
	if e.CacheTokens > 0 {
		// Requests share their memory with what is kept; when it runs out some are put
		// back and read anew.
		if full := float64(s.own.MemoryTokens+s.others.MemoryTokens+int64(r.PromptTokens+r.MaxOutputTokens)) / float64(e.CacheTokens); full > p.Cost.MemoryPressureFrom {
			c += int64((full - p.Cost.MemoryPressureFrom) * float64(p.Cost.MemoryPressureUS))
		}
	}
	if e.Unhealthy {
		c += unhealthyUS
	}
	return c + int64(s.failures)*30_000
}

// Sent notes that a request went to the chosen engine.
func (p *Picker) RequestSent(c *Choice) {
	if s := p.states[c.Engine.ID]; s != nil {
		s.own.Requests++
		s.own.PrefillTokens += int64(c.PrefillTokens)
		s.own.MemoryTokens += int64(c.MemoryTokens)
	}
}

// Began notes the first event of an answer: what was read is kept there now.
func (p *Picker) ResponseStarted(c *Choice) {
	if s := p.states[c.Engine.ID]; s != nil {
		s.own.PrefillTokens = max(0, s.own.PrefillTokens-int64(c.PrefillTokens))
		s.failures = 0
	}
}

// Ended notes the end of an attempt; began tells whether Began was called.
func (p *Picker) AttemptEnded(c *Choice, began bool) {
	s := p.states[c.Engine.ID]
	if s == nil {
		return
	}
	s.own.Requests = max(0, s.own.Requests-1)
	s.own.MemoryTokens = max(0, s.own.MemoryTokens-int64(c.MemoryTokens))
	if !began {
		s.own.PrefillTokens = max(0, s.own.PrefillTokens-int64(c.PrefillTokens))
	}
}

// Own lists what this proxy has under way, by engine's node.
func (p *Picker) OwnLoads() map[uint64]Load {
	out := map[uint64]Load{}
	for id, s := range p.states {
		if s.own.Requests > 0 {
			out[EngineHolderID(id)] = s.own
		}
	}
	return out
}

// Others takes in what the other proxies have under way, as of at.
func (p *Picker) SetOtherLoads(at int64, l map[uint64]Load) {
	p.othersAt = at
	for id, s := range p.states {
		s.others = l[EngineHolderID(id)]
	}
}

// Load notes what an engine said of its load.
func (p *Picker) ReportLoad(now int64, id string, running, waiting, _ int) {
	if s := p.states[id]; s != nil {
		s.running, s.waiting, s.reportedAt = running, waiting, now
	}
}

// Rest keeps an engine out of use for a while: it refused, or it failed.
func (p *Picker) Eject(now int64, id string, us int64, failed bool) {
	s := p.states[id]
	if s == nil {
		return
	}
	if failed {
		s.failures = min(s.failures+1, 6)
		us <<= min(s.failures-1, 4)
	}
	s.ejectedUntil = max(s.ejectedUntil, now+us)
}
