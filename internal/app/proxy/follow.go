package proxy

import (
	"context"
	"slices"
	"sort"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	frames "violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/placement"
	"violetthread/route"
	"violetthread/schema/fb"
)

const (
	followHoldUS    = 250_000   // how long a directory node may hold a question
	followTimeoutUS = 450_000   // and how long its answer may take beyond
	unusedFor       = 1_500_000 // a node that failed or fell behind is not asked first for so long
	retryHoldUS     = 50_000    // how long such a node may hold a question, while there is no other

	// A node whose word is older than this is cut off from the owner of a register, and
	// another one is asked.
	staleRegister = 1_000_000
	// A node whose list of engines is older than this does not get it while others may.
	// Without the platform all lists grow old, so that this is tried only so often.
	staleListUS      = 4_000_000
	staleListRetryUS = 10_000_000
	// A map with an older list than the one in use waits for no longer than this for its
	// node to get a newer one: the platform may be down.
	pendingMapWaitUS = 3_000_000
)

// view is what the proxy knows of the fleet. It never changes once published.
type view struct {
	table       *route.Table
	revision    uint64
	configAt    int64 // when the configuration was last known to be in force
	configKnown bool
	announced   *route.Announcements
	proxies     int // proxies of the fleet, this one included
	// Which life of a node told the map in use, and when the list of engines in it was
	// asked for.
	mapIncarnation uint64
	listedAt       int64
	pending        *pendingMap
}

// nextMap is a map that is not used yet, since the list in it is older than the one in use.
type pendingMap struct {
	incarnation uint64
	engines     []*fb.MapEngineT
	receivedAt  int64
}

// least is the oldest version of a model that may still be begun: one that was named
// for too long has to be in force.
func (v *view) minVersion(now int64, model string, within int64) uint64 {
	if v.announced == nil {
		return 0
	}
	return v.announced.OldestAllowed(now, model, within)
}

// leastVersion is the oldest version of a model that an attempt may begin on now.
func (s *server) minVersion(now int64, model string) uint64 {
	return s.view.Load().minVersion(now, model, s.settings.Bounds.VersionApplyUS-versionSlackUS)
}

// hear takes in what a node says of the fleet's state, which left it no sooner than at.
// It returns the map to be used from now on, if there is another one.
func (v *view) merge(state *fb.MapResponseT, at int64) (engines []*fb.MapEngineT, use bool) {
	// A node that is cut off has lost sight of other proxies, and does not know that they
	// have gone: what each may spend must not grow by that.
	if proxies := max(1, int(state.Proxies)); !outOfTouch(state) || proxies > v.proxies {
		v.proxies = proxies
	}
	if state.FullMap {
		announced := &route.Announcements{}
		if v.announced != nil {
			announced = v.announced.Clone()
		}
		announced.Merge(frames.UnpackVersionAges(state, at))
		v.announced = announced
		v.pending = &pendingMap{state.Incarnation, state.Engines, at}
	}
	return v.mergeMap(state.Incarnation, at, state.ListAge)
}

// hearConfig takes in the configuration that a node told, and returns whether it is
// another one. A revision never goes back within a life; an age counts only for the
// revision in use.
func (v *view) mergeConfig(state *fb.MapResponseT, at int64, parse func(text []byte, revision uint64) *route.Table) (changed bool) {
	if !state.Known || state.Revision < v.revision {
		return false
	}
	if state.Revision > v.revision && len(state.Config) > 0 {
		if table := parse(state.Config, state.Revision); table != nil {
			v.table, v.revision, changed = table, state.Revision, true
		}
	}
	if state.Revision == v.revision {
		v.configKnown, v.configAt = true, max(v.configAt, at-state.Age)
	}
	return changed
}

// hearMap takes in how old the list in a node's newest map is, and returns that map if it
// is to be used from now on: at once if its list is not older than that of the map in
// use, else once the node has looked at the platform's list again. A node that has just
// started and read no list knows of no engines.
func (v *view) mergeMap(incarnation uint64, at, listAge int64) (engines []*fb.MapEngineT, use bool) {
	if listAge >= frames.AgeNeverRead {
		return nil, false
	}
	listedAt := at - listAge
	same := incarnation == v.mapIncarnation
	if pending := v.pending; pending != nil && pending.incarnation == incarnation {
		use = same || listedAt >= v.listedAt || at-pending.receivedAt > pendingMapWaitUS
		if use {
			engines, v.pending, v.mapIncarnation, v.listedAt = pending.engines, nil, incarnation, listedAt
		}
		return engines, use
	}
	v.pending = nil // another node is asked now
	if same {
		v.listedAt = max(v.listedAt, listedAt)
	}
	return nil, false
}

