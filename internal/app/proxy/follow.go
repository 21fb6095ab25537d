package proxy

import (
	"context"
	"slices"
	"sort"

	"violetthread/hint"
	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/placement"
	"violetthread/route"
	"violetthread/schema/fb"
)

const (
	followHold    = 250_000 // how long a steward may hold a question
	followPatient = 450_000 // and how long its answer may take beyond
	staleWord     = 1_000_000
	unusedFor     = 1_500_000 // a steward that failed is not asked first for so long
)

// view is what the proxy knows of the fleet. It never changes once published.
type view struct {
	table *route.Table
	rev   uint64
	at    int64 // when the configuration was last known to be in force
	known bool
	named map[string][]naming // of each model, versions rising
	peers int                 // proxies of the fleet, this one included
}

type naming struct {
	version uint64
	at      int64
}

// least is the oldest version of a model that may still be begun: one that was named
// for too long has to be in force.
func (v *view) least(now int64, model string, within int64) (w uint64) {
	for _, n := range v.named[model] {
		if now-n.at > within {
			w = max(w, n.version)
		}
	}
	return w
}

// age is how long ago the configuration was known to be in force.
func (v *view) age(now int64) int64 {
	if !v.known {
		return 1 << 50
	}
	return now - v.at
}

// far is a steward as this proxy knows it.
type far struct {
	site  string // once it has said so
	badAt int64
}

// follower keeps the view fresh: it asks one steward after the other, the one in
// its own site first, and goes on to the next when one fails or falls behind.
type follower struct {
	c         *carrier
	fars      map[string]*far
	cur       string
	inc, have uint64
	seenMap   uint64
	newsInc   uint64
	newsAt    uint64
}

func (f *follower) run(ctx context.Context) {
	for _, a := range f.c.s.Seeds {
		f.fars[a] = &far{}
	}
	for ctx.Err() == nil {
		if !f.ask(ctx) && !taskgroup.Pause(ctx, 30_000) {
			return
		}
	}
}

// order lists the stewards to ask, the best one first.
func (f *follower) order(now int64) []string {
	var l []string
	for a := range f.fars {
		l = append(l, a)
	}
	rank := func(a string) (n int) {
		x := f.fars[a]
		if x.badAt > 0 && now-x.badAt < unusedFor {
			n += 4
		}
		switch {
		case x.site == f.c.s.Site:
		case x.site == "":
			n++ // worth finding out
		default:
			n += 2
		}
		if a == f.cur {
			n--
		}
		return n
	}
	sort.Slice(l, func(i, j int) bool {
		if a, b := rank(l[i]), rank(l[j]); a != b {
			return a < b
		}
		return score(f.c.s.Name, l[i]) < score(f.c.s.Name, l[j])
	})
	return l
}

func (f *follower) ask(ctx context.Context) bool {
	now := clock.Now()
	l := f.order(now)
	if len(l) == 0 {
		return false
	}
	a := l[0]
	hold := int64(followHold)
	if f.c.view.Load().table == nil || f.fars[a].site == "" {
		hold = 0
	}
	q := &fb.MapAskT{Node: f.c.self(), Inc: f.inc, Have: f.have, Map: f.seenMap, NewsInc: f.newsInc, NewsSince: f.newsAt, Hold: hold, Loads: f.c.loads()}
	r, err := f.c.book.At(a).Call(ctx, &fb.FrameT{MapAsk: q}, hold+followPatient)
	if ctx.Err() != nil {
		return false
	}
	x := f.fars[a]
	if err != nil || r.MapTell == nil {
		x.badAt = clock.Now()
		if f.cur == a {
			f.c.d.Log.Info("steward_lost", "steward", a)
			f.cur = ""
		}
		return len(l) > 1
	}
	t := r.MapTell
	x.site, x.badAt = t.Site, 0
	if f.cur != a {
		f.c.d.Log.Info("steward", "steward", a, "site", t.Site)
		f.cur = a
	}
	// The answer left the steward no sooner than it had held the question.
	f.take(t, now+t.Held)
	if t.Known && t.Age > staleWord {
		x.badAt = clock.Now() // it may be cut off from the configuration's owner
	}
	f.learn(t.Voters)
	if !t.Known {
		return false
	}
	return true
}

