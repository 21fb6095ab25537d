package proxy

import (
	"context"
	"slices"
	"sort"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	frames "violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/placement"
	"violetthread/route"
	"violetthread/schema/fb"
)

const (
	followHold    = 250_000   // how long a directory node may hold a question
	followPatient = 450_000   // and how long its answer may take beyond
	unusedFor     = 1_500_000 // a node that failed or fell behind is not asked first for so long
	retryHold     = 50_000    // how long such a node may hold a question, while there is no other

	// A node whose word is older than this is cut off from the owner of a register, and
	// another one is asked.
	staleRegister = 1_000_000
	// A node whose list of engines is older than this does not get it while others may.
	// Without the platform all lists grow old, so that this is tried only so often.
	staleList      = 4_000_000
	staleListAgain = 10_000_000
	// A map with an older list than the one in use waits for no longer than this for its
	// node to get a newer one: the platform may be down.
	nextMapWait = 3_000_000
)

// view is what the proxy knows of the fleet. It never changes once published.
type view struct {
	table *route.Table
	rev   uint64
	at    int64 // when the configuration was last known to be in force
	known bool
	named *route.Announcements
	peers int // proxies of the fleet, this one included
	// Which life of a node told the map in use, and when the list of engines in it was
	// asked for.
	mapFrom  uint64
	listedAt int64
	next     *nextMap
}

// nextMap is a map that is not used yet, since the list in it is older than the one in use.
type nextMap struct {
	from    uint64
	engines []*fb.MapEngineT
	at      int64
}

// least is the oldest version of a model that may still be begun: one that was named
// for too long has to be in force.
func (v *view) least(now int64, model string, within int64) uint64 {
	if v.named == nil {
		return 0
	}
	return v.named.OldestAllowed(now, model, within)
}

// leastVersion is the oldest version of a model that an attempt may begin on now.
func (c *carrier) leastVersion(now int64, model string) uint64 {
	return c.view.Load().least(now, model, c.s.Bounds.VersionApplyUS-versionSlackUS)
}

// hear takes in what a node says of the fleet's state, which left it no sooner than at.
// It returns the map to be used from now on, if there is another one.
func (v *view) hear(t *fb.MapTellT, at int64) (engines []*fb.MapEngineT, use bool) {
	// A node that is cut off has lost sight of other proxies, and does not know that they
	// have gone: what each may spend must not grow by that.
	if told := max(1, int(t.Proxies)); !behind(t) || told > v.peers {
		v.peers = told
	}
	if t.Whole {
		named := &route.Announcements{}
		if v.named != nil {
			named = v.named.Clone()
		}
		named.Merge(frames.UnpackVersionAges(t, at))
		v.named = named
		v.next = &nextMap{t.Inc, t.Engines, at}
	}
	return v.hearMap(t.Inc, at, t.ListAge)
}

// hearConfig takes in the configuration that a node told, and returns whether it is
// another one. A revision never goes back within a life; an age counts only for the
// revision in use.
func (v *view) hearConfig(t *fb.MapTellT, at int64, parse func(text []byte, rev uint64) *route.Table) (changed bool) {
	if !t.Known || t.Rev < v.rev {
		return false
	}
	if t.Rev > v.rev && len(t.Config) > 0 {
		if table := parse(t.Config, t.Rev); table != nil {
			v.table, v.rev, changed = table, t.Rev, true
		}
	}
	if t.Rev == v.rev {
		v.known, v.at = true, max(v.at, at-t.Age)
	}
	return changed
}

// hearMap takes in how old the list in a node's newest map is, and returns that map if it
// is to be used from now on: at once if its list is not older than that of the map in
// use, else once the node has looked at the platform's list again. A node that has just
// started and read no list knows of no engines.
func (v *view) hearMap(from uint64, at, listAge int64) (engines []*fb.MapEngineT, use bool) {
	if listAge >= frames.AgeNeverRead {
		return nil, false
	}
	listedAt := at - listAge
	same := from == v.mapFrom
	if next := v.next; next != nil && next.from == from {
		use = same || listedAt >= v.listedAt || at-next.at > nextMapWait
		if use {
			engines, v.next, v.mapFrom, v.listedAt = next.engines, nil, from, listedAt
		}
		return engines, use
	}
	v.next = nil // another node is asked now
	if same {
		v.listedAt = max(v.listedAt, listedAt)
	}
	return nil, false
}

