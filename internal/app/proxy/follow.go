package proxy

import (
	"context"
	"slices"

	"violetthread/internal/clock"
	"violetthread/internal/controlorder"
	"violetthread/internal/taskgroup"
	"violetthread/schema/fb"
)

// Times of the follower, in microseconds.
const (
	followHoldUS    = 250_000 // how long a control node may hold a question until there is an update
	followTimeoutUS = 450_000 // and how long its answer may take beyond
	retryHoldUS     = 50_000  // how long a node that failed lately may hold one, while there is no other
	followPauseUS   = 30_000  // between two questions when there is nobody else to ask

	// staleListUS is the age beyond which a list of engines is old: other nodes are preferred
	// to one that has such a list, for controlorder.AvoidStaleListUS.
	staleListUS = 4_000_000
)

// follower keeps the view fresh (long polling): it asks one control node after the other, the
// one that controlorder puts first, and goes on to the next when one fails or is out of touch.
// It belongs to its goroutine.
type follower struct {
	server  *server
	nodes   map[string]*controlorder.Node // by transport address
	current string                        // address of the node that is followed; empty for none

	// What this proxy has, as its next question says, so that only changes come back.
	nodeIncarnation    uint64 // of the node that mapRevision is of
	mapRevision        uint64
	loadsRevision      uint64 // of that node
	configRevision     uint64
	updatesIncarnation uint64 // of the node that updatesNext is of
	updatesNext        uint64 // sequence number of the next update of hints
}

// newFollower makes one that starts from the seeds.
func newFollower(s *server) *follower {
	f := &follower{server: s, nodes: map[string]*controlorder.Node{}}
	for _, addr := range s.settings.Seeds {
		f.nodes[addr] = &controlorder.Node{}
	}
	return f
}

// run follows until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.ask(ctx) && !taskgroup.Sleep(ctx, followPauseUS) {
			return
		}
	}
}

// order lists the addresses of the nodes to ask, the best one first.
func (f *follower) order(now int64) []string {
	return controlorder.Preference{Name: f.server.settings.Name, Zone: f.server.settings.Zone, Current: f.current}.Sort(now, f.nodes)
}

// ask asks one control node, and reports whether the next question may go out at once.
func (f *follower) ask(ctx context.Context) bool {
	now := clock.Now()
	order := f.order(now)
	if len(order) == 0 {
		return false
	}
	addr := order[0]
	question := f.question(now, addr)
	answer, err := f.server.controlNodes.Get(addr).Call(ctx, &fb.FrameT{MapRequest: question}, question.Hold+followTimeoutUS)
	if ctx.Err() != nil {
		return false
	}
	if err != nil || answer.MapResponse == nil {
		f.nodeFailed(addr)
		return len(order) > 1
	}
	return f.answered(now, addr, answer.MapResponse)
}

// question asks for what is new since this proxy's last answer. How long the node may hold it
// until there is an update depends on what is known of the node.
func (f *follower) question(now int64, addr string) *fb.MapRequestT {
	hold := int64(followHoldUS)
	switch {
	case f.server.view.Load().table == nil || f.nodes[addr].Zone == "":
		hold = 0
	case f.nodes[addr].FailedLately(now):
		hold = retryHoldUS
	}
	loads, sequence := f.server.loads()
	return &fb.MapRequestT{
		Node:               f.server.self(),
		Incarnation:        f.nodeIncarnation,
		HaveRevision:       f.configRevision,
		HaveMap:            f.mapRevision,
		UpdatesIncarnation: f.updatesIncarnation,
		UpdatesSince:       f.updatesNext,
		Hold:               hold,
		Loads:              loads,
		LoadsSequence:      sequence,
		LoadsSince:         f.loadsRevision,
	}
}

// answered takes in the answer to a question that was asked at the time now, and reports
// whether the node is in touch.
func (f *follower) answered(now int64, addr string, state *fb.MapResponseT) bool {
	node := f.nodes[addr]
	node.Zone, node.FailedAt = state.Zone, 0
	// The answer left the node no sooner than it had held the question.
	f.apply(state, now+state.Waited)
	if state.ListAge > staleListUS && now-node.StaleListAt > controlorder.AvoidStaleListUS {
		node.StaleListAt = clock.Now()
	}
	f.setNodes(state.Voters, !outOfTouch(state))
	if outOfTouch(state) {
		f.nodeFailed(addr)
		return false
	}
	if f.current != addr {
		f.server.daemon.Log.Info("control_node_followed", "control_node", addr, "zone", state.Zone)
		f.current = addr
		f.server.followed.Store(&addr)
	}
	return true
}

// nodeFailed lets others be asked before a node that failed or is out of touch.
func (f *follower) nodeFailed(addr string) {
	f.nodes[addr].FailedAt = clock.Now()
	if f.current == addr {
		f.server.daemon.Log.Info("control_node_lost", "control_node", addr)
		f.current = ""
		f.server.followed.Store(nil)
	}
}

// setNodes takes in which control nodes vote. Only a node that is in touch is believed that
// others have gone: one that is cut off may know an old set of voters.
func (f *follower) setNodes(voters []string, inTouch bool) {
	if len(voters) == 0 {
		return
	}
	for _, addr := range voters {
		if f.nodes[addr] == nil {
			f.nodes[addr] = &controlorder.Node{}
		}
	}
	for addr := range f.nodes {
		if inTouch && !slices.Contains(voters, addr) && !slices.Contains(f.server.settings.Seeds, addr) {
			delete(f.nodes, addr)
		}
	}
}

// apply publishes the state of the fleet as a node knows it, which left it no sooner than at.
func (f *follower) apply(state *fb.MapResponseT, at int64) {
	s := f.server
	v := *s.view.Load()
	engines, use := v.merge(state, at)
	if state.Incarnation != f.nodeIncarnation {
		f.nodeIncarnation, f.mapRevision, f.loadsRevision = state.Incarnation, 0, 0
	}
	if v.mergeConfig(state, at, s.adapter.ParseConfig) {
		s.daemon.Log.Info("config_applied", "revision", state.Revision, "version", v.table.Version, "age_us", state.Age)
	}
	f.configRevision = v.revision
	s.view.Store(&v)
	if state.FullMap {
		f.mapRevision = state.Map
	}
	if use {
		s.setFleet(engines, v.table)
	}
	f.updatesIncarnation, f.updatesNext = state.UpdatesIncarnation, state.UpdatesNext
	s.applyUpdates(state)
	s.setOtherLoads(state, at)
	f.loadsRevision = state.LoadsRevision
}
