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
	"violetthread/membership"
	"violetthread/schema/fb"
)

// Proxy is a simulated proxy: it follows control nodes as internal/app/proxy does, and keeps
// nothing but what its next question says.
type Proxy struct {
	number       int
	name, zone   string
	incarnation  uint64
	seeds        []string
	controlNodes *transport.PeerPool
	observations *Observations
	known        map[string]*controlorder.Node // by address
	current      string                        // address of the node that is followed
	configKnown  bool
	next         fb.MapRequestT // what it has, as its next question says
	busyEngines  []uint64       // engines that its requests are at, one for each
}

// Times of the follower in microseconds, as internal/app/proxy has them.
const (
	followHoldUS    = 250_000   // how long a control node may hold a question
	followTimeoutUS = 450_000   // and how long its answer may take beyond
	staleRegister   = 1_000_000 // age from which a control node counts as out of touch
	retryHoldUS     = 50_000    // hold of a question to a node that failed lately
	followPauseUS   = 30_000
)

// ProxyConfig is what a simulated proxy is made from.
type ProxyConfig struct {
	Number   int      // index of its observations
	Name     string   // that it tells control nodes
	Zone     string   // control nodes in it are preferred
	Seeds    []string // addresses of the control nodes to ask first
	Engines  []uint64 // holder ids of the engines that its requests are at
	Requests int      // in flight, each at an engine drawn at random
}

// NewProxy makes a simulated proxy whose connections end with the group.
func NewProxy(group *taskgroup.Group, observations *Observations, config ProxyConfig) *Proxy {
	p := &Proxy{
		number:       config.Number,
		name:         config.Name,
		zone:         config.Zone,
		incarnation:  rand.Uint64()>>24 | 1,
		seeds:        config.Seeds,
		controlNodes: transport.NewPeerPool(group),
		observations: observations,
		known:        map[string]*controlorder.Node{},
	}
	for range config.Requests {
		p.busyEngines = append(p.busyEngines, config.Engines[rand.Intn(len(config.Engines))])
	}
	for _, addr := range config.Seeds {
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

// loads reports what it has in flight.
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

// askOnce asks one control node, and reports whether the next question may go out at once.
func (p *Proxy) askOnce(ctx context.Context) bool {
	now := clock.Now()
	order := p.order(now)
	if len(order) == 0 {
		return false
	}
	addr := order[0]
	node := p.known[addr]
	question := p.next
	question.Node = &fb.NodeT{Name: p.name, Role: membership.RoleProxy, Zone: p.zone, Http: "127.0.0.1:1", Incarnation: p.incarnation, Ready: p.configKnown}
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

// nodeFailed lets others be asked before a node that failed or is out of touch.
func (p *Proxy) nodeFailed(addr string) {
	p.known[addr].FailedAt = clock.Now()
	if p.current == addr {
		p.current = ""
	}
}

// setNodes takes in which control nodes vote.
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

// apply records what an answer told, and what the next question says.
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