// behind reports whether a node is out of touch with the owner of a register. One that
// was restarted while it is cut off knows no configuration at all.
func behind(t *fb.MapTellT) bool {
	return !t.Known || t.Age > staleRegister || t.NamedAge > staleRegister
}

// age is how long ago the configuration was known to be in force.
func (v *view) age(now int64) int64 {
	if !v.known {
		return 1 << 50
	}
	return now - v.at
}

// directoryNode is a directory node as this proxy knows it.
type directoryNode struct {
	site        string // once it has said so
	badAt       int64
	staleListAt int64 // when its list of engines was seen to be old
}

// follower keeps the view fresh: it asks one node after the other, the one in
// its own site first, and goes on to the next when one fails or falls behind.
type follower struct {
	c         *carrier
	nodes     map[string]*directoryNode
	current   string
	inc, have uint64
	mapRev    uint64
	newsInc   uint64
	newsNext  uint64
}

// newFollower makes one that starts from the seeds.
func newFollower(c *carrier) *follower {
	f := &follower{c: c, nodes: map[string]*directoryNode{}}
	for _, addr := range c.s.Seeds {
		f.nodes[addr] = &directoryNode{}
	}
	return f
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.ask(ctx) && !taskgroup.Sleep(ctx, 30_000) {
			return
		}
	}
}

// order lists the nodes to ask, the best one first.
func (f *follower) order(now int64) []string {
	var l []string
	for a := range f.nodes {
		l = append(l, a)
	}
	sort.Slice(l, func(i, j int) bool { return f.before(now, l[i], l[j]) })
	return l
}

// failedLately reports whether the node failed, or was out of touch, a short while ago.
func (x *directoryNode) failedLately(now int64) bool {
	return x.badAt > 0 && now-x.badAt < unusedFor
}

// before reports whether node a is to be asked before node b. Among those that failed
// lately the one that was tried longest ago goes first, so that none is clung to: a node
// that is cut off answers at once, and others may have come back meanwhile.
func (f *follower) before(now int64, a, b string) bool {
	x, y := f.nodes[a], f.nodes[b]
	xFailed, yFailed := x.failedLately(now), y.failedLately(now)
	if xFailed != yFailed {
		return yFailed
	}
	if xFailed && x.badAt != y.badAt {
		return x.badAt < y.badAt
	}
	if p, q := f.rank(now, a), f.rank(now, b); p != q {
		return p < q
	}
	return score(f.c.s.Name, a) < score(f.c.s.Name, b)
}

// rank orders nodes that answered last time, the lowest first.
func (f *follower) rank(now int64, a string) (n int) {
	x := f.nodes[a]
	if x.staleListAt > 0 && now-x.staleListAt < staleListAgain {
		n += 4
	}
	switch {
	case x.site == f.c.s.Zone:
	case x.site == "":
		n++ // worth finding out
	default:
		n += 2
	}
	if a == f.current {
		n--
	}
	return n
}

func (f *follower) ask(ctx context.Context) bool {
	now := clock.Now()
	l := f.order(now)
	if len(l) == 0 {
		return false
	}
	a := l[0]
	hold := int64(followHold)
	switch {
	case f.c.view.Load().table == nil || f.nodes[a].site == "":
		hold = 0
	case f.nodes[a].failedLately(now):
		hold = retryHold
	}
	q := &fb.MapAskT{Node: f.c.self(), Inc: f.inc, Have: f.have, Map: f.mapRev, NewsInc: f.newsInc, NewsSince: f.newsNext, Hold: hold, Loads: f.c.loads()}
	r, err := f.c.book.Get(a).Call(ctx, &fb.FrameT{MapAsk: q}, hold+followPatient)
	if ctx.Err() != nil {
		return false
	}
	x := f.nodes[a]
	if err != nil || r.MapTell == nil {
		f.leave(a)
		return len(l) > 1
	}
	t := r.MapTell
	x.site, x.badAt = t.Site, 0
	// The answer left the node no sooner than it had held the question.
	f.take(t, now+t.Held)
	if t.ListAge > staleList && now-x.staleListAt > staleListAgain {
		x.staleListAt = clock.Now()
	}
	f.learn(t.Voters, !behind(t))
	if behind(t) {
		f.leave(a)
		return false
	}
	if f.current != a {
		f.c.d.Log.Info("directory", "directory", a, "site", t.Site)
		f.current = a
	}
	return true
}