// behind reports whether a node is out of touch with the owner of a register. One that
// was restarted while it is cut off knows no configuration at all.
func outOfTouch(state *fb.MapResponseT) bool {
	return !state.Known || state.Age > staleRegister || state.AnnouncedAge > staleRegister
}

// age is how long ago the configuration was known to be in force.
func (v *view) age(now int64) int64 {
	if !v.configKnown {
		return 1 << 50
	}
	return now - v.configAt
}

// directoryNode is a directory node as this proxy knows it.
type controlNode struct {
	zone        string // once it has said so
	failedAt    int64
	staleListAt int64 // when its list of engines was seen to be old
}

// follower keeps the view fresh: it asks one node after the other, the one in
// its own site first, and goes on to the next when one fails or falls behind.
type follower struct {
	server                          *server
	nodes                           map[string]*controlNode
	current                         string
	nodeIncarnation, configRevision uint64
	mapRevision                     uint64
	updatesIncarnation              uint64
	updatesNext                     uint64
}

// newFollower makes one that starts from the seeds.
func newFollower(s *server) *follower {
	f := &follower{server: s, nodes: map[string]*controlNode{}}
	for _, addr := range s.settings.Seeds {
		f.nodes[addr] = &controlNode{}
	}
	return f
}

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !f.ask(ctx) && !taskgroup.Sleep(ctx, 30_000) {
			return
		}
	}
}

// order lists the nodes to ask, the best one first.
func (f *follower) order(now int64) []string {
	var addrs []string
	for addr := range f.nodes {
		addrs = append(addrs, addr)
	}
	sort.Slice(addrs, func(i, j int) bool { return f.before(now, addrs[i], addrs[j]) })
	return addrs
}

// failedLately reports whether the node failed, or was out of touch, a short while ago.
func (n *controlNode) failedLately(now int64) bool {
	return n.failedAt > 0 && now-n.failedAt < unusedFor
}

// before reports whether node a is to be asked before node b. Among those that failed
// lately the one that was tried longest ago goes first, so that none is clung to: a node
// that is cut off answers at once, and others may have come back meanwhile.
func (f *follower) before(now int64, a, b string) bool {
	x, y := f.nodes[a], f.nodes[b]
	xFailed, yFailed := x.failedLately(now), y.failedLately(now)
	if xFailed != yFailed {
		return yFailed
	}
	if xFailed && x.failedAt != y.failedAt {
		return x.failedAt < y.failedAt
	}
	if p, q := f.rank(now, a), f.rank(now, b); p != q {
		return p < q
	}
	return score(f.server.settings.Name, a) < score(f.server.settings.Name, b)
}

// rank orders nodes that answered last time, the lowest first.
func (f *follower) rank(now int64, addr string) (rank int) {
	node := f.nodes[addr]
	if node.staleListAt > 0 && now-node.staleListAt < staleListRetryUS {
		rank += 4
	}
	switch {
	case node.zone == f.server.settings.Zone:
	case node.zone == "":
		rank++ // worth finding out
	default:
		rank += 2
	}
	if addr == f.current {
		rank--
	}
	return rank
}

func (f *follower) ask(ctx context.Context) bool {
	now := clock.Now()
	nodes := f.order(now)
	if len(nodes) == 0 {
		return false
	}
	addr := nodes[0]
	hold := int64(followHoldUS)
	switch {
	case f.server.view.Load().table == nil || f.nodes[addr].zone == "":
		hold = 0
	case f.nodes[addr].failedLately(now):
		hold = retryHoldUS
	}
	question := &fb.MapRequestT{Node: f.server.self(), Incarnation: f.nodeIncarnation, HaveRevision: f.configRevision, HaveMap: f.mapRevision, UpdatesIncarnation: f.updatesIncarnation, UpdatesSince: f.updatesNext, Hold: hold, Loads: f.server.loads()}
	answer, err := f.server.controlNodes.Get(addr).Call(ctx, &fb.FrameT{MapRequest: question}, hold+followTimeoutUS)
	if ctx.Err() != nil {
		return false
	}
	node := f.nodes[addr]
	if err != nil || answer.MapResponse == nil {
		f.nodeFailed(addr)
		return len(nodes) > 1
	}
	state := answer.MapResponse
	node.zone, node.failedAt = state.Zone, 0
	// The answer left the node no sooner than it had held the question.
	f.apply(state, now+state.Waited)
	if state.ListAge > staleListUS && now-node.staleListAt > staleListRetryUS {
		node.staleListAt = clock.Now()
	}
	f.setNodes(state.Voters, !outOfTouch(state))
	if outOfTouch(state) {
		f.nodeFailed(addr)
		return false
	}
	if f.current != addr {
		f.server.daemon.Log.Info("directory", "directory", addr, "site", state.Zone)
		f.current = addr
	}
	return true
}

