// Package custody is an index node's deciding part: which duties to hold, what
// each proxy may send each engine it owns, which engines must change weights,
// and what the fleet learns of kept parts. It is pure (design §7, §8, §10).
package custody

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"slices"
	"sort"
	"strconv"
	"strings"

	"violetthread/clearing"
	"violetthread/cue"
	"violetthread/desk"
	"violetthread/plan"
)

// Times in microseconds.
const (
	DutyTerm  = 2_000_000
	DutyRenew = 500_000
	DutySlack = 250_000 // a holder stops this much before its lease ends
	reportOld = 1_500_000
	proxyOld  = 1_500_000
	importOld = 60_000_000
	planOld   = 3_000_000
	turnBound = 13_000_000 // an engine that runs other weights still is taken out
	turnWait  = 1_000_000  // before an engine is told again
	waveFor   = 9_000_000  // then the last wave is told (docs/bounds.md)
	namedMost = 16
	longAgo   = 1 << 50
)

// Shards is how many shards the index has.
const Shards = 16

// Custodian is a live index node, with the duties it said it holds.
type Custodian struct {
	Name, Site, Addr string
	Duties           []string
}

// Listed is an engine or the store as the platform lists it.
type Listed struct {
	Name, Addr, Site string
	Store, Leaving   bool
}

// Event is one thing an engine told.
type Event struct {
	Seq     uint64
	Keep    bool
	Drop    bool
	Ran     string
	Filled  uint64
	Part    cue.Key
	HasPart bool
}

// Report is what an engine told of itself.
type Report struct {
	Inc                  uint64
	Weights              string
	Running, Queue, Room int
	SlowUS               int64
	Last                 uint64
	Events               []Event
}

// Import is an import that a proxy ordered.
type Import struct {
	Attempt, Engine string
	Peer            uint64
	Total           int
	Parts           []cue.Key
}

// Seen is how a proxy's attempts at an engine went.
type Seen struct {
	Engine          string
	Problems, Dones int
}

// Order is what one proxy may send one engine.
type Order struct {
	Listed
	ID, Epoch uint64
	Room      int
	Weights   string
	Queue     int
	SlowUS    int64
	Age       int64
	Grades    map[uint64]int
}

type duty struct {
	epoch   uint64
	until   int64 // held until then
	askedAt int64
	asking  bool
	freeing bool
}

type engine struct {
	Listed
	inc, id   uint64
	seq       uint64
	known     bool // keeps are complete up to seq
	keeps     map[cue.Key]bool
	weights   string
	room      int
	running   int
	queue     int
	slow      int64
	at        int64 // of the newest report
	turnAt    int64 // when it was last told to change weights
	grades    *cue.Grades
	pending   map[string]pendingImport
	suspect   float64 // problems seen by proxies, fading
	suspectAt int64
}

// naming is a name of weights, and since when it is known to be in force.
type naming struct {
	name string
	at   int64
}

type pendingImport struct {
	Import
	at int64
}

type proxy struct {
	site string
	want map[string]float64
	at   int64
}

// lately is a proxy's demand without its flicker: it rises at once and falls by
// an eighth of the way with each report, since room that is taken away from one
// proxy and given to another is used twice until the former's runs have ended.
// More than the whole fleet could run counts for nothing: among proxies of a group
// with too much the longer line must not get more and more.
func (p *proxy) lately(now map[string]int, most int) map[string]float64 {
	out := map[string]float64{}
	if p != nil {
		for g, x := range p.want {
			if x *= 0.875; x > 0.05 {
				out[g] = x
			}
		}
	}
	for g, n := range now {
		x := float64(min(n, most))
		out[g] = max(x, out[g]+x/8)
	}
	return out
}

// DutyAsk is an operation on a duty's lease that must be carried out.
type DutyAsk struct {
	Key   string
	Epoch uint64 // of the lease held so far
	Free  bool
}

// Keeper is not safe for concurrent use.
type Keeper struct {
	name, site string
	inc        uint64
	plan       *plan.Compiled
	planAt     int64
	named      []naming // weights, newest last
	peers      []Custodian
	listing    map[string]Listed
	listAt     int64
	duties     map[string]*duty
	engines    map[string]*engine
	proxies    map[string]*proxy
	dir        *cue.Directory
	holds      map[string]*follower // feeds of what my engines hold, by asker
	source     map[uint64]string    // holder -> custodian that told of it
	placed     map[uint64]Place     // every holder that was told of
	cursors    map[string]Cursor    // how far others' holds feeds were read
	near       map[string]*site
	turn       int
	Counts     Counts
}

