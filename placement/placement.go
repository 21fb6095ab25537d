// Package placement chooses the engine for a request that a proxy passes through,
// and what that engine is to take from elsewhere instead of reading it again
// (design §13). It is pure: the map of the fleet, hints and the proxy's own
// observations go in, a choice comes out.
package placement

import (
	"hash/fnv"
	"sort"

	"violetthread/cue"
)

// Engine is an engine as the map of the fleet shows it.
type Engine struct {
	ID, Pool, Addr, Site string
	Draining             bool
	Turning              bool // about to take other weights
	Down                 bool // it does not answer the fleet's own questions
	Slots                int
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
	Keys    []cue.Key
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
	LoadOld    int64 // an engine's own word on its load counts no longer than this
}

// Defaults are where the daemons start from.
func Defaults() Figures {
	return Figures{ReadPerMS: 110, MovePerMS: 2500, MoveFixed: 6_000, MoveAvoid: 20_000, HomeStep: 25_000,
		OtherSite: 1_500, PerRunning: 700, PerWaiting: 15_000, LoadOld: 1_000_000}
}

// seen is what this proxy knows of an engine by itself.
type seen struct {
	active  int   // its own requests there
	reading int64 // tokens of its own requests that have no first event yet
	rest    int64 // not used until then
	bad     int   // failures in a row
	running int   // as the engine said in its last answer
	waiting int
	loadAt  int64
	asOf    int // own requests there when it said so
}

// Picker is a proxy's placement. It is not safe for concurrent use.
type Picker struct {
	F       Figures
	site    string
	engines []*Engine
	byPool  map[string][]*Engine
	byID    map[string]*Engine
	byNode  map[uint64]*Engine
	stores  []Store
	seen    map[string]*seen
	hints   *cue.Holders
	buf     []uint64
}

// StoreNode is the holder that stands for a store.
func StoreNode(addr string) uint64 { return cue.NodeID("store "+addr, 0) }

// EngineNode is the holder that stands for one life of an engine.
func EngineNode(id string) uint64 { return cue.NodeID(id, 0) }