// leave lets others be asked before a node that failed or is out of touch.
func (f *follower) nodeFailed(addr string) {
	f.nodes[addr].failedAt = clock.Now()
	if f.current == addr {
		f.server.daemon.Log.Info("directory_lost", "directory", addr)
		f.current = ""
	}
}

// learn takes in which control nodes there are. Only a node that is in touch is believed
// that others have gone: one that is cut off may know an old roster.
func (f *follower) setNodes(voters []string, inTouch bool) {
	if len(voters) == 0 {
		return
	}
	for _, addr := range voters {
		if f.nodes[addr] == nil {
			f.nodes[addr] = &controlNode{}
		}
	}
	for addr := range f.nodes {
		if inTouch && !slices.Contains(voters, addr) && !slices.Contains(f.server.settings.Seeds, addr) {
			delete(f.nodes, addr)
		}
	}
}

// take publishes what a node told.
func (f *follower) apply(state *fb.MapResponseT, at int64) {
	s := f.server
	v := *s.view.Load()
	engines, use := v.merge(state, at)
	if state.Incarnation != f.nodeIncarnation {
		f.nodeIncarnation, f.mapRevision = state.Incarnation, 0
	}
	if v.mergeConfig(state, at, s.adapter.ParseConfig) {
		s.daemon.Log.Info("config", "rev", state.Revision, "version", v.table.Version, "age_us", state.Age)
	}
	f.configRevision = v.revision
	s.view.Store(&v)
	if state.FullMap {
		f.mapRevision = state.Map
	}
	if use {
		s.setFleet(engines, v.table)
	}
	f.applyUpdates(state)
	others := map[uint64]placement.Load{}
	for _, l := range state.Loads {
		others[l.Node] = placement.Load{Requests: int(l.Active), PrefillTokens: int64(l.PrefillTokens), MemoryTokens: int64(l.MemoryTokens)}
	}
	s.mu.Lock()
	s.picker.SetOtherLoads(at, others)
	s.picker.HintsComplete = state.Complete && !state.UpdatesReset
	s.mu.Unlock()
}

// loads tells what this proxy has under way.
func (s *server) loads() (out []*fb.EngineLoadT) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for n, l := range s.picker.OwnLoads() {
		out = append(out, &fb.EngineLoadT{Node: n, Active: uint32(l.Requests), PrefillTokens: uint32(l.PrefillTokens), MemoryTokens: uint32(l.MemoryTokens)})
	}
	return out
}

func (f *follower) applyUpdates(state *fb.MapResponseT) {
	hints := f.server.hints
	f.updatesIncarnation, f.updatesNext = state.UpdatesIncarnation, state.UpdatesNext
	f.server.hintMu.Lock()
	defer f.server.hintMu.Unlock()
	if state.UpdatesReset {
		hints.Clear()
	}
	for _, update := range state.Updates {
		key := cacheindex.Key{Hi: update.Hi, Lo: update.Lo, Check: update.Check}
		if cacheindex.UpdateOp(update.Op) == cacheindex.OpAdd {
			hints.Put(key, update.Holder)
		} else {
			hints.Remove(key, update.Holder)
		}
	}
}

// takeMap gives the picker a new map of the fleet.
func (s *server) setFleet(listed []*fb.MapEngineT, table *route.Table) {
	var engines []*placement.Engine
	var stores []placement.Store
	for _, e := range listed {
		if e.Store {
			stores = append(stores, placement.Store{Addr: e.Addr, Zone: e.Zone, Unhealthy: e.Unhealthy})
			continue
		}
		cacheTokens := int64(0)
		if table != nil {
			if pool := table.Pool(e.Pool); pool != nil {
				cacheTokens = pool.CacheTokens
			}
		}
		engines = append(engines, &placement.Engine{CacheTokens: cacheTokens, ID: e.Id, Pool: e.Pool, Addr: e.Addr, Zone: e.Zone, Draining: e.Draining,
			UpdatingWeights: e.Updating, Unhealthy: e.Unhealthy, Slots: int(e.Slots), Weights: frames.UnpackWeights(e.Weights)})
	}
	s.mu.Lock()
	s.picker.SetFleet(engines, stores)
	s.mu.Unlock()
	if len(engines) > 0 {
		s.seenEngines.Store(true)
	}
	live := map[string]bool{}
	for _, e := range engines {
		live[e.ID] = true
	}
	s.pool.sweep(func(id string) bool { return live[id] })
}