// leave lets others be asked before a node that failed or is out of touch.
func (f *follower) leave(a string) {
	f.nodes[a].badAt = clock.Now()
	if f.current == a {
		f.c.d.Log.Info("directory_lost", "directory", a)
		f.current = ""
	}
}

// learn takes in which control nodes there are. Only a node that is in touch is believed
// that others have gone: one that is cut off may know an old roster.
func (f *follower) learn(voters []string, inTouch bool) {
	if len(voters) == 0 {
		return
	}
	for _, v := range voters {
		if f.nodes[v] == nil {
			f.nodes[v] = &directoryNode{}
		}
	}
	for a := range f.nodes {
		if inTouch && !slices.Contains(voters, a) && !slices.Contains(f.c.s.Seeds, a) {
			delete(f.nodes, a)
		}
	}
}

// take publishes what a node told.
func (f *follower) take(t *fb.MapTellT, at int64) {
	c := f.c
	v := *c.view.Load()
	engines, use := v.hear(t, at)
	if t.Inc != f.inc {
		f.inc, f.mapRev = t.Inc, 0
	}
	if v.hearConfig(t, at, c.door.ParseConfig) {
		c.d.Log.Info("config", "rev", t.Rev, "version", v.table.Version, "age_us", t.Age)
	}
	f.have = v.rev
	c.view.Store(&v)
	if t.Whole {
		f.mapRev = t.Map
	}
	if use {
		c.takeMap(engines, v.table)
	}
	f.news(t)
	others := map[uint64]placement.Load{}
	for _, l := range t.Loads {
		others[l.Node] = placement.Load{Requests: int(l.Active), PrefillTokens: int64(l.Reading), MemoryTokens: int64(l.Tokens)}
	}
	c.mu.Lock()
	c.pick.SetOtherLoads(at, others)
	c.pick.HintsComplete = t.Complete && !t.NewsReset
	c.mu.Unlock()
}

// loads tells what this proxy has under way.
func (c *carrier) loads() (out []*fb.LoadT) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, l := range c.pick.OwnLoads() {
		out = append(out, &fb.LoadT{Node: n, Active: uint32(l.Requests), Reading: uint32(l.PrefillTokens), Tokens: uint32(l.MemoryTokens)})
	}
	return out
}

func (f *follower) news(t *fb.MapTellT) {
	h := f.c.hints
	f.newsInc, f.newsNext = t.NewsInc, t.NewsNext
	f.c.hintMu.Lock()
	defer f.c.hintMu.Unlock()
	if t.NewsReset {
		h.Clear()
	}
	for _, n := range t.News {
		k := cacheindex.Key{Hi: n.Hi, Lo: n.Lo, Check: n.Check}
		if cacheindex.UpdateOp(n.Op) == cacheindex.OpAdd {
			h.Put(k, n.Node)
		} else {
			h.Remove(k, n.Node)
		}
	}
}

// takeMap gives the picker a new map of the fleet.
func (c *carrier) takeMap(es []*fb.MapEngineT, tab *route.Table) {
	var l []*placement.Engine
	var ss []placement.Store
	for _, e := range es {
		if e.Store {
			ss = append(ss, placement.Store{Addr: e.Addr, Zone: e.Site, Unhealthy: e.Down})
			continue
		}
		keep := int64(0)
		if tab != nil {
			if p := tab.Pool(e.Pool); p != nil {
				keep = p.CacheTokens
			}
		}
		l = append(l, &placement.Engine{CacheTokens: keep, ID: e.Id, Pool: e.Pool, Addr: e.Addr, Zone: e.Site, Draining: e.Draining,
			UpdatingWeights: e.Turning, Unhealthy: e.Down, Slots: int(e.Slots), Weights: frames.UnpackWeights(e.Weights)})
	}
	c.mu.Lock()
	c.pick.SetFleet(l, ss)
	c.mu.Unlock()
	if len(l) > 0 {
		c.met.Store(true)
	}
	live := map[string]bool{}
	for _, e := range l {
		live[e.ID] = true
	}
	c.pool.sweep(func(id string) bool { return live[id] })
}
