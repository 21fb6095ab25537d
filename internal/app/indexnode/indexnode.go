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

	"violetthread/cacheindex"
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

type indexNode struct {
	settings        Settings
	daemon          *daemon.Daemon
	book            *transport.PeerPool
	session         *session.Session
	incarnation     uint64
	leaseHolder     string
	http            *engineapi.Client
	mu              sync.Mutex
	node            *replay.IndexNode
	running         map[string]bool
	prefetchCursors map[string]index.Cursor
}

// Run runs a custodian until it is told to stop.
func Run(s Settings) error {
	d, err := NewDaemon(s)
	if err != nil {
		return err
	}
	return d.Run()
}

// New makes one, ready to Run.
func NewDaemon(s Settings) (*daemon.Daemon, error) {
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
	c := &indexNode{settings: s, daemon: d, book: transport.NewPeerPool(d.Group), incarnation: binary.LittleEndian.Uint64(b[:])>>24 | 1,
		http: engineapi.NewClient(), running: map[string]bool{}, prefetchCursors: map[string]index.Cursor{}}
	c.leaseHolder = fmt.Sprintf("%s#%x", s.Name, c.incarnation)
	c.node = &replay.IndexNode{Node: index.New(s.Name, s.Zone, c.incarnation)}
	if s.Recording != "" {
		w, err := recording.Create(s.Recording, recording.Header{Component: recording.ComponentIndexNode, Name: s.Name, Zone: s.Zone, Incarnation: c.incarnation}, s.RecordingBytes)
		if err != nil {
			return nil, err
		}
		w.OnFull = func() { d.Log.Info("tape_full", "file", s.Recording, "bytes", s.RecordingBytes) }
		c.node.Writer = w
		d.OnStop(func() { _ = w.Close() })
	}
	c.session = session.New(d.Group, c.book, s.Seeds, c.self)
	l, err := net.Listen("tcp", s.TransportAddr)
	if err != nil {
		return nil, trace.ConnectionProblem(err, "can't listen on %s; give --wire a free IP:port of this machine", s.TransportAddr)
	}
	transport.Serve(d.Group, l, c.handle)
	c.session.Run()
	d.Group.Go("list", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(200_000), c.refreshListing) })
	d.Group.Go("duties", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(100_000), c.renewLeases) })
	d.Group.Go("engines", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(150_000), c.pollEngines) })
	d.Group.Go("news", func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(200_000), c.followPeers) })
	c.registerMetrics()
	d.OnDrain(c.releaseLeases)
	d.SetReady("")
	return d, nil
}

func (n *indexNode) self() *fb.NodeT {
	n.mu.Lock()
	defer n.mu.Unlock()
	status := &fb.NodeT{Name: n.settings.Name, Role: "custodian", Zone: n.settings.Zone, Addr: n.settings.TransportAddr, Http: n.settings.HTTPAddr, Incarnation: n.incarnation, Ready: n.daemon.Ready()}
	return codec.AddIndexNodeStatus(n.node.Node, clock.Now(), status)
}

// with runs f on the keeper, which is not safe for concurrent use.
func (n *indexNode) withNode(f func(now int64, k *replay.IndexNode)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f(clock.Now(), n.node)
}

// spawn runs f unless the last one of that name still runs.
func (n *indexNode) spawn(name string, f func(ctx context.Context)) {
	n.mu.Lock()
	if n.running[name] {
		n.mu.Unlock()
		return
	}
	n.running[name] = true
	n.mu.Unlock()
	n.daemon.Group.Go(name, func(ctx context.Context) {
		defer func() {
			n.mu.Lock()
			delete(n.running, name)
			n.mu.Unlock()
		}()
		f(ctx)
	})
}

// list follows the platform. While the platform refuses connections it shows
// nothing to anyone, and the last list stands; while it is merely silent, the
// list ages and engines get no new work (docs/bounds.md).
func (n *indexNode) refreshListing(ctx context.Context) {
	at := clock.Now()
	var l engineapi.EngineList
	err := n.http.Get(ctx, n.settings.Platform, "/v1/engines", 600_000, &l)
	var last []index.ListedEngine
	if err == nil {
		last = lo.Map(l.Engines, func(x engineapi.ListedEngine, _ int) index.ListedEngine {
			return index.ListedEngine{Name: x.Name, Addr: x.Addr, Zone: x.Zone, Store: x.Kind == "store", Leaving: x.Leaving}
		})
	}
	n.withNode(func(now int64, k *replay.IndexNode) {
		switch {
		case err == nil:
			k.SetListing(now, at, last)
		case errors.Is(err, syscall.ECONNREFUSED):
			k.ConfirmListing(now, at)
		}
	})
}