// Counts are for vitals.
type Counts struct {
	Takeovers, Freed, Resyncs, HandOK, HandBad, NewsOut, Told, Pushes uint64
}

type follower struct {
	shards []uint16
	box    *cue.Outbox
}

type site struct {
	table *cue.Table
	box   *cue.Outbox
	from  map[string]*Cursor
}

// Cursor is how far a follower has read a feed.
type Cursor struct{ Inc, Next uint64 }

// New makes a keeper.
func New(name, site string, inc uint64) *Keeper {
	return &Keeper{name: name, site: site, inc: inc, listing: map[string]Listed{}, duties: map[string]*duty{},
		engines: map[string]*engine{}, proxies: map[string]*proxy{}, dir: cue.NewDirectory(inc, 1<<20),
		holds: map[string]*follower{}, source: map[uint64]string{}, cursors: map[string]Cursor{}, placed: map[uint64]Place{}}
}

// Plan takes in a plan known to be in force at time at.
func (k *Keeper) Plan(p *plan.Compiled, at int64) {
	if p != nil && (k.plan == nil || p.Rev >= k.plan.Rev) {
		if k.plan == nil {
			// Nobody told this node since when: engines with others are as late as
			// can be, and get nothing until they have turned.
			k.named = []naming{{p.Weights, at - longAgo}}
		} else if p.Weights != k.plan.Weights {
			k.named = append(k.named, naming{p.Weights, at})
			if len(k.named) > namedMost {
				k.named = k.named[1:]
			}
		}
		k.plan, k.planAt = p, max(k.planAt, at)
	}
}

// PlanHeld and PlanRev are the plan in force here.
func (k *Keeper) PlanHeld() *plan.Compiled { return k.plan }

// PlanRev is its revision, 0 for none.
func (k *Keeper) PlanRev() uint64 {
	if k.plan == nil {
		return 0
	}
	return k.plan.Rev
}

// Peers takes in the live custodians, this one among them.
func (k *Keeper) Peers(cs []Custodian) {
	k.peers = slices.Clone(cs)
	slices.SortFunc(k.peers, func(a, b Custodian) int { return strings.Compare(a.Name, b.Name) })
}

// Listing takes in the platform's list as of time at.
func (k *Keeper) Listing(at int64, ls []Listed) {
	if at < k.listAt {
		return
	}
	k.listAt = at
	k.listing = map[string]Listed{}
	for _, l := range ls {
		k.listing[l.Name] = l
	}
	for n, e := range k.engines {
		l, ok := k.listing[n]
		if !ok {
			k.forget(e)
			delete(k.engines, n)
			continue
		}
		e.Listed = l
	}
}

// ListingStands confirms the last list as of time at.
func (k *Keeper) ListingStands(at int64) {
	if k.listAt > 0 {
		k.listAt = max(k.listAt, at)
	}
}

// EngineDuty and ShardDuty name the leases.
func EngineDuty(n string) string { return "duty/engine/" + n }

// ShardDuty names a shard's lease.
func ShardDuty(i int) string { return "duty/shard/" + strconv.Itoa(i) }

func (k *Keeper) allDuties() []string {
	var ds []string
	for n := range k.listing {
		ds = append(ds, EngineDuty(n))
	}
	for i := 0; i < Shards; i++ {
		ds = append(ds, ShardDuty(i))
	}
	sort.Strings(ds)
	return ds
}

func score(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a + "|" + b))
	x := h.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>29
}