func (f *follower) learn(voters []string) {
	if len(voters) == 0 {
		return
	}
	for _, v := range voters {
		if f.fars[v] == nil {
			f.fars[v] = &far{}
		}
	}
	for a := range f.fars {
		if !slices.Contains(voters, a) && !slices.Contains(f.c.s.Seeds, a) {
			delete(f.fars, a)
		}
	}
}

// take publishes what a steward told.
func (f *follower) take(t *fb.MapTellT, at int64) {
	c := f.c
	v := *c.view.Load()
	v.peers = max(1, int(t.Proxies))
	if t.Inc != f.inc {
		f.inc, f.seenMap = t.Inc, 0
	}
	if t.Known && t.Rev >= v.rev {
		if t.Rev > v.rev && len(t.Config) > 0 {
			if tab := c.door.Config(t.Config, t.Rev); tab != nil {
				v.table, v.rev = tab, t.Rev
				c.d.Log.Info("config", "rev", t.Rev, "version", tab.Version, "age_us", t.Age)
			}
		}
		if t.Rev == v.rev {
			v.known, v.at = true, max(v.at, at-t.Age)
		}
	}
	f.have = v.rev
	if t.Whole {
		v.named = map[string][]naming{}
		for _, n := range t.Named {
			v.named[n.Model] = append(v.named[n.Model], naming{n.Version, at - n.Age})
		}
	}
	c.view.Store(&v)
	if t.Whole {
		f.seenMap = t.Map
		c.takeMap(t.Engines, v.table)
	}
	f.news(t)
	others := map[uint64]placement.Load{}
	for _, l := range t.Loads {
		others[l.Node] = placement.Load{Active: int(l.Active), Reading: int64(l.Reading), Tokens: int64(l.Tokens)}
	}
	c.mu.Lock()
	c.pick.Others(at, others)
	c.pick.Complete = t.Complete && !t.NewsReset
	c.mu.Unlock()
}

// loads tells what this proxy has under way.
func (c *carrier) loads() (out []*fb.LoadT) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for n, l := range c.pick.Own() {
		out = append(out, &fb.LoadT{Node: n, Active: uint32(l.Active), Reading: uint32(l.Reading), Tokens: uint32(l.Tokens)})
	}
	return out
}

func (f *follower) news(t *fb.MapTellT) {
	h := f.c.hints
	f.newsInc, f.newsAt = t.NewsInc, t.NewsNext
	f.c.hintMu.Lock()
	defer f.c.hintMu.Unlock()
	if t.NewsReset {
		h.Clear()
	}
	for _, n := range t.News {
		k := hint.Key{Hi: n.Hi, Lo: n.Lo, Check: n.Check}
		if hint.Op(n.Op) == hint.Load {
			h.Put(k, n.Node)
		} else {
			h.Drop(k, n.Node)
		}
	}
}

// takeMap gives the picker a new map of the fleet.
func (c *carrier) takeMap(es []*fb.MapEngineT, tab *route.Table) {
	var l []*placement.Engine
	var ss []placement.Store
	for _, e := range es {
		if e.Store {
			ss = append(ss, placement.Store{Addr: e.Addr, Site: e.Site, Down: e.Down})
			continue
		}
		w := map[string]uint64{}
		for _, m := range e.Weights {
			w[m.Model] = m.Version
		}
		keep := int64(0)
		if tab != nil {
			if p := tab.Pool(e.Pool); p != nil {
				keep = p.KeepTokens
			}
		}
		l = append(l, &placement.Engine{Keep: keep, ID: e.Id, Pool: e.Pool, Addr: e.Addr, Site: e.Site, Draining: e.Draining,
			Turning: e.Turning, Down: e.Down, Slots: int(e.Slots), Weights: w})
	}
	c.mu.Lock()
	c.pick.Map(l, ss)
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
