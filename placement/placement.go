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
	ID, Pool, Addr, Site string
	Draining             bool
	Turning              bool // about to take other weights
	Down                 bool // it does not answer the fleet's own questions
	Slots                int
	Keep                 int64             // tokens that its memory holds, 0 if not known
	Weights              map[string]uint64 // version of each model it runs
}

// Store is a store of kept parts.
type Store struct {
	Addr, Site string
	Down       bool
}

// Part is a part of a prompt, as its caller names it.
type Part struct {
	ID     string
	Tokens int
}

// Request is what has to be placed.
type Request struct {
	Pool   string
	Model  string
	Parts  []Part // in order; the last one is the request's own
	Tokens int    // of the whole prompt
	Out    int    // tokens at the most
	Wall   string
	Tried  map[string]bool
	Least  uint64 // version of the model that must be run, 0 for any
	// Misdirected says that an address turned out to be another engine's. Many may have
	// gone at once, so the next attempt goes to an engine that answered lately, if any.
	Misdirected bool
}

// Choice is where a request goes. Empty Source and Dest mean none.
type Choice struct {
	Engine  *Engine
	Version uint64
	Salt    string
	Source  string
	Dest    string
	Read    int // tokens that the engine has to read
	Moved   int // tokens that it is told to take from Source
	Hit     int // tokens hinted to be there already
	Tokens  int // that its memory holds for the request
	Keys    []cacheindex.Key
}

// Figures are what the choice is made by. Times are microseconds.
type Figures struct {
	ReadPerMS  float64 // prompt tokens that an engine reads in a millisecond
	MovePerMS  float64 // tokens that a link moves in a millisecond
	MoveFixed  int64
	MoveAvoid  int64 // what a move costs beyond its time
	HomeStep   int64 // for each rank away from a part's home, where nobody keeps it
	OtherSite  int64
	PerRunning int64 // for each request running at an engine
	PerWaiting int64
	FullFrom   float64 // part of an engine's memory that requests may take freely
	PerFull    int64   // for a whole memory beyond that
	LoadOld    int64   // an engine's own word on its load counts no longer than this
}

// Defaults are where the daemons start from.
func Defaults() Figures {
	return Figures{ReadPerMS: 110, MovePerMS: 2500, MoveFixed: 6_000, MoveAvoid: 20_000, HomeStep: 25_000,
		OtherSite: 1_500, PerRunning: 700, PerWaiting: 15_000, FullFrom: 0.5, PerFull: 600_000, LoadOld: 1_000_000}
}

// Load is what is under way at an engine.
type Load struct {
	Active  int   // requests
	Reading int64 // prompt tokens not read yet
	Tokens  int64 // that its memory holds for them
}

// seen is what this proxy knows of an engine by itself.
type seen struct {
	own     Load  // its own requests there
	others  Load  // those of the other proxies, as last told
	rest    int64 // not used until then
	bad     int   // failures in a row
	running int   // as the engine said in its last answer
	waiting int
	loadAt  int64
}

// Picker is a proxy's placement. It is not safe for concurrent use.
type Picker struct {
	F Figures
	// Complete says that the hints are as complete as they get: until then nothing is
	// sent to a store that may well have it.
	Complete bool
	site     string
	engines  []*Engine
	byPool   map[string][]*Engine
	byID     map[string]*Engine
	byNode   map[uint64]*Engine
	stores   []Store
	seen     map[string]*seen
	toldAt   int64 // when the others' loads were told
	hints    *cacheindex.HolderTable
	buf      []uint64
}

// StoreNode is the holder that stands for a store.
func StoreNode(addr string) uint64 { return cacheindex.NodeID("store "+addr, 0) }

// EngineNode is the holder that stands for one life of an engine.
func EngineNode(id string) uint64 { return cacheindex.NodeID(id, 0) }