// New makes a picker for a proxy at site; hints may be written meanwhile.
func New(site string, hints *cue.Holders) *Picker {
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
		if p.byID[id] == nil && s.active == 0 {
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

// held counts the tokens of the leading parts that each holder is hinted to keep,
// under one salt. The request's own last part is not asked for.
func (p *Picker) held(r *Request, ks []cue.Key) map[uint64]int {
	out := map[uint64]int{}
	sum := 0
	for i := range ks {
		before := sum
		sum += r.Parts[i].Tokens
		p.buf = p.hints.Get(ks[i], p.buf[:0])
		any := false
		for _, n := range p.buf {
			if i == 0 || out[n] == before {
				out[n] = sum
				any = true
			}
		}
		if !any {
			break
		}
	}
	return out
}

// shared is how many leading parts others may use as well.
func shared(r *Request) int { return max(0, len(r.Parts)-1) }

// Keys are the hint keys of a request's parts under a salt.
func Keys(r *Request, salt string) []cue.Key {
	ks := make([]cue.Key, 0, len(r.Parts))
	for _, x := range r.Parts {
		ks = append(ks, cue.PartKey(salt, r.Model, x.ID))
	}
	return ks
}

// Pick chooses an engine, or none.
func (p *Picker) Pick(now int64, r *Request) (Choice, bool) {
	type salted struct {
		ks   []cue.Key
		held map[uint64]int
		salt string
	}
	by := map[uint64]*salted{}
	var es []*Engine
	for _, e := range p.byPool[r.Pool] {
		s := p.seen[e.ID]
		if e.Draining || r.Tried[e.ID] || s.rest > now || r.Model != "" && e.Weights[r.Model] < r.Least {
			continue
		}
		es = append(es, e)
	}
	// An engine that is about to turn is left alone while there is another.
	if rest := notTurning(es); len(rest) > 0 {
		es = rest
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
			g.held = p.held(r, g.ks)
			by[v] = g
		}
		c := Choice{Engine: e, Version: v, Salt: g.salt, Keys: g.ks}
		own := g.held[EngineNode(e.ID)]
		c.Hit = own
		move := int64(0)
		c.Source, c.Moved, move = p.source(e, g.held, own)
		c.Read = max(0, r.Tokens-own-c.Moved)
		cost := p.busy(now, e) + int64(float64(c.Read)/p.F.ReadPerMS*1000)
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
	best.Dest = p.dest(r, by[best.Version].held)
	return best, true
}

func notTurning(es []*Engine) (out []*Engine) {
	for _, e := range es {
		if !e.Turning {
			out = append(out, e)
		}
	}
	return out
}

// source is the best holder of what the engine lacks: an engine or a store.
func (p *Picker) source(e *Engine, held map[uint64]int, own int) (addr string, tokens int, us int64) {
	bestC := int64(-1)
	at := func(a, site string, n int) {
		if n <= own {
			return
		}
		c := p.moving(site == e.Site, n-own)
		// The longest prefix wins; among equals the cheapest to move.
		if n-own > tokens || n-own == tokens && c < bestC {
			addr, tokens, us, bestC = a, n-own, c, c
		}
	}
	for node, n := range held {
		if o := p.byNode[node]; o != nil && o != e && !o.Down {
			at(o.Addr, o.Site, n)
		}
	}
	for _, s := range p.stores {
		if s.Down {
			continue // a dead source is waited for
		}
		at(s.Addr, s.Site, held[StoreNode(s.Addr)])
	}
	return addr, tokens, us
}

func (p *Picker) moving(near bool, tokens int) int64 {
	us := int64(float64(tokens) / p.F.MovePerMS * 1000)
	if !near {
		us *= 2
	}
	return us + p.F.MoveFixed
}

// dest is the store that should get the shared parts, if it lacks any of them.
func (p *Picker) dest(r *Request, held map[uint64]int) string {
	want := 0
	for _, x := range r.Parts[:shared(r)] {
		want += x.Tokens
	}
	if want == 0 || len(p.stores) == 0 {
		return ""
	}
	s := p.stores[0]
	if s.Down || held[StoreNode(s.Addr)] >= want {
		return ""
	}
	return s.Addr
}

// downCost keeps requests from an engine that looks down while there is another. It is
// not left out for good: whoever looks may be the one who is cut off.
const downCost = 400_000

// busy is how long an engine would keep a new request waiting, as far as known.
func (p *Picker) busy(now int64, e *Engine) int64 {
	s := p.seen[e.ID]
	run, wait := s.active, 0
	if s.loadAt > 0 && now-s.loadAt < p.F.LoadOld {
		run = max(run, s.running+s.active-s.asOf)
		wait = s.waiting
	}
	c := int64(float64(s.reading)/p.F.ReadPerMS*1000) + int64(run)*p.F.PerRunning + int64(wait)*p.F.PerWaiting
	if e.Slots > 0 && run >= e.Slots {
		c += int64(run-e.Slots+1) * 50_000
	}
	if e.Down {
		c += downCost
	}
	return c + int64(s.bad)*30_000
}

// Sent notes that a request went to the chosen engine.
func (p *Picker) Sent(c *Choice) {
	if s := p.seen[c.Engine.ID]; s != nil {
		s.active++
		s.reading += int64(c.Read)
	}
}

// Began notes the first event of an answer: what was read is kept there now.
func (p *Picker) Began(c *Choice) {
	if s := p.seen[c.Engine.ID]; s != nil {
		s.reading = max(0, s.reading-int64(c.Read))
		s.bad = 0
	}
}

// Ended notes the end of an attempt; began tells whether Began was called.
func (p *Picker) Ended(c *Choice, began bool) {
	s := p.seen[c.Engine.ID]
	if s == nil {
		return
	}
	s.active = max(0, s.active-1)
	if !began {
		s.reading = max(0, s.reading-int64(c.Read))
	}
}

// Load notes what an engine said of its load.
func (p *Picker) Load(now int64, id string, running, waiting, slots int) {
	if s := p.seen[id]; s != nil {
		s.running, s.waiting, s.loadAt, s.asOf = running, waiting, now, s.active
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