// Placement says which custodian should hold each duty: whoever holds it keeps
// it while no node has more than its part; the rest goes by rendezvous.
func (k *Keeper) Placement() map[string]string {
	out := map[string]string{}
	if len(k.peers) == 0 {
		return out
	}
	held := map[string]string{}
	for _, c := range k.peers {
		for _, d := range c.Duties {
			if _, twice := held[d]; !twice {
				held[d] = c.Name
			}
		}
	}
	for _, kind := range []string{"duty/engine/", "duty/shard/"} {
		var ds []string
		for _, d := range k.allDuties() {
			if strings.HasPrefix(d, kind) {
				ds = append(ds, d)
			}
		}
		most := (len(ds) + len(k.peers) - 1) / len(k.peers)
		load := map[string]int{}
		for _, d := range ds {
			if h := held[d]; h != "" && load[h] < most {
				out[d] = h
				load[h]++
			}
		}
		for _, d := range ds {
			if out[d] != "" {
				continue
			}
			var best string
			var bs uint64
			for _, c := range k.peers {
				if s := score(d, c.Name); load[c.Name] < most && (best == "" || s > bs) {
					best, bs = c.Name, s
				}
			}
			out[d] = best
			load[best]++
		}
	}
	return out
}

// Want works out the lease operations that lead from what is held to what
// should be. Each must be answered by Held.
func (k *Keeper) Want(now int64) []DutyAsk {
	var as []DutyAsk
	place := k.Placement()
	for n, d := range k.duties {
		if d.asking || place[n] == k.name {
			continue
		}
		// An engine's orders are out at proxies until the lease ends: it is not
		// renewed, and given back then. A shard's owner orders nobody.
		if d.epoch != 0 && !d.freeing && (now >= d.until || !strings.HasPrefix(n, "duty/engine/")) {
			// Stopped here first; only then is the lease given back.
			d.freeing, d.until = true, 0
			k.dropped(n)
			as = append(as, DutyAsk{Key: n, Epoch: d.epoch, Free: true})
			d.asking, d.askedAt = true, now
			k.Counts.Freed++
		} else if now >= d.until {
			k.dropped(n)
			delete(k.duties, n)
		}
	}
	for _, n := range k.allDuties() {
		if place[n] != k.name {
			continue
		}
		d := k.duties[n]
		if d == nil {
			d = &duty{}
			k.duties[n] = d
		}
		if d.asking && now-d.askedAt > 2*DutyTerm {
			d.asking = false
		}
		if !d.asking && !d.freeing && now >= d.askedAt+DutyRenew {
			d.asking, d.askedAt = true, now
			as = append(as, DutyAsk{Key: n, Epoch: d.epoch})
		}
	}
	sort.Slice(as, func(i, j int) bool { return as[i].Key < as[j].Key })
	return as
}

// Idle reports whether every duty was given back or ran out.
func (k *Keeper) Idle() bool { return len(k.duties) == 0 }

// Held takes in the answer to a lease operation that was asked at time asked.
func (k *Keeper) Held(now int64, a DutyAsk, asked int64, ok bool, epoch uint64) {
	d := k.duties[a.Key]
	if d == nil {
		return
	}
	d.asking = false
	if a.Free {
		delete(k.duties, a.Key)
		return
	}
	if !ok {
		if epoch != 0 || now >= d.until {
			d.epoch = 0
		}
		return
	}
	if d.epoch != epoch {
		k.Counts.Takeovers++
		if n, is := strings.CutPrefix(a.Key, "duty/engine/"); is {
			delete(k.engines, n)
		}
	}
	d.epoch = epoch
	if u := asked + DutyTerm - DutySlack; u > d.until {
		d.until = u
	}
}

// dropped forgets what came with a duty.
func (k *Keeper) dropped(n string) {
	if e, ok := strings.CutPrefix(n, "duty/engine/"); ok {
		delete(k.engines, e)
	}
	if s, ok := strings.CutPrefix(n, "duty/shard/"); ok {
		i, _ := strconv.Atoi(s)
		k.dir.ForgetKeys(func(c cue.Key) bool { return c.Shard(Shards) != i })
	}
}

// Holds reports whether a duty is held now, and under which epoch.
func (k *Keeper) Holds(now int64, n string) (uint64, bool) {
	d := k.duties[n]
	if d == nil || d.epoch == 0 || d.freeing || now >= d.until {
		return 0, false
	}
	return d.epoch, true
}

// Duties lists what is held now.
func (k *Keeper) Duties(now int64) []string {
	var ds []string
	for n := range k.duties {
		if _, ok := k.Holds(now, n); ok {
			ds = append(ds, n)
		}
	}
	sort.Strings(ds)
	return ds
}

// Poll says where to ask an engine for its report, and from which event on.
type Poll struct {
	Engine, Addr string
	Epoch        uint64
	Inc, After   uint64
	Whole        bool // its keeps must be read whole first
}