// duties brings the leases held nearer to those that should be.
func (n *indexNode) renewLeases(context.Context) {
	if n.daemon.Stopping() {
		return
	}
	v := n.session.View()
	var as []index.LeaseOp
	n.withNode(func(now int64, k *replay.IndexNode) {
		if v.Plan != nil {
			k.ApplyPlan(now, &v.Cached)
		}
		cs, me := codec.ReadyIndexNodes(v.Nodes, n.settings.Name)
		if !me {
			return // not a member yet: this node's duties may be another's by now
		}
		k.SetPeers(now, cs)
		as = k.LeaseOps(now)
	})
	for _, a := range as {
		n.daemon.Group.Go("duty", func(ctx context.Context) { n.carryLeaseOp(ctx, a) })
	}
}

func (n *indexNode) carryLeaseOp(ctx context.Context, a index.LeaseOp) {
	kind := quorum.OpAcquire
	if a.Release {
		kind = quorum.OpRelease
	}
	at := clock.Now()
	t, err := n.session.Propose(ctx, &fb.OperationRequestT{Type: byte(kind), Key: a.Key, ExpectedRevision: a.Token, Holder: n.leaseHolder, LeaseDuration: index.LeaseDuration}, 1_000_000)
	n.withNode(func(now int64, k *replay.IndexNode) {
		if err != nil {
			k.LeaseAnswered(now, a, at, false, 0)
			return
		}
		ok := quorum.Status(t.Status) == quorum.StatusDone
		if ok && a.Token != t.Revision && !a.Release {
			n.daemon.Log.Info("duty", "key", a.Key, "epoch", t.Revision)
		}
		k.LeaseAnswered(now, a, at, ok, t.Revision)
	})
}

// leave gives every duty back, so that others need not wait the leases out: the
// shards at once, the engines when no order is in use any more (design §10).
func (n *indexNode) releaseLeases(ctx context.Context) {
	n.withNode(func(now int64, k *replay.IndexNode) { k.SetPeers(now, nil) })
	for idle := false; !idle; {
		var as []index.LeaseOp
		n.withNode(func(now int64, k *replay.IndexNode) { as, idle = k.LeaseOps(now), k.HoldsNoLeases() })
		for _, a := range as {
			n.daemon.Group.Go("duty.free", func(ctx context.Context) { n.carryLeaseOp(ctx, a) })
		}
		if !idle && !taskgroup.Sleep(ctx, 50_000) {
			return
		}
	}
}

// engines asks the engines owned here for their reports, and turns those with
// other weights than the plan's.
func (n *indexNode) pollEngines(context.Context) {
	var ps []index.Poll
	var ts []index.WeightUpdate
	n.withNode(func(now int64, k *replay.IndexNode) {
		ps = k.Polls(now)
		ts = k.WeightUpdates(now)
	})
	for _, p := range ps {
		n.spawn("poll."+p.Engine, func(ctx context.Context) { n.poll(ctx, p) })
	}
	for _, t := range ts {
		n.spawn("turn."+t.Engine, func(ctx context.Context) { n.updateWeights(ctx, t) })
	}
}

func (n *indexNode) poll(ctx context.Context, p index.Poll) {
	if p.NeedsHoldings {
		var w engineapi.Holdings
		if err := n.http.Get(ctx, p.Addr, "/v1/keeps", 800_000, &w); err != nil {
			return
		}
		parts := lo.FilterMap(w.Blocks, func(s string, _ int) (cacheindex.Key, bool) { return engineapi.ParseKey(s) })
		n.withNode(func(now int64, k *replay.IndexNode) { k.ResetHoldings(now, p.Engine, w.Incarnation, w.Seq, parts) })
		p.Incarnation, p.AfterSeq = w.Incarnation, w.Seq
	}
	at := clock.Now()
	var r engineapi.Report
	if err := n.http.Get(ctx, p.Addr, fmt.Sprintf("/v1/report?inc=%d&after=%d", p.Incarnation, p.AfterSeq), 800_000, &r); err != nil {
		return
	}
	x := index.Report{Incarnation: r.Incarnation, Weights: r.Weights, Running: r.Running, QueueLength: r.QueueLength, Capacity: r.Capacity, SlowUS: r.SlowUS, LastSeq: r.LastSeq}
	for _, e := range r.Events {
		v := index.Event{Seq: e.Seq, Added: e.Op == "keep", Removed: e.Op == "drop", RecomputedBytes: e.RecomputedBytes}
		if e.Op == "ran" {
			v.FinishedAttempt = e.Attempt
		}
		v.Block, v.HasBlock = engineapi.ParseKey(e.Block)
		x.Events = append(x.Events, v)
	}
	n.withNode(func(now int64, k *replay.IndexNode) { k.ApplyReport(now, at, p.Engine, x) })
}