// New makes a picker for a proxy at site; hints may be written meanwhile.
func New(site string, hints *cacheindex.HolderTable) *Picker {
	return &Picker{F: Defaults(), site: site, hints: hints, seen: map[string]*seen{}}
}

// Map takes in a new map of the fleet.
func (p *Picker) Map(es []*Engine, stores []Store) {
	p.engines, p.stores = es, stores
	p.byPool, p.byID, p.byNode = map[string][]*Engine{}, map[string]*Engine{}, map[uint64]*Engine{}
	for _, e := range es {
		p.byPool[e.Pool] = append(p.byPool[e.Pool], e)
		p.byID[e.ID] = e
		p.byNode[EngineNode(e.ID)] = e
		if p.seen[e.ID] == nil {
			p.seen[e.ID] = &seen{}
		}
	}
	for id, s := range p.seen {
		if p.byID[id] == nil && s.own.Active == 0 {
			delete(p.seen, id)
		}
	}
}

// Engines lists the engines of the map.
func (p *Picker) Engines() []*Engine { return p.engines }

// Usable counts the engines of a pool that would take a request now.
func (p *Picker) Usable(now int64, pool string) (n int) {
	for _, e := range p.byPool[pool] {
		if !e.Draining && p.seen[e.ID].rest <= now {
			n++
		}
	}
	return n
}

// Salt names a wall and a version of a model together.
func Salt(wall string, version uint64) string {
	b := make([]byte, 0, len(wall)+12)
	b = append(b, wall...)
	b = append(b, '.')
	return string(appendUint(b, version))
}

func appendUint(b []byte, n uint64) []byte {
	if n >= 10 {
		b = appendUint(b, n/10)
	}
	return append(b, byte('0'+n%10))
}

