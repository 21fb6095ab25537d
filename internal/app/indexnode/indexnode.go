// Package indexnode is an index node and engine owner on a core machine.
package indexnode

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/samber/lo"

	"violetthread/hint"
	"violetthread/index"
	"violetthread/internal/app/session"
	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/quorum"
	"violetthread/recording"
	"violetthread/recording/replay"
	"violetthread/schema/fb"
)

// Settings of a custodian.
type Settings struct {
	daemon.NodeSettings
	Platform string `json:"platform" validate:"required,ipport" help:"IP:port of the platform's list of engines"`
	daemon.RecordingSettings
}

// Defaults of the settings.
func Defaults() Settings {
	return Settings{NodeSettings: daemon.NodeSettings{DrainUS: 3_000_000}, RecordingSettings: daemon.RecordingDefaults}
}

type custodian struct {
	s      Settings
	d      *daemon.Daemon
	book   *transport.PeerPool
	ses    *session.Session
	inc    uint64
	holder string
	http   *engineapi.Client
	mu     sync.Mutex
	k      *replay.IndexNode
	busy   map[string]bool
	pushAt map[string]index.Cursor
}

// Run runs a custodian until it is told to stop.
func Run(s Settings) error {
	d, err := New(s)
	if err != nil {
		return err
	}
	return d.Run()
}

// New makes one, ready to Run.
func New(s Settings) (*daemon.Daemon, error) {
	if s.TransportAddr == "" || len(s.Seeds) == 0 {
		return nil, trace.BadParameter("wire and seeds are needed; give --wire an IP:port and --seeds the registrars' addresses")
	}
	d := daemon.New("violetthread-index", s.Name, s.HTTPAddr, s.DrainUS)
	if err := d.ProfileCPU(s.CPUProfile); err != nil {
		return nil, err
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, err
	}
	c := &custodian{s: s, d: d, book: transport.NewPeerPool(d.Group), inc: binary.LittleEndian.Uint64(b[:])>>24 | 1,
		http: engineapi.NewClient(), busy: map[string]bool{}, pushAt: map[string]index.Cursor{}}
	c.holder = fmt.Sprintf("%s#%x", s.Name, c.inc)
	c.k = &replay.IndexNode{Keeper: index.New(s.Name, s.Zone, c.inc)}
	if s.Recording != "" {
		w, err := recording.Create(s.Recording, recording.Header{Component: "keeper", Name: s.Name, Zone: s.Zone, Incarnation: c.inc}, s.RecordingBytes)
		if err != nil {
			return nil, err
		}
		w.OnFull = func() { d.Log.Info("tape_full", "file", s.Recording, "bytes", s.RecordingBytes) }
		c.k.Writer = w
		d.OnStop(func() { _ = w.Close() })
	}
	c.ses = session.New(d.Group, c.book, s.Seeds, c.self)
	l, err := net.Listen("tcp", s.TransportAddr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; give --wire a free IP:port of this machine", s.TransportAddr)
	}
	transport.Serve(d.Group, l, c.handle)
	c.ses.Run()
	d.Group.Go("list", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(200_000), c.list) })
	d.Group.Go("duties", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(100_000), c.duties) })
	d.Group.Go("engines", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(150_000), c.engines) })
	d.Group.Go("news", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(200_000), c.news) })
	c.vitals()
	d.OnDrain(c.leave)
	d.SetReady("")
	return d, nil
}

func (c *custodian) self() *fb.NodeT {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := &fb.NodeT{Name: c.s.Name, Role: "custodian", Site: c.s.Zone, Addr: c.s.TransportAddr, Http: c.s.HTTPAddr, Inc: c.inc, Ready: c.d.Ready()}
	return codec.AddIndexNodeStatus(c.k.Keeper, clock.Now(), n)
}

// with runs f on the keeper, which is not safe for concurrent use.
func (c *custodian) with(f func(now int64, k *replay.IndexNode)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f(clock.Now(), c.k)
}

// spawn runs f unless the last one of that name still runs.
func (c *custodian) spawn(name string, f func(ctx context.Context)) {
	c.mu.Lock()
	if c.busy[name] {
		c.mu.Unlock()
		return
	}
	c.busy[name] = true
	c.mu.Unlock()
	c.d.Group.Go(name, func(ctx context.Context) {
		defer func() {
			c.mu.Lock()
			delete(c.busy, name)
			c.mu.Unlock()
		}()
		f(ctx)
	})
}

