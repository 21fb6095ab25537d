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
	pollHoldUS       = 250_000 // how long a control node may hold a poll until there is an update
	pollTimeoutUS    = 450_000 // how much longer than that its response may take
	failedNodeHoldUS = 50_000  // longest hold by a node that failed lately, polled for lack of a better one
	pollRetryDelayUS = 30_000  // before the next poll if the only known node failed, or the node that responded is isolated

	// staleListUS is the age beyond which a node's list of engines is stale: other nodes are
	// preferred to that node for controlorder.AvoidStaleListUS.
	staleListUS = 4_000_000
)

// follower keeps the view up to date by long polling: it polls the control node that controlorder
// ranks first, and moves on to the next one when that fails or is isolated. Only its own goroutine
// uses it.
type follower struct {
	server  *server
	nodes   map[string]*controlorder.Node // by transport address
	current string                        // address of the followed node; empty for none

	// The state that this proxy has, sent with each poll so that only changes are returned.
	nodeIncarnation    uint64 // of the node that mapRevision is from
	mapRevision        uint64
	loadsRevision      uint64 // from the same node
	configRevision     uint64
	updatesIncarnation uint64 // of the node that updatesNext is from
	updatesNext        uint64 // sequence number of the next update of hints
}

// newFollower returns a follower that knows only the seed nodes.
func newFollower(s *server) *follower {
	f := &follower{server: s, nodes: map[string]*controlorder.Node{}}
	for _, addr := range s.settings.Seeds {
		f.nodes[addr] = &controlorder.Node{}
	}
	return f
}

// run polls until ctx ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.poll(ctx) && !taskgroup.Sleep(ctx, pollRetryDelayUS) {
			return
		}
	}
}

// order returns the addresses of the control nodes, the preferred one first.
func (f *follower) order(now int64) []string {
	return controlorder.Preference{Name: f.server.settings.Name, Zone: f.server.settings.Zone, Current: f.current}.Sort(now, f.nodes)
}

// poll polls one control node, and reports whether the next poll may follow at once.
func (f *follower) poll(ctx context.Context) bool {
	now := clock.Now()
	order := f.order(now)
	if len(order) == 0 {
		return false
	}
	addr := order[0]
	request := f.request(now, addr)
	response, err := f.server.controlNodes.Get(addr).Call(ctx, &fb.FrameT{MapRequest: request}, request.Hold+pollTimeoutUS)
	if ctx.Err() != nil {
		return false
	}
	if err != nil || response.MapResponse == nil {
		f.nodeFailed(addr)
		return len(order) > 1
	}
	return f.handleResponse(now, addr, response.MapResponse)
}

// request returns a poll for changes since the last response. How long the node may hold it until
// there is an update depends on what is known of the node.
func (f *follower) request(now int64, addr string) *fb.MapRequestT {
	hold := int64(pollHoldUS)
	switch {
	case f.server.view.Load().table == nil || f.nodes[addr].Zone == "":
		hold = 0
	case f.nodes[addr].FailedLately(now):
		hold = failedNodeHoldUS
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

// handleResponse applies the response to a poll that was sent at the time now. It returns false if
// the node is isolated.
func (f *follower) handleResponse(now int64, addr string, state *fb.MapResponseT) bool {
	node := f.nodes[addr]
	node.Zone, node.FailedAt = state.Zone, 0
	// The node sent this state no sooner than it had finished holding the poll.
	f.apply(state, now+state.Waited)
	if state.ListAge > staleListUS && now-node.StaleListAt > controlorder.AvoidStaleListUS {
		node.StaleListAt = clock.Now()
	}
	f.setNodes(state.Voters, !isIsolated(state))
	if isIsolated(state) {
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

// nodeFailed lowers the preference of a node that failed or is isolated.
func (f *follower) nodeFailed(addr string) {
	f.nodes[addr].FailedAt = clock.Now()
	if f.current == addr {
		f.server.daemon.Log.Info("control_node_lost", "control_node", addr)
		f.current = ""
		f.server.followed.Store(nil)
	}
}

// setNodes updates the set of control nodes from a list of voters. Nodes are removed only if the
// reporting node is up to date: an isolated one may know an old set of voters.
func (f *follower) setNodes(voters []string, upToDate bool) {
	if len(voters) == 0 {
		return
	}
	for _, addr := range voters {
		if f.nodes[addr] == nil {
			f.nodes[addr] = &controlorder.Node{}
		}
	}
	for addr := range f.nodes {
		if upToDate && !slices.Contains(voters, addr) && !slices.Contains(f.server.settings.Seeds, addr) {
			delete(f.nodes, addr)
		}
	}
}

// apply publishes the fleet state that a node reported. The node sent it no sooner than at.
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