// rank orders a pool's engines for a part: its home is where everybody would
// look for it without talking to each other.
func rank(part string, id string) uint64 {
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
func (p *Picker) held(ks []cacheindex.Key) []map[uint64]bool {
	out := make([]map[uint64]bool, len(ks))
	for i, k := range ks {
		p.buf = p.hints.Get(k, p.buf[:0])
		if len(p.buf) > 0 {
			out[i] = make(map[uint64]bool, len(p.buf))
			for _, n := range p.buf {
				out[i][n] = true
			}
		}
	}
	return out
}

// cover walks a prompt from its start for as long as one of two holders keeps each
// part: hit counts the tokens that the first keeps, moved those of the second alone.
func cover(r *Request, held []map[uint64]bool, own, src uint64) (hit, moved int) {
	for i, x := range r.Parts {
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
func shared(r *Request) int { return max(0, len(r.Parts)-1) }

// Keys are the hint keys of a request's parts under a salt.
func Keys(r *Request, salt string) []cacheindex.Key {
	ks := make([]cacheindex.Key, 0, len(r.Parts))
	for _, x := range r.Parts {
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
		s := p.seen[e.ID]
		if e.Draining || r.Tried[e.ID] || s.rest > now || r.Model != "" && e.Weights[r.Model] < max(r.Least, 1) {
			continue // it runs something older, or nobody knows what
		}
		es = append(es, e)
	}
	// An engine that is about to turn is left alone while there is another.
	if rest := notTurning(es); len(rest) > 0 {
		es = rest
	}
	if r.Misdirected {
		if heard := p.heardLately(now, es); len(heard) > 0 {
			es = heard
		}
	}
	if len(es) == 0 {
		return Choice{}, false
	}
	home := ""
	if n := shared(r); n > 0 {
		home = r.Wall + r.Parts[n-1].ID
	} else if len(r.Parts) > 0 {
		home = r.Wall + r.Parts[0].ID
	}
	if home != "" {
		sort.Slice(es, func(i, j int) bool { return rank(home, es[i].ID) > rank(home, es[j].ID) })
	}
	var best Choice
	var bc int64
	for i, e := range es {
		v := e.Weights[r.Model]
		g := by[v]
		if g == nil {
			g = &salted{salt: Salt(r.Wall, v)}
			g.ks = Keys(r, g.salt)
			g.held = p.held(g.ks)
			by[v] = g
		}
		c := Choice{Engine: e, Version: v, Salt: g.salt, Keys: g.ks, Tokens: r.Tokens + r.Out}
		c.Hit, _ = cover(r, g.held, EngineNode(e.ID), 0)
		own, move := c.Hit, int64(0)
		c.Source, c.Moved, move = p.source(r, e, g.held, &c.Hit)
		c.Read = max(0, r.Tokens-c.Hit-c.Moved)
		cost := p.busy(now, e, r) + int64(float64(c.Read)/p.F.ReadPerMS*1000)
		if c.Moved > 0 {
			cost += move + p.F.MoveAvoid
		}
		if own == 0 && home != "" {
			cost += int64(min(i, 6)) * p.F.HomeStep
		}
		if e.Site != p.site {
			cost += p.F.OtherSite
		}
		if best.Engine == nil || cost < bc {
			best, bc = c, cost
		}
	}
	s := p.storeOf(home)
	if best.Source == "" && shared(r) > 0 && s != nil {
		// News is late and some is lost. To ask the store for nothing costs a moment,
		// to read a part again a hundred times as much.
		best.Source = s.Addr
	}
	best.Dest = p.dest(r, s, &best, by[best.Version].held)
	return best, true
}

// heardLatelyUS is shorter than the time after which a platform gives the address of an
// engine that is gone to another one.
const heardLatelyUS = 1_900_000

// heardLately lists the engines that told their load in an answer a short while ago.
func (p *Picker) heardLately(now int64, es []*Engine) (out []*Engine) {
	for _, e := range es {
		if s := p.seen[e.ID]; s.loadAt > 0 && now-s.loadAt < heardLatelyUS {
			out = append(out, e)
		}
	}
	return out
}

func notTurning(es []*Engine) (out []*Engine) {
	for _, e := range es {
		if !e.Turning {
			out = append(out, e)
		}
	}
	return out
}

// source is the best holder of what the engine lacks: an engine or a store. Parts
// that the engine keeps behind a gap count as soon as the source fills the gap.
func (p *Picker) source(r *Request, e *Engine, held []map[uint64]bool, hit *int) (addr string, tokens int, us int64) {
	own, best, all := EngineNode(e.ID), *hit, *hit
	at := func(node uint64, a, site string) {
		h, m := cover(r, held, own, node)
		if m == 0 || h+m < best {
			return
		}
		c := p.moving(site == e.Site, m)
		// The longest prefix wins; among equals the cheapest to move.
		if h+m > best || c < us {
			best, addr, tokens, us, all = h+m, a, m, c, h
		}
	}
	done := map[uint64]bool{own: true}
	for _, hs := range held {
		for node := range hs {
			if o := p.byNode[node]; o != nil && !done[node] && !o.Down {
				done[node] = true
				at(node, o.Addr, o.Site)
			}
		}
	}
	for _, s := range p.stores {
		if !s.Down { // a dead source is waited for
			at(StoreNode(s.Addr), s.Addr, s.Site)
		}
	}
	*hit = all
	return addr, tokens, us
}

func (p *Picker) moving(near bool, tokens int) int64 {
	us := int64(float64(tokens) / p.F.MovePerMS * 1000)
	if !near {
		us *= 2
	}
	return us + p.F.MoveFixed
}

// storeOf is the store where everybody would look for a part, of those that are up.
func (p *Picker) storeOf(home string) (best *Store) {
	for i := range p.stores {
		s := &p.stores[i]
		if !s.Down && (best == nil || rank(home, s.Addr) > rank(home, best.Addr)) {
			best = s
		}
	}
	return best
}

// dest is the store that should get the shared parts, if the engine has to read any
// that the store lacks. What is read of the request's own goes there as well, which
// drives others out: so no store is named for that alone.
func (p *Picker) dest(r *Request, s *Store, c *Choice, held []map[uint64]bool) string {
	if s == nil || !p.Complete {
		return ""
	}
	sum, there := 0, c.Hit+c.Moved
	for i, x := range r.Parts[:shared(r)] {
		if sum += x.Tokens; sum > there && !held[i][StoreNode(s.Addr)] {
			return s.Addr
		}
	}
	return ""
}

// downCost keeps requests from an engine that looks down while there is another. It is
// not left out for good: whoever looks may be the one who is cut off.
const downCost = 400_000

// busy is how long an engine would keep a new request waiting, as far as known.
func (p *Picker) busy(now int64, e *Engine, r *Request) int64 {
	s := p.seen[e.ID]
	// What the others had to read is read on meanwhile.
	rest := max(0, float64(s.others.Reading)-p.F.ReadPerMS*float64(now-p.toldAt)/1000)
	run, wait := s.own.Active+s.others.Active, 0
	if s.loadAt > 0 && now-s.loadAt < p.F.LoadOld {
		wait = s.waiting
	}
	c := int64((float64(s.own.Reading)+rest)/p.F.ReadPerMS*1000) + int64(run)*p.F.PerRunning + int64(wait)*p.F.PerWaiting
	if e.Slots > 0 && run >= e.Slots {
		c += int64(run-e.Slots+1) * 50_000
	}
	if e.Keep > 0 {
		// Requests share their memory with what is kept; when it runs out some are put
		// back and read anew.
		if full := float64(s.own.Tokens+s.others.Tokens+int64(r.Tokens+r.Out)) / float64(e.Keep); full > p.F.FullFrom {
			c += int64((full - p.F.FullFrom) * float64(p.F.PerFull))
		}
	}
	if e.Down {
		c += downCost
	}
	return c + int64(s.bad)*30_000
}

// Sent notes that a request went to the chosen engine.
func (p *Picker) Sent(c *Choice) {
	if s := p.seen[c.Engine.ID]; s != nil {
		s.own.Active++
		s.own.Reading += int64(c.Read)
		s.own.Tokens += int64(c.Tokens)
	}
}

// Began notes the first event of an answer: what was read is kept there now.
func (p *Picker) Began(c *Choice) {
	if s := p.seen[c.Engine.ID]; s != nil {
		s.own.Reading = max(0, s.own.Reading-int64(c.Read))
		s.bad = 0
	}
}

// Ended notes the end of an attempt; began tells whether Began was called.
func (p *Picker) Ended(c *Choice, began bool) {
	s := p.seen[c.Engine.ID]
	if s == nil {
		return
	}
	s.own.Active = max(0, s.own.Active-1)
	s.own.Tokens = max(0, s.own.Tokens-int64(c.Tokens))
	if !began {
		s.own.Reading = max(0, s.own.Reading-int64(c.Read))
	}
}

// Own lists what this proxy has under way, by engine's node.
func (p *Picker) Own() map[uint64]Load {
	out := map[uint64]Load{}
	for id, s := range p.seen {
		if s.own.Active > 0 {
			out[EngineNode(id)] = s.own
		}
	}
	return out
}

// Others takes in what the other proxies have under way, as of at.
func (p *Picker) Others(at int64, l map[uint64]Load) {
	p.toldAt = at
	for id, s := range p.seen {
		s.others = l[EngineNode(id)]
	}
}

// Load notes what an engine said of its load.
func (p *Picker) Load(now int64, id string, running, waiting, _ int) {
	if s := p.seen[id]; s != nil {
		s.running, s.waiting, s.loadAt = running, waiting, now
	}
}

// Rest keeps an engine out of use for a while: it refused, or it failed.
func (p *Picker) Rest(now int64, id string, us int64, failed bool) {
	s := p.seen[id]
	if s == nil {
		return
	}
	if failed {
		s.bad = min(s.bad+1, 6)
		us <<= min(s.bad-1, 4)
	}
	s.rest = max(s.rest, now+us)
}
