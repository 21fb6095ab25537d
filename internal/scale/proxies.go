package scale

import (
	"context"
	"math/rand"
	"slices"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/controlorder"
	"violetthread/internal/taskgroup"
	"violetthread/internal/transport"
	"violetthread/schema/fb"
)

// Proxy is a hollow proxy: it follows control nodes as a carrier does (its follow.go;
// TestHollowAsksAsARealOne holds the two together), and keeps nothing but its place.
type Proxy struct {
	num        int
	name, site string
	inc        uint64
	seeds      []string
	book       *transport.PeerPool
	board      *Board
	fars       map[string]*controlorder.Node
	cur        string
	known      bool
	ask        fb.MapRequestT // what it knows, as it says in its next question
	nodes      []uint64       // engines that its requests lie at, one for each
}

const (
	followHold    = 250_000
	followPatient = 450_000
	staleWord     = 1_000_000
	retryHold     = 50_000 // hold of a question to a node that failed lately
	afterBad      = 30_000
)

// NewProxy makes hollow proxy num with under requests under way at engines nodes.
func NewProxy(c *taskgroup.Group, num int, name, site string, seeds []string, b *Board, nodes []uint64, under int) *Proxy {
	p := &Proxy{num: num, name: name, site: site, inc: rand.Uint64()>>24 | 1, seeds: seeds, book: transport.NewPeerPool(c), board: b, fars: map[string]*controlorder.Node{}}
	for range under {
		p.nodes = append(p.nodes, nodes[rand.Intn(len(nodes))])
	}
	for _, a := range seeds {
		p.fars[a] = &controlorder.Node{}
	}
	return p
}

// Run follows until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.once(ctx) && !taskgroup.Sleep(ctx, afterBad) {
			return
		}
	}
}

// loads tells what it has under way; now and then a request ends and another begins.
func (p *Proxy) loads() (out []*fb.EngineLoadT) {
	sum := map[uint64]uint32{}
	for _, n := range p.nodes {
		sum[n]++
	}
	for n, k := range sum {
		out = append(out, &fb.EngineLoadT{Node: n, Active: k, PrefillTokens: 700 * k, MemoryTokens: 1200 * k})
	}
	return out
}

// order lists the control nodes to ask, the best one first, as the proxy does.
func (p *Proxy) order(now int64) []string {
	return controlorder.Preference{Name: p.name, Zone: p.site, Current: p.cur}.Sort(now, p.fars)
}

func (p *Proxy) once(ctx context.Context) bool {
	now := clock.Now()
	l := p.order(now)
	if len(l) == 0 {
		return false
	}
	a := l[0]
	x := p.fars[a]
	q := p.ask
	q.Node = &fb.NodeT{Name: p.name, Role: "carrier", Zone: p.site, Http: "127.0.0.1:1", Incarnation: p.inc, Ready: p.known}
	q.Hold, q.Loads = followHold, p.loads()
	switch {
	case !p.known || x.Zone == "":
		q.Hold = 0
	case x.FailedLately(now):
		q.Hold = retryHold
	}
	r, err := p.book.Get(a).Call(ctx, &fb.FrameT{MapRequest: &q}, q.Hold+followPatient)
	if ctx.Err() != nil {
		return false
	}
	if err != nil || r.MapResponse == nil {
		p.leave(a)
		p.board.failed()
		return len(l) > 1
	}
	t := r.MapResponse
	x.Zone, x.FailedAt = t.Zone, 0
	p.take(t)
	if !t.Known || t.Age > staleWord {
		p.leave(a)
		p.learn(t.Voters)
		return false
	}
	p.cur = a
	p.learn(t.Voters)
	return true
}

// leave lets others be asked before a node that failed or is out of touch.
func (p *Proxy) leave(a string) {
	p.fars[a].FailedAt = clock.Now()
	if p.cur == a {
		p.cur = ""
	}
}

func (p *Proxy) learn(voters []string) {
	if len(voters) == 0 {
		return
	}
	for _, v := range voters {
		if p.fars[v] == nil {
			p.fars[v] = &controlorder.Node{}
		}
	}
	for a := range p.fars {
		if !slices.Contains(voters, a) && !slices.Contains(p.seeds, a) {
			delete(p.fars, a)
		}
	}
}

func (p *Proxy) take(t *fb.MapResponseT) {
	k := &p.ask
	if t.Incarnation != k.Incarnation {
		k.Incarnation, k.HaveMap = t.Incarnation, 0
	}
	h := heard{proxy: p.num, now: clock.Now(), complete: t.Complete, reset: t.UpdatesReset}
	if t.Known && t.Revision > k.HaveRevision && len(t.Config) > 0 {
		k.HaveRevision, p.known = t.Revision, true
		h.config = len(t.Config)
	}
	h.rev = k.HaveRevision
	if t.FullMap {
		k.HaveMap = t.Map
	}
	k.UpdatesIncarnation, k.UpdatesSince = t.UpdatesIncarnation, t.UpdatesNext
	if !t.UpdatesReset {
		for _, n := range t.Updates {
			h.news = append(h.news, cacheindex.Update{Key: cacheindex.Key{Hi: n.Hi, Lo: n.Lo, Check: n.Check}, Node: n.Holder, Op: cacheindex.UpdateOp(n.Op)})
		}
	}
	p.board.hear(h)
}