// Polls lists the engines to ask now.
func (k *Keeper) Polls(now int64) []Poll {
	var ps []Poll
	for n, l := range k.listing {
		ep, ok := k.Holds(now, EngineDuty(n))
		if !ok {
			continue
		}
		e := k.engines[n]
		if e == nil {
			e = &engine{Listed: l, keeps: map[cue.Key]bool{}, grades: cue.NewGrades(), pending: map[string]pendingImport{}}
			k.engines[n] = e
		}
		ps = append(ps, Poll{n, l.Addr, ep, e.inc, e.seq, !e.known})
	}
	sort.Slice(ps, func(i, j int) bool { return ps[i].Engine < ps[j].Engine })
	return ps
}

// Turn tells an engine to change to other weights.
type Turn struct {
	Engine, Addr, Weights string
	Epoch                 uint64
}

// late is for how long an engine has run weights that are not the newest: since the
// first naming that neither it nor any later one matches. So a storm of namings
// excuses nobody (design §10).
func (k *Keeper) late(now int64, e *engine) (us int64, is bool) {
	for i := len(k.named) - 1; i >= 0; i-- {
		if k.named[i].name != e.weights {
			us, is = now-k.named[i].at, true
			continue
		}
		break
	}
	return us, is
}

// wave is when after a naming an engine is to be told, as every index node works
// it out alike from the platform's list: so many in a wave, taken from all sites by
// turns, whoever owns them, and the last wave in time for the bound.
func (k *Keeper) wave(name string) int64 {
	per := 50
	if k.plan != nil {
		per = k.plan.Limits.WavePercent
	}
	waves := (100 + per - 1) / per
	if waves < 2 {
		return 0
	}
	type at struct {
		turn int
		rank uint64
		name string
	}
	sites := map[string][]at{}
	for n, l := range k.listing {
		if !l.Store && !l.Leaving {
			sites[l.Site] = append(sites[l.Site], at{0, score("wave", n), n})
		}
	}
	var all []at
	for _, l := range sites {
		slices.SortFunc(l, func(a, b at) int { return cmp.Or(cmp.Compare(a.rank, b.rank), strings.Compare(a.name, b.name)) })
		for i, x := range l {
			all = append(all, at{i, x.rank, x.name})
		}
	}
	slices.SortFunc(all, func(a, b at) int {
		return cmp.Or(cmp.Compare(a.turn, b.turn), cmp.Compare(a.rank, b.rank), strings.Compare(a.name, b.name))
	})
	for i, x := range all {
		if x.name == name {
			return int64(i*waves/len(all)) * waveFor / int64(waves-1)
		}
	}
	return 0 // leaving: it serves nobody
}

// Turns lists the engines to change now, in waves over the whole fleet, so that
// the others keep serving (design §10). An engine is told until it has turned.
func (k *Keeper) Turns(now int64) []Turn {
	if k.plan == nil || now-k.planAt > planOld {
		return nil
	}
	var ts []Turn
	for n, e := range k.engines {
		ep, ok := k.Holds(now, EngineDuty(n))
		if !ok || e.Store || e.at == 0 || e.turnAt > 0 && now-e.turnAt < turnWait {
			continue
		}
		if us, late := k.late(now, e); late && us >= k.wave(n) {
			e.turnAt = now
			ts = append(ts, Turn{n, e.Addr, k.plan.Weights, ep})
		}
	}
	sort.Slice(ts, func(i, j int) bool { return ts[i].Engine < ts[j].Engine })
	return ts
}

// Whole takes in all that an engine keeps, as of its event seq.
func (k *Keeper) Whole(now int64, name string, inc, seq uint64, parts []cue.Key) {
	e := k.engines[name]
	if _, ok := k.Holds(now, EngineDuty(name)); e == nil || !ok {
		return
	}
	k.Counts.Resyncs++
	k.reborn(e, inc)
	now2 := map[cue.Key]bool{}
	for _, p := range parts {
		now2[p] = true
		k.keep(e, p)
	}
	for p := range e.keeps {
		if !now2[p] {
			k.drop(e, p)
		}
	}
	e.seq, e.known = seq, true
}