// list follows the platform. While the platform refuses connections it shows
// nothing to anyone, and the last list stands; while it is merely silent, the
// list ages and engines get no new work (docs/bounds.md).
func (c *custodian) list(ctx context.Context) {
	at := clock.Now()
	var l engineapi.Listing
	err := c.http.Get(ctx, c.s.Platform, "/v1/engines", 600_000, &l)
	var last []index.Listed
	if err == nil {
		last = lo.Map(l.Engines, func(x engineapi.Listed, _ int) index.Listed {
			return index.Listed{Name: x.Name, Addr: x.Addr, Site: x.Site, Store: x.Kind == "store", Leaving: x.Leaving}
		})
	}
	c.with(func(now int64, k *replay.IndexNode) {
		switch {
		case err == nil:
			k.Listing(now, at, last)
		case errors.Is(err, syscall.ECONNREFUSED):
			k.ListingStands(now, at)
		}
	})
}

// duties brings the leases held nearer to those that should be.
func (c *custodian) duties(context.Context) {
	if c.d.Stopping() {
		return
	}
	v := c.ses.View()
	var as []index.DutyAsk
	c.with(func(now int64, k *replay.IndexNode) {
		if v.Plan != nil {
			k.Plan(now, &v.Held)
		}
		cs, me := codec.ReadyIndexNodes(v.Nodes, c.s.Name)
		if !me {
			return // not a member yet: this node's duties may be another's by now
		}
		k.Peers(now, cs)
		as = k.Want(now)
	})
	for _, a := range as {
		c.d.Group.Go("duty", func(ctx context.Context) { c.hold(ctx, a) })
	}
}

func (c *custodian) hold(ctx context.Context, a index.DutyAsk) {
	kind := quorum.OpAcquire
	if a.Free {
		kind = quorum.OpRelease
	}
	at := clock.Now()
	t, err := c.ses.Op(ctx, &fb.OpAskT{Kind: byte(kind), Key: a.Key, Expect: a.Epoch, Holder: c.holder, Term: index.DutyTerm}, 1_000_000)
	c.with(func(now int64, k *replay.IndexNode) {
		if err != nil {
			k.Held(now, a, at, false, 0)
			return
		}
		ok := quorum.Status(t.Status) == quorum.StatusDone
		if ok && a.Epoch != t.Rev && !a.Free {
			c.d.Log.Info("duty", "key", a.Key, "epoch", t.Rev)
		}
		k.Held(now, a, at, ok, t.Rev)
	})
}

// leave gives every duty back, so that others need not wait the leases out: the
// shards at once, the engines when no order is in use any more (design §10).
func (c *custodian) leave(ctx context.Context) {
	c.with(func(now int64, k *replay.IndexNode) { k.Peers(now, nil) })
	for idle := false; !idle; {
		var as []index.DutyAsk
		c.with(func(now int64, k *replay.IndexNode) { as, idle = k.Want(now), k.Idle() })
		for _, a := range as {
			c.d.Group.Go("duty.free", func(ctx context.Context) { c.hold(ctx, a) })
		}
		if !idle && !taskgroup.Sleep(ctx, 50_000) {
			return
		}
	}
}

// engines asks the engines owned here for their reports, and turns those with
// other weights than the plan's.
func (c *custodian) engines(context.Context) {
	var ps []index.Poll
	var ts []index.Turn
	c.with(func(now int64, k *replay.IndexNode) {
		ps = k.Polls(now)
		ts = k.Turns(now)
	})
	for _, p := range ps {
		c.spawn("poll."+p.Engine, func(ctx context.Context) { c.poll(ctx, p) })
	}
	for _, t := range ts {
		c.spawn("turn."+t.Engine, func(ctx context.Context) { c.turn(ctx, t) })
	}
}

