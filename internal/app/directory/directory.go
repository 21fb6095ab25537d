package directory

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/go-logr/logr"

	"violetthread/hint"
	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/placement"
	"violetthread/quorum"
	"violetthread/rollout"
	"violetthread/route"
	"violetthread/schema/fb"
)

// namedKept is how many versions of a model proxies are told of: who lags behind an
// older naming is late by that, whatever was named since.
const namedKept = 8

// RolloutKey is the register that holds who is turning to new weights.
const RolloutKey = "route/rollout"

// Settings of a steward. Times are microseconds.
type Settings struct {
	Name, Site string
	Wire       string // where the control node beside it listens
	Bounds     route.Bounds
	ListEvery  int64 // between two questions for the platform's list
	// Parse reads an operator's text; the table is nil if it can't be read.
	Parse func(val []byte, rev uint64) *route.Table
}

const (
	refreshEvery = 150_000
	refreshFirst = 50_000 // until the configuration is known
	listLook     = 100_000
	conductEvery = 150_000
	newsPause    = 150_000 // between questions to one engine, so that news comes in lots
	newsHold     = 900_000
	holdMost     = 400_000
	mapPause     = 60_000
	darkAfter    = 2 // questions in a row that failed, until an engine counts as down
)

// Directory is one core machine's part.
type Directory struct {
	s     Settings
	log   logr.Logger
	group *taskgroup.Group
	ctl   Control
	pf    Platform
	inc   uint64

	mu        sync.Mutex
	bell      chan struct{} // closed when something urgent changed
	conf      register
	named     register
	roll      register
	table     *route.Table
	listed    []Listed
	listAt    int64
	refreshAt int64
	// Only the list's own loop uses these: which map of the first steward in line this
	// one's list equals, and when it was asked.
	first1     string
	farInc     uint64
	farMap     uint64
	askedFirst int64
	mapRev     uint64
	state      rollout.State
	wanted     map[string]uint64           // newest version named of each model
	first      map[string]map[uint64]int64 // model, version: when first heard of
	readers    map[string]*reader
	box        *hint.Outbox
	kept       map[uint64]map[hint.Key]bool
	dealer     *dealer
	proxies    map[string]*proxy
	duty       register
	dutyAt     int64 // when the holder of the weights' duty was seen to change
}

// proxy is what a proxy has under way, as last told here or to another steward.
type proxy struct {
	at    int64
	here  bool
	loads []*fb.LoadT
	rest  []hint.News // of a snapshot that it gets in pages
}

// newsPage bounds the news in one answer: proxies' links are narrow, and an answer that
// takes too long is given up and asked of another steward, who would begin anew.
const newsPage = 1500

const (
	loadsOld   = 1_500_000
	loadsEvery = 200_000
)

// register is a key of the control state as last vouched for.
type register struct {
	known bool
	rev   uint64
	val   []byte
	at    int64
}

// New makes a steward and starts its loops on the group.
func New(c *taskgroup.Group, s Settings, ctl Control, pf Platform) *Directory {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err) // no machine of ours is without random numbers
	}
	t := &Directory{s: s, log: c.Log(), group: c, ctl: ctl, pf: pf, inc: binary.LittleEndian.Uint64(b[:])>>24 | 1,
		bell: make(chan struct{}), first: map[string]map[uint64]int64{}, readers: map[string]*reader{}, kept: map[uint64]map[hint.Key]bool{}, mapRev: 1, proxies: map[string]*proxy{}}
	t.box = hint.NewOutbox(t.inc, 1<<13, t.allKept)
	t.dealer = &dealer{looked: map[string]int64{}, holder: fmt.Sprintf("%s#%x", s.Name, t.inc)}
	every := func(name string, us int64, f func(context.Context)) {
		c.Go(name, func(ctx context.Context) { taskgroup.Every(ctx, clock.Micros(us), f) })
	}
	every("steward.registers", refreshFirst, t.refreshDue)
	every("steward.list", listLook, t.list)
	every("steward.conduct", conductEvery, t.conduct)
	every("steward.loads", loadsEvery, t.tellLoads)
	return t
}

// ring tells all who wait that something urgent changed. Called under the lock.
func (t *Directory) ring() {
	close(t.bell)
	t.bell = make(chan struct{})
}