// reborn makes sure that what an engine's former life kept is forgotten.
func (k *Keeper) reborn(e *engine, inc uint64) {
	if e.inc == inc {
		return
	}
	k.forget(e)
	e.inc, e.id, e.seq, e.known = inc, cue.NodeID(e.Name, inc), 0, false
	e.pending = map[string]pendingImport{}
}

func (k *Keeper) forget(e *engine) {
	for p := range e.keeps {
		k.drop(e, p)
	}
}

// Reported takes in an engine's report. A gap makes its keeps be read anew.
func (k *Keeper) Reported(now, asked int64, name string, r Report) {
	e := k.engines[name]
	if _, ok := k.Holds(now, EngineDuty(name)); e == nil || !ok || asked < e.at {
		return
	}
	k.reborn(e, r.Inc)
	e.weights, e.running, e.queue, e.room, e.slow, e.at = r.Weights, r.Running, r.Queue, r.Room, r.SlowUS, asked
	for _, v := range r.Events {
		if v.Seq <= e.seq {
			continue // repeated
		}
		if v.Seq != e.seq+1 {
			e.known = false
			break
		}
		e.seq = v.Seq
		k.event(now, e, v)
	}
	if r.Last > e.seq && len(r.Events) == 0 {
		e.known = false
	}
}

func (k *Keeper) event(now int64, e *engine, v Event) {
	switch {
	case v.Keep && v.HasPart:
		k.keep(e, v.Part)
	case v.Drop && v.HasPart:
		k.drop(e, v.Part)
	case v.Ran != "":
		i, ok := e.pending[v.Ran]
		if !ok {
			return
		}
		delete(e.pending, v.Ran)
		good := int(v.Filled) <= i.Total-len(i.Parts)
		e.grades.Learn(now, i.Peer, good)
		if good {
			k.Counts.HandOK++
		} else {
			k.Counts.HandBad++
		}
	}
}

func (k *Keeper) keep(e *engine, p cue.Key) {
	if !e.keeps[p] {
		e.keeps[p] = true
		k.tell(cue.News{Key: p, Node: e.id, Op: cue.Load})
	}
}

func (k *Keeper) drop(e *engine, p cue.Key) {
	if e.keeps[p] {
		delete(e.keeps, p)
		k.tell(cue.News{Key: p, Node: e.id, Op: cue.Drop})
	}
}

func (k *Keeper) tell(n cue.News) {
	k.Counts.Told++
	s := uint16(n.Key.Shard(Shards))
	for _, f := range k.holds {
		if slices.Contains(f.shards, s) {
			f.box.Add(n)
			k.Counts.NewsOut++
		}
	}
}

// HoldsFeed answers a shard's owner that follows what engines owned here keep.
func (k *Keeper) HoldsFeed(from string, shards []uint16, inc, since uint64) (cue.Batch, []Place) {
	f := k.holds[from]
	if f == nil || !slices.Equal(f.shards, shards) {
		k.turn++
		f = &follower{shards: slices.Clone(shards)}
		f.box = cue.NewOutbox(k.inc+uint64(k.turn)<<40, 1<<14, func() []cue.News {
			var ns []cue.News
			for _, e := range k.engines {
				for p := range e.keeps {
					if slices.Contains(shards, uint16(p.Shard(Shards))) {
						ns = append(ns, cue.News{Key: p, Node: e.id, Op: cue.Load})
					}
				}
			}
			return ns
		})
		k.holds[from] = f
	}
	return f.box.Since(inc, since, 4096), k.places()
}

// Place tells where a holder lies.
type Place struct {
	ID           uint64
	Engine, Site string
	Store        bool
}

func (k *Keeper) places() []Place {
	var ps []Place
	for _, e := range k.engines {
		if e.id != 0 {
			ps = append(ps, Place{e.id, e.Name, e.Site, e.Store})
		}
	}
	return ps
}

// MyShards lists the shards held now.
func (k *Keeper) MyShards(now int64) []uint16 {
	var ss []uint16
	for i := 0; i < Shards; i++ {
		if _, ok := k.Holds(now, ShardDuty(i)); ok {
			ss = append(ss, uint16(i))
		}
	}
	return ss
}

// HoldsCursor is how far another custodian's feed was read.
func (k *Keeper) HoldsCursor(from string) Cursor { return k.cursors[from] }