func (c *custodian) poll(ctx context.Context, p index.Poll) {
	if p.Whole {
		var w engineapi.Keeps
		if err := c.http.Get(ctx, p.Addr, "/v1/keeps", 800_000, &w); err != nil {
			return
		}
		parts := lo.FilterMap(w.Parts, func(s string, _ int) (hint.Key, bool) { return engineapi.Key(s) })
		c.with(func(now int64, k *replay.IndexNode) { k.Whole(now, p.Engine, w.Inc, w.Seq, parts) })
		p.Inc, p.After = w.Inc, w.Seq
	}
	at := clock.Now()
	var r engineapi.Report
	if err := c.http.Get(ctx, p.Addr, fmt.Sprintf("/v1/report?inc=%d&after=%d", p.Inc, p.After), 800_000, &r); err != nil {
		return
	}
	x := index.Report{Inc: r.Inc, Weights: r.Weights, Running: r.Running, Queue: r.Queue, Room: r.Room, SlowUS: r.SlowUS, Last: r.Last}
	for _, e := range r.Events {
		v := index.Event{Seq: e.Seq, Keep: e.Op == "keep", Drop: e.Op == "drop", Filled: e.Filled}
		if e.Op == "ran" {
			v.Ran = e.Attempt
		}
		v.Part, v.HasPart = engineapi.Key(e.Part)
		x.Events = append(x.Events, v)
	}
	c.with(func(now int64, k *replay.IndexNode) { k.Reported(now, at, p.Engine, x) })
}

func (c *custodian) turn(ctx context.Context, t index.Turn) {
	// Held still? The engine rejects a lower epoch, but it need not come to that.
	ok := false
	c.with(func(now int64, k *replay.IndexNode) {
		ep, held := k.Holds(now, index.EngineDuty(t.Engine))
		ok = held && ep == t.Epoch
	})
	if !ok {
		return
	}
	err := c.http.Post(ctx, t.Addr, "/v1/weights", 2_500_000, engineapi.Weights{Weights: t.Weights, Epoch: t.Epoch, Owner: c.s.Name}, nil)
	c.d.Log.Info("turn", "engine", t.Engine, "weights", t.Weights, "epoch", t.Epoch, "problem", fmt.Sprint(err))
}

// news follows the other index nodes' feeds.
func (c *custodian) news(context.Context) {
	var peers []index.Custodian
	for _, n := range c.ses.View().Nodes {
		if n.Role == "custodian" {
			peers = append(peers, index.Custodian{Name: n.Name, Addr: n.Addr, Duties: n.Duties})
		}
	}
	for _, p := range peers {
		c.spawn("news."+p.Name, func(ctx context.Context) { c.follow(ctx, p) })
	}
}

func (c *custodian) ask(ctx context.Context, p index.Custodian, q *fb.NewsAskT) (*fb.NewsTellT, bool) {
	q.From = c.s.Name
	if p.Name == c.s.Name {
		return c.tellNews(q), true
	}
	f, err := c.book.Get(p.Addr).Call(ctx, &fb.FrameT{NewsAsk: q}, 800_000)
	if err != nil || f.NewsTell == nil {
		return nil, false
	}
	return f.NewsTell, true
}

func (c *custodian) follow(ctx context.Context, p index.Custodian) {
	var mine []uint16
	var cur index.Cursor
	var sites, pushes []string
	c.with(func(now int64, k *replay.IndexNode) {
		mine, cur, sites, pushes = k.MyShards(now), k.HoldsCursor(p.Name), k.MySites(), k.PushSites(now)
	})
	if len(mine) > 0 {
		if t, ok := c.ask(ctx, p, &fb.NewsAskT{Kind: codec.HoldingsFeed, Shards: mine, Inc: cur.Inc, Since: cur.Next}); ok {
			c.with(func(now int64, k *replay.IndexNode) { codec.ApplyHoldings(k.Keeper, now, p.Name, t) })
		}
	}
	for _, s := range pushes {
		c.spawn("push."+p.Name+s, func(ctx context.Context) { c.push(ctx, p, s) })
	}
	for _, s := range sites {
		var sc index.Cursor
		c.with(func(_ int64, k *replay.IndexNode) { sc = *k.SiteCursor(s, p.Name) })
		if t, ok := c.ask(ctx, p, &fb.NewsAskT{Kind: codec.ZoneFeed, Site: s, Inc: sc.Inc, Since: sc.Next}); ok {
			c.with(func(_ int64, k *replay.IndexNode) { k.SiteNews(s, p.Name, index.ShardsOf(p), codec.UnpackBatch(t)) })
		}
	}
}