// refreshDue refreshes when it is time to; after a start that is sooner.
func (t *Directory) refreshDue(ctx context.Context) {
	t.mu.Lock()
	due := !t.conf.known || clock.Now()-t.refreshAt >= refreshEvery-refreshFirst/2
	t.mu.Unlock()
	if due {
		t.refresh(ctx)
	}
}

// refresh reads the registers anew; ages count from before the question.
func (t *Directory) refresh(ctx context.Context) {
	t.mu.Lock()
	t.refreshAt = clock.Now()
	t.mu.Unlock()
	t.read(ctx, route.ConfigKey, &t.conf, func(v []byte, rev uint64) {
		if tab := t.s.Parse(v, rev); tab != nil {
			t.table = tab
		}
	})
	t.read(ctx, route.WeightsKey, &t.named, func(v []byte, _ uint64) {
		d, err := route.ReadWeights(v)
		if err != nil {
			return
		}
		now := clock.Now()
		t.wanted = newestOf(d)
		for _, m := range d.Models {
			old := t.first[m.Model]
			t.first[m.Model] = map[uint64]int64{}
			for _, w := range m.Versions[max(0, len(m.Versions)-namedKept):] {
				at, ok := old[w]
				if !ok {
					at = now
				}
				t.first[m.Model][w] = at
			}
		}
	})
	t.read(ctx, WeightsDuty, &t.duty, func(_ []byte, rev uint64) {
		if rev > 1 {
			t.dutyAt = clock.Now() - unsettledFor
		}
	})
	t.read(ctx, RolloutKey, &t.roll, func(v []byte, _ uint64) {
		if s, err := rollout.Read(v); err == nil {
			t.state = s
		}
	})
}

// Refresh reads the registers at once, for whoever has just changed one.
func (t *Directory) Refresh(ctx context.Context) { t.refresh(ctx) }

func (t *Directory) read(ctx context.Context, key string, r *register, take func([]byte, uint64)) {
	ctx, stop := context.WithTimeout(ctx, clock.Micros(700_000))
	defer stop()
	t.mu.Lock()
	have := r.rev
	t.mu.Unlock()
	at := clock.Now()
	a := t.ctl.Once(ctx, &fb.OpAskT{Kind: byte(quorum.OpGet), Key: key, Have: have})
	if quorum.Status(a.Status) != quorum.Done {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.known && a.Rev < r.rev {
		return
	}
	fresh := a.Rev != r.rev && len(a.Val) > 0
	if a.Rev != r.rev && !fresh {
		return // its value did not come along
	}
	r.known, r.rev, r.at = true, a.Rev, max(r.at, at)
	if fresh {
		r.val = a.Val
		take(a.Val, a.Rev)
		t.mapRev++
		t.ring()
	}
}

// unsettledFor is how long before a change of the duty's holder the core may have
// been settled again: a lease runs out a while after its holder was lost.
const unsettledFor = 4_000_000

// tellLoads tells the other stewards what the proxies that ask here have under way.
func (t *Directory) tellLoads(context.Context) {
	now := clock.Now()
	m := &fb.LoadTellT{}
	t.mu.Lock()
	for n, p := range t.proxies {
		switch {
		case now-p.at > loadsOld:
			delete(t.proxies, n)
		case p.here:
			m.Proxies = append(m.Proxies, &fb.ProxyLoadT{Name: n, Age: now - p.at, Loads: p.loads})
		}
	}
	t.mu.Unlock()
	if len(m.Proxies) == 0 {
		return
	}
	t.ctl.Tell(&fb.FrameT{LoadTell: m})
}

func (t *Directory) hearLoads(now int64, m *fb.LoadTellT) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, p := range m.Proxies {
		if o := t.proxies[p.Name]; p.Age >= 0 && (o == nil || o.at < now-p.Age) {
			t.proxies[p.Name] = &proxy{at: now - p.Age, loads: p.Loads}
		}
	}
}

// others sums what all proxies but one have under way. Called under the lock.
func (t *Directory) others(now int64, but string) (out []*fb.LoadT) {
	sum := map[uint64]*fb.LoadT{}
	for n, p := range t.proxies {
		if n == but || now-p.at > loadsOld {
			continue
		}
		for _, l := range p.loads {
			x := sum[l.Node]
			if x == nil {
				x = &fb.LoadT{Node: l.Node}
				sum[l.Node] = x
				out = append(out, x)
			}
			x.Active, x.Reading, x.Tokens = x.Active+l.Active, x.Reading+l.Reading, x.Tokens+l.Tokens
		}
	}
	return out
}