// NewsSent counts the news queued for followers, all feeds together.
func (k *Keeper) NewsSent() uint64 { return k.Counts.NewsOut + k.dir.Sent() }

// HoldsNews takes in what another custodian's engines keep of my shards.
func (k *Keeper) HoldsNews(now int64, from string, b cue.Batch, ps []Place) {
	for _, p := range ps {
		k.dir.Know(p.ID, cue.Place{Site: p.Site, Store: p.Store})
		k.source[p.ID] = from
		for id, o := range k.placed {
			if o.Engine == p.Engine && id != p.ID {
				delete(k.placed, id) // a former life
			}
		}
		k.placed[p.ID] = p
	}
	if b.Reset {
		told := map[uint64]bool{}
		for _, p := range ps {
			told[p.ID] = true
		}
		fresh := map[cue.News]bool{}
		for _, n := range b.News {
			fresh[n] = true
		}
		k.dir.ForgetIf(func(c cue.Key, id uint64) bool {
			return (told[id] || k.source[id] == from) && !fresh[cue.News{Key: c, Node: id, Op: cue.Load}]
		})
	}
	k.cursors[from] = Cursor{b.Inc, b.Next}
	for _, n := range b.News {
		if _, ok := k.Holds(now, ShardDuty(n.Key.Shard(Shards))); ok {
			k.dir.Apply(n)
		}
	}
}

// SiteFeed answers the custodian that serves a site's proxies.
func (k *Keeper) SiteFeed(site string, inc, since uint64) cue.Batch {
	return k.dir.Box(site).Since(inc, since, 4096)
}

// PushFeed answers an index node that owns engines in a site with the parts
// worth fetching there ahead of need.
func (k *Keeper) PushFeed(site string, inc, since uint64) (cue.Batch, []Place) {
	return k.dir.PushBox(site).Since(inc, since, 256), k.known()
}

// known lists the holders that the shards' feeds named.
func (k *Keeper) known() []Place {
	var ps []Place
	for _, p := range k.placed {
		ps = append(ps, p)
	}
	slices.SortFunc(ps, func(a, b Place) int { return strings.Compare(a.Engine, b.Engine) })
	return ps
}

// PushSites lists the sites of the engines owned here, if parts are to be pushed.
func (k *Keeper) PushSites(now int64) []string {
	if k.plan == nil || k.plan.Limits.Push == "none" {
		return nil
	}
	in := map[string]bool{}
	for n, e := range k.engines {
		if _, ok := k.Holds(now, EngineDuty(n)); ok && !e.Store {
			in[e.Site] = true
		}
	}
	var out []string
	for s := range in {
		out = append(out, s)
	}
	sort.Strings(out)
	return out
}

// Push is an order to fetch a part ahead of need.
type Push struct {
	Engine, Addr, From, Weights string
	Epoch                       uint64
	Part                        cue.Key
}

// Pushes turns a push feed into orders for the engines owned here. Every index
// node picks the same engines of a site by rendezvous; each orders its own.
func (k *Keeper) Pushes(now int64, site string, b cue.Batch, ps []Place) []Push {
	if k.plan == nil {
		return nil
	}
	from := map[uint64]string{}
	for _, p := range ps {
		from[p.ID] = k.listing[p.Engine].Addr
	}
	var here []string
	for n, l := range k.listing {
		if l.Site == site && !l.Store && !l.Leaving {
			here = append(here, n)
		}
	}
	n := map[string]int{"one": 1, "half": (len(here) + 1) / 2, "all": len(here)}[k.plan.Limits.Push]
	var out []Push
	for _, w := range b.News {
		key := strconv.FormatUint(w.Key.Hi, 16)
		sort.Slice(here, func(i, j int) bool { return score(key, here[i]) > score(key, here[j]) })
		for _, name := range here[:min(n, len(here))] {
			e := k.engines[name]
			ep, ok := k.Holds(now, EngineDuty(name))
			if e == nil || !ok || e.keeps[w.Key] || from[w.Node] == "" || e.id == w.Node {
				continue
			}
			out = append(out, Push{name, e.Addr, from[w.Node], e.weights, ep, w.Key})
			k.Counts.Pushes++
		}
	}
	return out
}