func (n *indexNode) updateWeights(ctx context.Context, t index.WeightUpdate) {
	// Held still? The engine rejects a lower epoch, but it need not come to that.
	ok := false
	n.withNode(func(now int64, k *replay.IndexNode) {
		ep, held := k.HoldsLease(now, index.EngineRole(t.Engine))
		ok = held && ep == t.FencingToken
	})
	if !ok {
		return
	}
	err := n.http.Post(ctx, t.Addr, "/v1/weights", 2_500_000, engineapi.WeightsRequest{Weights: t.Weights, FencingToken: t.FencingToken, Owner: n.settings.Name}, nil)
	n.daemon.Log.Info("turn", "engine", t.Engine, "weights", t.Weights, "epoch", t.FencingToken, "problem", fmt.Sprint(err))
}

// news follows the other index nodes' feeds.
func (n *indexNode) followPeers(context.Context) {
	var peers []index.Peer
	for _, n := range n.session.View().Nodes {
		if n.Role == "custodian" {
			peers = append(peers, index.Peer{Name: n.Name, Addr: n.Addr, Roles: n.LeasedRoles})
		}
	}
	for _, p := range peers {
		n.spawn("news."+p.Name, func(ctx context.Context) { n.follow(ctx, p) })
	}
}

func (n *indexNode) askFeed(ctx context.Context, p index.Peer, q *fb.UpdatesRequestT) (*fb.UpdatesResponseT, bool) {
	q.From = n.settings.Name
	if p.Name == n.settings.Name {
		return n.answerFeed(q), true
	}
	f, err := n.book.Get(p.Addr).Call(ctx, &fb.FrameT{UpdatesRequest: q}, 800_000)
	if err != nil || f.UpdatesResponse == nil {
		return nil, false
	}
	return f.UpdatesResponse, true
}

func (n *indexNode) follow(ctx context.Context, p index.Peer) {
	var mine []uint16
	var cur index.Cursor
	var sites, pushes []string
	n.withNode(func(now int64, k *replay.IndexNode) {
		mine, cur, sites, pushes = k.HeldShards(now), k.HoldingsCursor(p.Name), k.ServedZones(), k.PrefetchZones(now)
	})
	if len(mine) > 0 {
		if t, ok := n.askFeed(ctx, p, &fb.UpdatesRequestT{Feed: codec.HoldingsFeed, Shards: mine, Incarnation: cur.Incarnation, Since: cur.Next}); ok {
			n.withNode(func(now int64, k *replay.IndexNode) { codec.ApplyHoldings(k.Node, now, p.Name, t) })
		}
	}
	for _, s := range pushes {
		n.spawn("push."+p.Name+s, func(ctx context.Context) { n.prefetch(ctx, p, s) })
	}
	for _, s := range sites {
		var sc index.Cursor
		n.withNode(func(_ int64, k *replay.IndexNode) { sc = *k.ZoneCursor(s, p.Name) })
		if t, ok := n.askFeed(ctx, p, &fb.UpdatesRequestT{Feed: codec.ZoneFeed, Zone: s, Incarnation: sc.Incarnation, Since: sc.Next}); ok {
			n.withNode(func(_ int64, k *replay.IndexNode) {
				k.ApplyZoneUpdates(s, p.Name, index.ShardsOf(p), codec.UnpackBatch(t))
			})
		}
	}
}

func (n *indexNode) answerFeed(q *fb.UpdatesRequestT) (t *fb.UpdatesResponseT) {
	n.withNode(func(_ int64, k *replay.IndexNode) { t = codec.AnswerUpdates(k.Node, q) })
	return t
}