func (c *custodian) tellNews(q *fb.NewsAskT) (t *fb.NewsTellT) {
	c.with(func(_ int64, k *replay.IndexNode) { t = codec.AnswerUpdates(k.Keeper, q) })
	return t
}

// push follows a shard owner's pushes for a site and orders what falls to the
// engines owned here. A push that fails is left at that.
func (c *custodian) push(ctx context.Context, p index.Custodian, site string) {
	c.mu.Lock()
	cur := c.pushAt[site+"|"+p.Name]
	c.mu.Unlock()
	t, ok := c.ask(ctx, p, &fb.NewsAskT{Kind: codec.PushFeed, Site: site, Inc: cur.Inc, Since: cur.Next})
	if !ok {
		return
	}
	var ps []index.Push
	c.with(func(now int64, k *replay.IndexNode) {
		c.pushAt[site+"|"+p.Name] = index.Cursor{Inc: t.Inc, Next: t.Next}
		ps = k.Pushes(now, site, codec.UnpackBatch(t), codec.UnpackPlaces(t))
	})
	for _, x := range ps {
		_ = c.http.Post(ctx, x.Addr, "/v1/import", 500_000, engineapi.Import{Part: engineapi.Part(x.Part), From: x.From, Epoch: x.Epoch, WaitUS: 300_000, Weights: x.Weights}, nil)
	}
}

func (c *custodian) handle(ctx context.Context, f *fb.FrameT) *fb.FrameT {
	switch {
	case f.RoomAsk != nil && f.RoomAsk.To != "" && f.RoomAsk.To != c.s.Name:
		return c.relay(ctx, f)
	case f.RoomAsk != nil:
		return &fb.FrameT{RoomTell: c.room(f.RoomAsk)}
	case f.NewsAsk != nil:
		return &fb.FrameT{NewsTell: c.tellNews(f.NewsAsk)}
	}
	return nil
}

// relayPatience is how long an answer that is passed on is waited for, in microseconds.
const relayPatience = 500_000

// relay passes an agent's question on to the index node that it is for, which the agent
// does not reach itself.
func (c *custodian) relay(ctx context.Context, f *fb.FrameT) *fb.FrameT {
	to, ok := lo.Find(c.ses.View().Nodes, func(n *fb.NodeT) bool { return n.Name == f.RoomAsk.To && n.Role == "custodian" })
	if !ok || to.Addr == c.s.TransportAddr {
		return nil
	}
	answer, err := c.book.Get(to.Addr).Call(ctx, &fb.FrameT{RoomAsk: f.RoomAsk}, relayPatience)
	if err != nil || answer.RoomTell == nil {
		return nil
	}
	return &fb.FrameT{RoomTell: answer.RoomTell}
}

func (c *custodian) room(q *fb.RoomAskT) (t *fb.RoomTellT) {
	c.with(func(now int64, k *replay.IndexNode) { t = codec.AnswerCapacity(k, now, c.s.Name, q) })
	return t
}

func (c *custodian) vitals() {
	g := func(name, help string, f func(now int64, k *replay.IndexNode) float64) {
		c.d.Gauge(name, help, func() (v float64) {
			c.with(func(now int64, k *replay.IndexNode) { v = f(now, k) })
			return v
		})
	}
	g("duties_held", "leases held now", func(now int64, k *replay.IndexNode) float64 { return float64(len(k.Duties(now))) })
	g("parts_known", "parts in the shards held here", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Directory().Len()) })
	g("takeovers", "leases newly won", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Counts.Takeovers) })
	g("pushes", "parts ordered to be fetched ahead of need", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Counts.Pushes) })
	g("resyncs", "times an engine's keeps were read whole", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Counts.Resyncs) })
	g("hand_overs_good", "hand-overs learnt to have worked", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Counts.HandOK) })
	g("hand_overs_bad", "hand-overs learnt to have been recomputed", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Counts.HandBad) })
	g("news_changes", "changes to what is kept, at shards held here", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Directory().Changes) })
	g("news_sent", "pieces of hint news queued for followers", func(_ int64, k *replay.IndexNode) float64 { return float64(k.NewsSent()) })
	c.d.Handle("/v1/engines", func(w http.ResponseWriter, _ *http.Request) {
		var es []index.Engine
		c.with(func(now int64, k *replay.IndexNode) { es = k.Engines(now) })
		daemon.WriteJSON(w, 200, es)
	})
}