// MySites lists the sites whose proxies this custodian brings hint news to:
// those of its own, and those left without one.
func (k *Keeper) MySites() []string {
	has := map[string]string{}
	for _, c := range k.peers {
		if o := has[c.Site]; o == "" || c.Name < o {
			has[c.Site] = c.Name
		}
	}
	sites := map[string]bool{k.site: true}
	for _, l := range k.listing {
		sites[l.Site] = true
	}
	for _, p := range k.proxies {
		sites[p.site] = true
	}
	var mine []string
	for s := range sites {
		h := has[s]
		if h == "" {
			var bs uint64
			for _, c := range k.peers {
				if x := score(s, c.Name); h == "" || x > bs {
					h, bs = c.Name, x
				}
			}
		}
		if h == k.name {
			mine = append(mine, s)
		}
	}
	sort.Strings(mine)
	return mine
}

func (k *Keeper) siteOf(s string) *site {
	if k.near == nil {
		k.near = map[string]*site{}
	}
	n := k.near[s]
	if n == nil {
		t := cue.NewTable(1 << 15)
		n = &site{table: t, from: map[string]*Cursor{}}
		n.box = cue.NewOutbox(k.inc, 1<<14, func() []cue.News {
			var ns []cue.News
			t.Each(func(c cue.Key, id uint64) { ns = append(ns, cue.News{Key: c, Node: id, Op: cue.Load}) })
			return ns
		})
		k.near[s] = n
	}
	return n
}

// SiteCursor is how far a shard owner's feed for a site was read.
func (k *Keeper) SiteCursor(s, from string) *Cursor {
	n := k.siteOf(s)
	c := n.from[from]
	if c == nil {
		c = &Cursor{}
		n.from[from] = c
	}
	return c
}

// SiteNews takes in a shard owner's feed for a site and passes on what changes.
// Shards are those the feed speaks for.
func (k *Keeper) SiteNews(s, from string, shards []uint16, b cue.Batch) {
	n := k.siteOf(s)
	if b.Reset {
		fresh := map[cue.Key]bool{}
		for _, w := range b.News {
			fresh[w.Key] = true
		}
		var gone []cue.News
		n.table.Each(func(c cue.Key, id uint64) {
			if slices.Contains(shards, uint16(c.Shard(Shards))) && !fresh[c] {
				gone = append(gone, cue.News{Key: c, Node: id, Op: cue.Drop})
			}
		})
		for _, w := range gone {
			k.siteApply(n, w)
		}
	}
	for _, w := range b.News {
		k.siteApply(n, w)
	}
	*k.SiteCursor(s, from) = Cursor{b.Inc, b.Next}
}

func (k *Keeper) siteApply(n *site, w cue.News) {
	old, had := n.table.Get(w.Key)
	if w.Op == cue.Load {
		if had && old == w.Node {
			return
		}
		n.table.Put(w.Key, w.Node)
	} else if !n.table.Drop(w.Key, w.Node) {
		return
	}
	n.box.Add(w)
	k.Counts.NewsOut++
}

// ShardsOf lists the shards a peer said it holds.
func ShardsOf(c Custodian) []uint16 {
	var ss []uint16
	for _, d := range c.Duties {
		if s, ok := strings.CutPrefix(d, "duty/shard/"); ok {
			if i, err := strconv.Atoi(s); err == nil && i < Shards {
				ss = append(ss, uint16(i))
			}
		}
	}
	slices.Sort(ss)
	return ss
}

// ProxyFeed answers a proxy that follows its site's hints.
func (k *Keeper) ProxyFeed(s string, inc, since uint64) (cue.Batch, bool) {
	if !slices.Contains(k.MySites(), s) {
		return cue.Batch{}, false
	}
	return k.siteOf(s).box.Since(inc, since, 4096), true
}

// Ask is what a proxy tells when it asks for its orders.
type Ask struct {
	Proxy, Site string
	Want        map[string]int // waiting and running, by group
	Active      int
	Imports     []Import
	Seen        []Seen
}