// push follows a shard owner's pushes for a site and orders what falls to the
// engines owned here. A push that fails is left at that.
func (n *indexNode) prefetch(ctx context.Context, p index.Peer, site string) {
	n.mu.Lock()
	cur := n.prefetchCursors[site+"|"+p.Name]
	n.mu.Unlock()
	t, ok := n.askFeed(ctx, p, &fb.UpdatesRequestT{Feed: codec.PrefetchFeed, Zone: site, Incarnation: cur.Incarnation, Since: cur.Next})
	if !ok {
		return
	}
	var ps []index.Prefetch
	n.withNode(func(now int64, k *replay.IndexNode) {
		n.prefetchCursors[site+"|"+p.Name] = index.Cursor{Incarnation: t.Incarnation, Next: t.Next}
		ps = k.Prefetches(now, site, codec.UnpackBatch(t), codec.UnpackLocations(t))
	})
	for _, x := range ps {
		_ = n.http.Post(ctx, x.Addr, "/v1/import", 500_000, engineapi.ImportRequest{Block: engineapi.FormatKey(x.Block), From: x.From, FencingToken: x.FencingToken, WaitUS: 300_000, Weights: x.Weights}, nil)
	}
}

func (n *indexNode) handle(ctx context.Context, f *fb.FrameT) *fb.FrameT {
	switch {
	case f.CapacityRequest != nil && f.CapacityRequest.To != "" && f.CapacityRequest.To != n.settings.Name:
		return n.relay(ctx, f)
	case f.CapacityRequest != nil:
		return &fb.FrameT{CapacityResponse: n.issueGrants(f.CapacityRequest)}
	case f.UpdatesRequest != nil:
		return &fb.FrameT{UpdatesResponse: n.answerFeed(f.UpdatesRequest)}
	}
	return nil
}

// relayPatience is how long an answer that is passed on is waited for, in microseconds.
const relayTimeout = 500_000

// relay passes an agent's question on to the index node that it is for, which the agent
// does not reach itself.
func (n *indexNode) relay(ctx context.Context, f *fb.FrameT) *fb.FrameT {
	to, ok := lo.Find(n.session.View().Nodes, func(n *fb.NodeT) bool { return n.Name == f.CapacityRequest.To && n.Role == "custodian" })
	if !ok || to.Addr == n.settings.TransportAddr {
		return nil
	}
	answer, err := n.book.Get(to.Addr).Call(ctx, &fb.FrameT{CapacityRequest: f.CapacityRequest}, relayTimeout)
	if err != nil || answer.CapacityResponse == nil {
		return nil
	}
	return &fb.FrameT{CapacityResponse: answer.CapacityResponse}
}

func (n *indexNode) issueGrants(q *fb.CapacityRequestT) (t *fb.CapacityResponseT) {
	n.withNode(func(now int64, k *replay.IndexNode) { t = codec.AnswerCapacity(k, now, n.settings.Name, q) })
	return t
}

func (n *indexNode) registerMetrics() {
	g := func(name, help string, f func(now int64, k *replay.IndexNode) float64) {
		n.daemon.Gauge(name, help, func() (v float64) {
			n.withNode(func(now int64, k *replay.IndexNode) { v = f(now, k) })
			return v
		})
	}
	g("duties_held", "leases held now", func(now int64, k *replay.IndexNode) float64 { return float64(len(k.HeldRoles(now))) })
	g("parts_known", "parts in the shards held here", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Directory().Len()) })
	g("takeovers", "leases newly won", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Counters.Takeovers) })
	g("pushes", "parts ordered to be fetched ahead of need", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Counters.Prefetches) })
	g("resyncs", "times an engine's keeps were read whole", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Counters.Resyncs) })
	g("hand_overs_good", "hand-overs learnt to have worked", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Counters.TransfersOK) })
	g("hand_overs_bad", "hand-overs learnt to have been recomputed", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Counters.TransfersFailed) })
	g("news_changes", "changes to what is kept, at shards held here", func(_ int64, k *replay.IndexNode) float64 { return float64(k.Directory().Changes) })
	g("news_sent", "pieces of hint news queued for followers", func(_ int64, k *replay.IndexNode) float64 { return float64(k.UpdatesSent()) })
	n.daemon.Handle("/v1/engines", func(w http.ResponseWriter, _ *http.Request) {
		var es []index.EngineStatus
		n.withNode(func(now int64, k *replay.IndexNode) { es = k.Engines(now) })
		daemon.WriteJSON(w, 200, es)
	})
}
