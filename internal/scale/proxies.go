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
	number       int
	name, zone   string
	incarnation  uint64
	seeds        []string
	controlNodes *transport.PeerPool
	observations *Observations
	known        map[string]*controlorder.Node
	current      string
	configKnown  bool
	next         fb.MapRequestT // what it knows, as it says in its next question
	busyEngines  []uint64       // engines that its requests lie at, one for each
}

const (
	followHoldUS    = 250_000
	followTimeoutUS = 450_000
	staleRegister   = 1_000_000
	retryHoldUS     = 50_000 // hold of a question to a node that failed lately
	followPauseUS   = 30_000
)

// NewProxy makes hollow proxy num with under requests under way at engines nodes.
func NewProxy(group *taskgroup.Group, number int, name, zone string, seeds []string, observations *Observations, engines []uint64, requests int) *Proxy {
	p := &Proxy{number: number, name: name, zone: zone, incarnation: rand.Uint64()>>24 | 1, seeds: seeds, controlNodes: transport.NewPeerPool(group), observations: observations, known: map[string]*controlorder.Node{}}
	for range requests {
		p.busyEngines = append(p.busyEngines, engines[rand.Intn(len(engines))])
	}
	for _, addr := range seeds {
		p.known[addr] = &controlorder.Node{}
	}
	return p
}

// Run follows until ctx ends.
func (p *Proxy) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !p.askOnce(ctx) && !taskgroup.Sleep(ctx, followPauseUS) {
			return
		}
	}
}

// loads tells what it has under way; now and then a request ends and another begins.
func (p *Proxy) loads() (loads []*fb.EngineLoadT) {
	requests := map[uint64]uint32{}
	for _, engine := range p.busyEngines {
		requests[engine]++
	}
	for engine, count := range requests {
		loads = append(loads, &fb.EngineLoadT{Node: engine, Active: count, PrefillTokens: 700 * count, MemoryTokens: 1200 * count})
	}
	return loads
}

// order lists the control nodes to ask, the best one first, as the proxy does.
func (p *Proxy) order(now int64) []string {
	return controlorder.Preference{Name: p.name, Zone: p.zone, Current: p.current}.Sort(now, p.known)
}

func (p *Proxy) askOnce(ctx context.Context) bool {
	now := clock.Now()
	order := p.order(now)
	if len(order) == 0 {
		return false
	}
	addr := order[0]
	node := p.known[addr]
	question := p.next
	question.Node = &fb.NodeT{Name: p.name, Role: "carrier", Zone: p.zone, Http: "127.0.0.1:1", Incarnation: p.incarnation, Ready: p.configKnown}
	question.Hold, question.Loads = followHoldUS, p.loads()
	switch {
	case !p.configKnown || node.Zone == "":
		question.Hold = 0
	case node.FailedLately(now):
		question.Hold = retryHoldUS
	}
	reply, err := p.controlNodes.Get(addr).Call(ctx, &fb.FrameT{MapRequest: &question}, question.Hold+followTimeoutUS)
	if ctx.Err() != nil {
		return false
	}
	if err != nil || reply.MapResponse == nil {
		p.nodeFailed(addr)
		p.observations.recordFailure()
		return len(order) > 1
	}
	state := reply.MapResponse
	node.Zone, node.FailedAt = state.Zone, 0
	p.apply(state)
	if !state.Known || state.Age > staleRegister {
		p.nodeFailed(addr)
		p.setNodes(state.Voters)
		return false
	}
	p.current = addr
	p.setNodes(state.Voters)
	return true
}

// leave lets others be asked before a node that failed or is out of touch.
func (p *Proxy) nodeFailed(addr string) {
	p.known[addr].FailedAt = clock.Now()
	if p.current == addr {
		p.current = ""
	}
}

func (p *Proxy) setNodes(voters []string) {
	if len(voters) == 0 {
		return
	}
	for _, addr := range voters {
		if p.known[addr] == nil {
			p.known[addr] = &controlorder.Node{}
		}
	}
	for addr := range p.known {
		if !slices.Contains(voters, addr) && !slices.Contains(p.seeds, addr) {
			delete(p.known, addr)
		}
	}
}

func (p *Proxy) apply(state *fb.MapResponseT) {
	next := &p.next
	if state.Incarnation != next.Incarnation {
		next.Incarnation, next.HaveMap = state.Incarnation, 0
	}
	observed := answer{proxy: p.number, now: clock.Now(), complete: state.Complete, reset: state.UpdatesReset}
	if state.Known && state.Revision > next.HaveRevision && len(state.Config) > 0 {
		next.HaveRevision, p.configKnown = state.Revision, true
		observed.configBytes = len(state.Config)
	}
	observed.revision = next.HaveRevision
	if state.FullMap {
		next.HaveMap = state.Map
	}
	next.UpdatesIncarnation, next.UpdatesSince = state.UpdatesIncarnation, state.UpdatesNext
	if !state.UpdatesReset {
		for _, update := range state.Updates {
			observed.updates = append(observed.updates, cacheindex.Update{Key: cacheindex.Key{Hi: update.Hi, Lo: update.Lo, Check: update.Check}, Node: update.Holder, Op: cacheindex.UpdateOp(update.Op)})
		}
	}
	p.observations.record(observed)
}