// list brings the list of engines up to date. The first steward in line asks the
// platform, whose calls are dear; the others ask that one, and the platform only if it
// has nothing fresh to tell. A list that was pushed would be taken for new by whoever
// thaws or whose wire heals (design §3), so it is asked for, and its age counts from then.
func (t *Directory) list(ctx context.Context) {
	now := clock.Now()
	t.mu.Lock()
	at, place, first := t.listAt, t.place(), t.first1
	t.mu.Unlock()
	if now-at < t.s.ListEvery {
		return
	}
	if place > 0 && now-t.askedFirst >= t.s.ListEvery/2 {
		t.askedFirst = now
		t.listFrom(ctx, first)
		now = clock.Now()
	}
	t.mu.Lock()
	at = t.listAt
	t.mu.Unlock()
	if now-at < t.s.ListEvery+place*listTurn {
		return
	}
	ctx, stop := context.WithTimeout(ctx, clock.Micros(900_000))
	defer stop()
	if l, err := t.pf.List(ctx); err == nil {
		t.takeList(now, l)
	}
}

// listTurn is how much longer than the one before it a steward goes without a list
// before it asks the platform itself.
const listTurn = 300_000

// place is this steward's place in line for the list. Called under the lock.
func (t *Directory) place() int64 {
	vs := slices.Sorted(slices.Values(t.ctl.Voters()))
	if len(vs) == 0 {
		return 0
	}
	t.first1 = vs[0]
	return int64(max(0, slices.Index(vs, t.s.Wire)))
}

// listFrom takes over the list that another steward has.
func (t *Directory) listFrom(ctx context.Context, addr string) {
	at := clock.Now()
	f, err := t.ctl.Ask(ctx, addr, &fb.FrameT{MapAsk: &fb.MapAskT{Inc: t.farInc, Map: t.farMap, NewsInc: 1}}, 400_000)
	if err != nil || f.MapTell == nil {
		return
	}
	a := f.MapTell
	if !a.Whole {
		t.mu.Lock()
		t.listAt = max(t.listAt, at-a.ListAge) // it stands
		t.mu.Unlock()
		return
	}
	var l []Listed
	for _, e := range a.Engines {
		if e.Store {
			continue
		}
		w := map[string]uint64{}
		for _, x := range e.Weights {
			w[x.Model] = x.Version
		}
		l = append(l, Listed{ID: e.Id, Pool: e.Pool, Addr: e.Addr, Site: e.Site, Draining: e.Draining, Slots: int(e.Slots), Weights: w})
	}
	if t.takeList(at-a.ListAge, l) {
		t.farInc, t.farMap = a.Inc, a.Map
	}
}

// takeList puts a list in force that was asked for at time at.
func (t *Directory) takeList(at int64, l []Listed) bool {
	sort.Slice(l, func(i, j int) bool { return l[i].ID < l[j].ID })
	t.mu.Lock()
	defer t.mu.Unlock()
	if at <= t.listAt {
		return false
	}
	t.listAt, t.farInc = at, 0
	if !slices.EqualFunc(l, t.listed, func(a, b Listed) bool {
		return a.ID == b.ID && a.Addr == b.Addr && a.Pool == b.Pool && a.Draining == b.Draining && maps.Equal(a.Weights, b.Weights)
	}) {
		t.listed = l
		t.mapRev++
		t.ring()
	}
	t.follow()
	return true
}

// storeID names a store in the map.
func storeID(addr string) string { return "store " + addr }

// follow makes sure that every engine and store has a reader, and nobody else.
// Called under the lock.
func (t *Directory) follow() {
	want := map[string]string{}
	node := map[string]uint64{}
	if t.table != nil {
		for _, p := range t.table.Stores() {
			want[storeID(p.Store)], node[storeID(p.Store)] = p.Store, placement.StoreNode(p.Store)
		}
		for _, e := range t.listed {
			if p := t.table.Pool(e.Pool); p != nil && len(p.Models) > 0 {
				want[e.ID], node[e.ID] = e.Addr, placement.EngineNode(e.ID)
			}
		}
	}
	for id, r := range t.readers {
		if _, ok := want[id]; !ok {
			r.stop()
			delete(t.readers, id)
			t.forget(r.node)
		}
	}
	for id, addr := range want {
		if t.readers[id] == nil {
			ctx, stop := context.WithCancel(t.group.Context())
			r := &reader{t: t, id: id, addr: addr, node: node[id], stop: stop}
			t.readers[id] = r
			t.group.Go("steward.news", func(context.Context) { r.run(ctx) })
		}
	}
}