// Orders takes in a proxy's demand and answers with its standing orders.
func (k *Keeper) Orders(now int64, a Ask) []Order {
	serving, most := 0, plan.Limits{}.Defaults().RoomPerEngine
	for _, l := range k.listing {
		if !l.Store && !l.Leaving {
			serving++
		}
	}
	share := map[string]float64{}
	if k.plan != nil {
		most = k.plan.Limits.RoomPerEngine
		for g, x := range k.plan.Groups {
			share[g] = x.Share
		}
	}
	k.proxies[a.Proxy] = &proxy{a.Site, k.proxies[a.Proxy].lately(a.Want, most*max(1, serving)), now}
	for n, p := range k.proxies {
		if now-p.at > proxyOld {
			delete(k.proxies, n) // a dead proxy's room goes back to the others
		}
	}
	for _, i := range a.Imports {
		if e := k.engines[i.Engine]; e != nil && e.known {
			e.pending[i.Attempt] = pendingImport{i, now}
			for _, p := range i.Parts {
				k.keep(e, p)
			}
		}
	}
	for _, s := range a.Seen {
		if e := k.engines[s.Engine]; e != nil {
			k.fade(now, e)
			e.suspect += float64(s.Problems)
			if s.Dones > 0 {
				e.suspect /= 2
			}
		}
	}
	ds := make([]clearing.Demand, 0, len(k.proxies))
	for n, p := range k.proxies {
		ds = append(ds, clearing.Demand{Proxy: n, Want: p.want})
	}
	var os []Order
	for n, e := range k.engines {
		ep, ok := k.Holds(now, EngineDuty(n))
		if !ok || e.at == 0 || now-e.at > reportOld && !e.Store {
			continue
		}
		for a, p := range e.pending {
			if now-p.at > importOld {
				delete(e.pending, a)
			}
		}
		o := Order{Listed: e.Listed, ID: e.id, Epoch: ep, Weights: e.weights, Queue: e.queue, SlowUS: e.slow,
			Age: k.orderAge(now, n), Grades: map[uint64]int{}}
		for _, p := range e.grades.Known() {
			o.Grades[p] = e.grades.Worth(now, p)
		}
		if !e.Store && !e.Leaving && !k.stuck(now, e) {
			room := e.room
			if k.plan != nil {
				room = min(room, k.plan.Limits.RoomPerEngine)
			}
			k.fade(now, e)
			if e.suspect > 3 {
				room = max(1, room/4) // slow start for one that fails, never none
			}
			o.Room = clearing.Split(room, share, serving, ds, int(now/DutyTerm)+int(score(n, "")%97))[a.Proxy]
		}
		os = append(os, o)
	}
	sort.Slice(os, func(i, j int) bool { return os[i].Name < os[j].Name })
	return os
}

// orderAge is how old an order is when it leaves here: as old as the platform's
// list, and old enough that no proxy still uses it once this owner's lease ends.
func (k *Keeper) orderAge(now int64, engine string) int64 {
	left := k.duties[EngineDuty(engine)].until - now
	return max(0, now-k.listAt, desk.OrderLimit-left)
}

// stuck reports whether an engine was to change weights and did not within the
// bound: it gets nothing more until it has.
func (k *Keeper) stuck(now int64, e *engine) bool {
	us, late := k.late(now, e)
	return late && us > turnBound
}

// fade halves the suspicion of an engine every second, so that one bad report
// can't keep it out.
func (k *Keeper) fade(now int64, e *engine) {
	for ; now-e.suspectAt >= 1_000_000 && e.suspect > 0.01; e.suspectAt += 1_000_000 {
		e.suspect /= 2
	}
	if e.suspect <= 0.01 {
		e.suspectAt = now
	}
}

// Engine is an engine as this custodian sees it, for operators.
type Engine struct {
	Name, Addr, Site, Weights string
	Epoch                     uint64
	Leaving, Store, Known     bool
	Running, Queue, Room      int
	Kept                      int
	ReportAge                 int64
	HandOver                  map[string]int
}

// Engines lists the engines owned now.
func (k *Keeper) Engines(now int64) []Engine {
	var out []Engine
	for n, e := range k.engines {
		if ep, ok := k.Holds(now, EngineDuty(n)); ok {
			g := map[string]int{}
			for _, p := range e.grades.Known() {
				g[fmt.Sprintf("%016x", p)] = e.grades.Worth(now, p)
			}
			out = append(out, Engine{n, e.Addr, e.Site, e.weights, ep, e.Leaving, e.Store, e.known, e.running, e.queue, e.room, len(e.keeps), now - e.at, g})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Directory is the index of the shards held here, for vitals.
func (k *Keeper) Directory() *cue.Directory { return k.dir }