// forget drops all that a holder held. Called under the lock.
func (t *Directory) forget(node uint64) {
	for k := range t.kept[node] {
		t.box.Add(hint.News{Key: k, Node: node, Op: hint.Drop})
	}
	delete(t.kept, node)
}

func (t *Directory) allKept() []hint.News {
	var ns []hint.News
	for n, ks := range t.kept {
		for k := range ks {
			ns = append(ns, hint.News{Key: k, Node: n, Op: hint.Load})
		}
	}
	return ns
}

// reader follows what one engine or store keeps.
type reader struct {
	t     *Directory
	id    string
	addr  string
	node  uint64
	stop  context.CancelFunc
	epoch string
	since string
	bad   int // questions in a row that failed
	asked bool
}

func (r *reader) run(ctx context.Context) {
	for ctx.Err() == nil {
		q, stop := context.WithTimeout(ctx, clock.Micros(newsHold+400_000))
		p, err := r.t.pf.News(q, r.addr, r.since, newsHold)
		stop()
		if ctx.Err() != nil {
			return
		}
		r.t.mu.Lock()
		was := r.bad >= darkAfter
		r.asked = true
		if err != nil {
			r.bad++
		} else {
			r.bad = 0
			r.take(p)
		}
		if is := r.bad >= darkAfter; is != was {
			r.t.mapRev++
			r.t.ring()
		}
		r.t.mu.Unlock()
		if !taskgroup.Pause(ctx, newsPause) {
			return
		}
	}
}

func (r *reader) take(p Page) {
	t := r.t
	if p.Epoch != r.epoch {
		if r.epoch != "" {
			t.forget(r.node) // another life of it
		}
		if r.epoch != "" && len(p.Changes) == 0 && r.since != "" {
			// Its numbers began anew: ask from the start.
			r.epoch, r.since = p.Epoch, ""
			return
		}
		r.epoch = p.Epoch
	}
	r.since = p.Next
	ks := t.kept[r.node]
	if ks == nil {
		ks = map[hint.Key]bool{}
		t.kept[r.node] = ks
	}
	for _, c := range p.Changes {
		k := hint.PartKey(c.Salt, c.Model, c.Part)
		if c.Kept == ks[k] {
			continue
		}
		op := hint.Load
		if c.Kept {
			ks[k] = true
		} else {
			delete(ks, k)
			op = hint.Drop
		}
		t.box.Add(hint.News{Key: k, Node: r.node, Op: op})
	}
}

// Handle answers proxies. Anything else is not its own.
func (t *Directory) Handle(ctx context.Context, f *fb.FrameT) *fb.FrameT {
	now := clock.Now()
	if f.LoadTell != nil {
		t.hearLoads(now, f.LoadTell)
		return nil
	}
	if f.MapAsk == nil {
		return nil
	}
	q := f.MapAsk
	if q.Node != nil {
		t.ctl.Heard(now, q.Node)
		t.mu.Lock()
		x := &proxy{at: now, here: true, loads: q.Loads}
		if o := t.proxies[q.Node.Name]; o != nil && o.here {
			x.rest = o.rest
		}
		t.proxies[q.Node.Name] = x
		t.mu.Unlock()
	}
	end := now + min(max(q.Hold, 0), holdMost)
	for {
		t.mu.Lock()
		bell := t.bell
		urgent := t.conf.known && q.Have != t.conf.rev || q.Inc != t.inc || q.NewsInc != t.inc || len(t.restOf(q)) > 0 ||
			q.Map != t.mapRev && clock.Now()-now >= mapPause
		if q.Map != t.mapRev {
			end = min(end, now+mapPause) // changes of the map come in lots
		}
		t.mu.Unlock()
		left := end - clock.Now()
		if urgent || left <= 0 {
			break
		}
		w, stop := context.WithTimeout(ctx, clock.Micros(left))
		taskgroup.Wait(w, bell)
		stop()
		if ctx.Err() != nil {
			return nil
		}
	}
	return &fb.FrameT{MapTell: t.tell(q, now)}
}

func (t *Directory) tell(q *fb.MapAskT, asked int64) *fb.MapTellT {
	voters, live := t.ctl.Voters(), t.ctl.Live(clock.Now())
	t.mu.Lock()
	defer t.mu.Unlock()
	now := clock.Now()
	a := &fb.MapTellT{Inc: t.inc, Site: t.s.Site, Held: now - asked, Known: t.conf.known, Rev: t.conf.rev, Age: now - t.conf.at,
		Map: t.mapRev, ListAge: now - t.listAt, Voters: voters}
	if q.Have != t.conf.rev {
		a.Config = t.conf.val
	}
	for _, n := range live {
		if n.Role == "carrier" {
			a.Proxies++
		}
	}
	if q.Inc != t.inc || q.Map != t.mapRev {
		a.Whole = true
		a.Engines = t.engines()
		for m, ws := range t.first {
			for w, at := range ws {
				a.Named = append(a.Named, &fb.NamedT{Model: m, Version: w, Age: now - max(at, t.dutyAt)})
			}
		}
	}
	sort.Slice(a.Named, func(i, j int) bool {
		x, y := a.Named[i], a.Named[j]
		return x.Model < y.Model || x.Model == y.Model && x.Version < y.Version
	})
	if q.Node == nil {
		return a // another steward, who follows the engines itself
	}
	a.Loads = t.others(now, q.Node.Name)
	b := t.news(q)
	a.Complete = len(t.readers) > 0 && len(t.restOf(q)) == 0
	for _, r := range t.readers {
		a.Complete = a.Complete && r.asked
	}
	a.NewsInc, a.NewsNext, a.NewsReset = b.Inc, b.Next, b.Reset
	for _, n := range b.News {
		a.News = append(a.News, &fb.NewsT{Hi: n.Key.Hi, Lo: n.Key.Lo, Check: n.Key.Check, Node: n.Node, Op: byte(n.Op)})
	}
	return a
}

func (t *Directory) restOf(q *fb.MapAskT) []hint.News {
	if q.Node == nil || t.proxies[q.Node.Name] == nil {
		return nil
	}
	return t.proxies[q.Node.Name].rest
}

// news is the next page for a proxy. Called under the lock.
func (t *Directory) news(q *fb.MapAskT) hint.Batch {
	var x *proxy
	if q.Node != nil {
		x = t.proxies[q.Node.Name]
	}
	if x != nil && len(x.rest) > 0 && q.NewsInc == t.inc {
		b := hint.Batch{Inc: q.NewsInc, Next: q.NewsSince, News: x.rest[:min(newsPage, len(x.rest))]}
		x.rest = x.rest[len(b.News):]
		return b
	}
	b := t.box.Since(q.NewsInc, q.NewsSince, newsPage)
	if x != nil {
		x.rest = nil
		if b.Reset && len(b.News) > newsPage {
			b.News, x.rest = b.News[:newsPage], b.News[newsPage:]
		}
	}
	return b
}

// newestOf is the newest named version of each model.
func newestOf(d *route.WeightsDoc) map[string]uint64 {
	out := map[string]uint64{}
	for _, m := range d.Models {
		out[m.Model] = d.Newest(m.Model)
	}
	return out
}

// engines is the map as proxies see it, stores included.
func (t *Directory) engines() (out []*fb.MapEngineT) {
	down := func(id string) bool { r := t.readers[id]; return r != nil && r.bad >= darkAfter }
	for _, e := range t.listed {
		x := &fb.MapEngineT{Id: e.ID, Pool: e.Pool, Addr: e.Addr, Site: e.Site, Draining: e.Draining, Slots: uint32(e.Slots), Down: down(e.ID)}
		ms := slices.Sorted(maps.Keys(e.Weights))
		for _, m := range ms {
			x.Weights = append(x.Weights, &fb.ModelAtT{Model: m, Version: t.state.Version(e.ID, m, e.Weights[m])})
		}
		_, x.Turning = t.state.Turns[e.ID]
		out = append(out, x)
	}
	if t.table != nil {
		for _, p := range t.table.Stores() {
			out = append(out, &fb.MapEngineT{Id: storeID(p.Store), Addr: p.Store, Site: p.Site, Store: true, Down: down(storeID(p.Store))})
		}
	}
	return out
}

// Describe is a line for operators and the log.
func (t *Directory) Describe() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return strings.Join([]string{"config=" + strconv.FormatUint(t.conf.rev, 10), "engines=" + strconv.Itoa(len(t.listed)),
		"turning=" + strconv.Itoa(len(t.state.Turns))}, " ")
}
