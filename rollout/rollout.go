// Package rollout brings engines to the newest weights: a few at a time, spread over
// sites, all of them within the time that a deployment allows (design §15). It is
// pure: whoever holds the duty feeds it the map and carries its steps out.
package rollout

import (
	"encoding/json"
	"maps"
	"slices"
	"sort"
	"strings"
)

// Engine is what the conductor knows of one life of an engine.
type Engine struct {
	ID, Addr, Pool, Zone string
	Draining             bool
	Weights              map[string]uint64 // as last reported
}

// Phase is how far an engine's turn has come.
type Phase uint8

// Parting: proxies are told to send it nothing new. Ordered: the order went out.
const (
	PhaseDraining Phase = iota + 1
	PhaseRequested
)

// Turn is an engine that is changing its weights. Since, and Told, when the order last
// went out, are in the conductor's own time and are not kept.
type Update struct {
	Model       string `json:"model"`
	Version     uint64 `json:"version"`
	Phase       Phase  `json:"phase"`
	StartedAt   int64  `json:"-"`
	RequestedAt int64  `json:"-"`
}

// State is what is kept of a roll-out in the control state, so that every node sees
// who is turning, and a new conductor takes it up where the last one left it.
type State struct {
	Updates map[string]Update            `json:"turns"` // by engine
	Applied map[string]map[string]uint64 `json:"done"`  // engine, model: version known to be in force
}

// Bytes is a state as its register holds it.
func (s State) Marshal() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // plain strings and numbers
	}
	return b
}

// Read reads a register's state.
func UnmarshalState(b []byte) (State, error) {
	var s State
	if len(b) == 0 {
		return s, nil
	}
	err := json.Unmarshal(b, &s)
	return s, err
}

// Version is what an engine runs, from its reports and from what is known done.
func (s State) Version(id, model string, reported uint64) uint64 {
	return max(reported, s.Applied[id][model])
}

// Figures bound a roll-out. Times are microseconds.
type Config struct {
	ApplyWithin           int64 // of the naming, for every engine
	DrainDuration         int64 // proxies are told so long before an order goes out
	ExpectedDuration      int64 // what one engine's turn is expected to take, before any was seen
	MinConcurrent         int   // turns under way at one time, when there is time enough
	MaxConcurrentPermille int   // thousandths of a pool's engines that may be turning at one time
	LeaseDuration         int64 // within which two holders must not both order one engine
	RetryAfter            int64 // an order without an answer is said again
	SlowAfter             int64 // a turn that takes longer no longer counts against the others
}

// Defaults are the daemons' figures for a bound, and for the lease within which two
// holders must not both order one engine.
func DefaultConfig(within, lease int64) Config {
	return Config{ApplyWithin: within, DrainDuration: 350_000, ExpectedDuration: 2_600_000, MinConcurrent: 2, MaxConcurrentPermille: 300, LeaseDuration: lease + 500_000, RetryAfter: max(4_000_000, lease+1_000_000), SlowAfter: 6_000_000}
}

// Conductor works out what is to be done. It is not safe for concurrent use.
type Scheduler struct {
	Config          Config
	State           State
	targets         map[string]target
	lagging         map[string]bool // models that some engine lags behind in
	averageDuration int64
	notBefore       int64 // no naming counts from before it
	// Engines that a former holder of the duty may have ordered get no order before
	// alien: two holders' orders must not come within a lease of each other.
	formerRequests   map[string]bool
	formerLeaseUntil int64
}

type target struct {
	version     uint64
	announcedAt int64 // of the first naming that some engine still lags behind
}

// New makes a conductor that goes on from s. Namings count from since at the earliest:
// the bound runs anew when the core was unsettled, as it was if another held the duty.
func New(f Config, now, since int64, s State) *Scheduler {
	c := &Scheduler{Config: f, State: s, targets: map[string]target{}, lagging: map[string]bool{}, averageDuration: f.ExpectedDuration, notBefore: since, formerRequests: map[string]bool{}, formerLeaseUntil: now + f.LeaseDuration}
	if c.State.Updates == nil {
		c.State.Updates = map[string]Update{}
	}
	if c.State.Applied == nil {
		c.State.Applied = map[string]map[string]uint64{}
	}
	for id, t := range c.State.Updates {
		// If an order is out, it was another's: none of ours may follow within the lease.
		t.StartedAt, t.RequestedAt = now, now
		c.State.Updates[id] = t
		c.formerRequests[id] = true
	}
	for id := range c.State.Applied {
		c.formerRequests[id] = true
	}
	return c
}

// Resume tells a new conductor that its maker has conducted before under the very same
// hold of the duty, since began, and when it last sent an order to each engine. What was
// ordered in that time was its own, so that no other holder's lease is to be waited out
// anew; and an order that is written as given but was never sent goes out at once.
func (s *Scheduler) Resume(began int64, sent map[string]int64) {
	s.formerLeaseUntil = began + s.Config.LeaseDuration
	for id, t := range s.State.Updates {
		if t.Phase == PhaseRequested {
			t.RequestedAt = sent[id]
			s.State.Updates[id] = t
		}
	}
}

// Name takes in the newest version of a model, and since when it is known.
func (s *Scheduler) Announce(model string, version uint64, at int64) {
	n := s.targets[model]
	if n.version >= version {
		return
	}
	// A storm of namings starts no clock anew: who lags behind an older one is late by
	// that (design §10).
	if !s.lagging[model] {
		n.announcedAt = max(at, s.notBefore)
	}
	s.targets[model], s.lagging[model] = target{version, n.announcedAt}, true
}

// Order is a step to carry out: tell the engine.
type UpdateRequest struct {
	Engine, Addr, Model string
	Version             uint64
}

// Step looks at the engines and returns the orders to send now, the engines to look
// at closely, and whether the state changed and must be kept before any order goes.
func (s *Scheduler) Step(now int64, es []Engine) (orders []UpdateRequest, look []string, changed bool) {
	live := map[string]Engine{}
	for _, e := range es {
		live[e.ID] = e
	}
	ended := s.finishUpdates(now, live)
	gone := s.forgetGone(live)
	begun := s.startUpdates(now, live)
	orders, look, ordered := s.dueRequests(now, live)
	return orders, look, ended || gone || begun || ordered
}

// endTurns ends the turns of engines that are gone, or that run what they were to.
func (s *Scheduler) finishUpdates(now int64, live map[string]Engine) (changed bool) {
	for id, t := range s.State.Updates {
		e, ok := live[id]
		switch {
		case !ok:
			delete(s.State.Updates, id)
			changed = true
		case s.State.Version(id, t.Model, e.Weights[t.Model]) >= t.Version:
			s.markApplied(id, t.Model, t.Version)
			if t.Phase == PhaseRequested {
				s.averageDuration += (now - t.StartedAt - s.averageDuration) / 4
			}
			delete(s.State.Updates, id)
			changed = true
		}
	}
	return changed
}

// dropGone forgets what engines that are gone have done.
func (s *Scheduler) forgetGone(live map[string]Engine) (changed bool) {
	for id := range s.State.Applied {
		if _, ok := live[id]; !ok {
			delete(s.State.Applied, id)
			changed = true
		}
	}
	return changed
}

// beginTurns begins as many turns as are due.
func (s *Scheduler) startUpdates(now int64, live map[string]Engine) (changed bool) {
	behind := s.laggards(live)
	lag, all, under := map[string]int{}, map[string]int{}, map[string]int{}
	for _, e := range live {
		all[e.Pool]++
	}
	clear(s.lagging)
	for _, b := range behind {
		lag[b.Pool]++
		s.lagging[b.model] = true
	}
	for id, t := range s.State.Updates {
		if now-t.StartedAt < s.Config.SlowAfter {
			under[live[id].Pool]++
		}
	}
	for _, b := range behind {
		_, turning := s.State.Updates[b.ID]
		waits := s.formerRequests[b.ID] && now < s.formerLeaseUntil-s.Config.DrainDuration
		if turning || waits || under[b.Pool] >= s.maxConcurrent(now, lag[b.Pool], all[b.Pool], b.model) {
			continue
		}
		s.State.Updates[b.ID] = Update{Model: b.model, Version: s.targets[b.model].version, Phase: PhaseDraining, StartedAt: now}
		under[b.Pool]++
		changed = true
	}
	return changed
}

// dueOrders lists the orders that are due, and the engines whose order is out.
func (s *Scheduler) dueRequests(now int64, live map[string]Engine) (orders []UpdateRequest, look []string, changed bool) {
	for id, t := range s.State.Updates {
		newest := s.targets[t.Model].version
		switch {
		case s.formerRequests[id] && now < s.formerLeaseUntil:
		case t.Phase == PhaseDraining && now-t.StartedAt >= s.Config.DrainDuration:
			t.Phase, t.Version, t.RequestedAt = PhaseRequested, max(newest, t.Version), now
			s.State.Updates[id] = t
			changed = true
			orders = append(orders, UpdateRequest{id, live[id].Addr, t.Model, t.Version})
		case t.Phase == PhaseRequested && now-t.RequestedAt >= s.Config.RetryAfter:
			t.RequestedAt = now
			s.State.Updates[id] = t
			orders = append(orders, UpdateRequest{id, live[id].Addr, t.Model, t.Version})
		}
		if t.Phase == PhaseRequested {
			look = append(look, id)
		}
	}
	sort.Slice(orders, func(i, j int) bool { return orders[i].Engine < orders[j].Engine })
	sort.Strings(look)
	return orders, look, changed
}

// Seen takes in an engine's own word, fresher than the map's.
func (s *Scheduler) Observe(id, model string, version uint64) {
	if version > s.State.Applied[id][model] {
		s.markApplied(id, model, version)
	}
}

// Refused takes an order back that the engine can't take now.
func (s *Scheduler) Postpone(now int64, id string) {
	if t, ok := s.State.Updates[id]; ok && t.Phase == PhaseRequested {
		t.RequestedAt = now - s.Config.RetryAfter + 300_000
		s.State.Updates[id] = t
	}
}

func (s *Scheduler) markApplied(id, model string, version uint64) {
	m := s.State.Applied[id]
	if m == nil {
		m = map[string]uint64{}
		s.State.Applied[id] = m
	}
	m[model] = max(m[model], version)
}

type laggard struct {
	Engine
	model   string
	version uint64
}

// behind lists the engines that run something older: the oldest first, since they are
// late by the oldest naming, and among those sites by turns.
func (s *Scheduler) laggards(live map[string]Engine) (out []laggard) {
	by := map[uint64]map[string][]laggard{}
	for _, e := range live {
		if e.Draining {
			continue
		}
		var l *laggard
		for m, v := range e.Weights {
			// Versions of several models can't be compared; what counts is how many
			// namings an engine lags behind, and the version stands for that well enough.
			if v = s.State.Version(e.ID, m, v); v < s.targets[m].version && (l == nil || v < l.version || v == l.version && m < l.model) {
				l = &laggard{e, m, v}
			}
		}
		if l != nil {
			if by[l.version] == nil {
				by[l.version] = map[string][]laggard{}
			}
			by[l.version][e.Zone] = append(by[l.version][e.Zone], *l)
		}
	}
	for _, v := range slices.Sorted(maps.Keys(by)) {
		out = append(out, interleaveZones(by[v])...)
	}
	return out
}

// turns takes one engine of each site after the other.
func interleaveZones(sites map[string][]laggard) (out []laggard) {
	n := 0
	for _, l := range sites {
		slices.SortFunc(l, func(a, b laggard) int { return strings.Compare(a.ID, b.ID) })
		n += len(l)
	}
	names := slices.Sorted(maps.Keys(sites))
	for i := 0; len(out) < n; i++ {
		for _, s := range names {
			if i < len(sites[s]) {
				out = append(out, sites[s][i])
			}
		}
	}
	return out
}

// atOnce is how many turns must be under way so that all end in time. Never so many
// that those left can't carry the load: whoever is late then gets no new requests,
// which is dear, but all turning at once is dearer.
func (s *Scheduler) maxConcurrent(now int64, behind, all int, model string) int {
	most := (all*s.Config.MaxConcurrentPermille + 999) / 1000
	left := s.Config.ApplyWithin*78/100 - (now - s.targets[model].announcedAt)
	if left <= s.averageDuration {
		return most
	}
	return min(most, max(s.Config.MinConcurrent, int((int64(behind)*s.averageDuration+left-1)/left)))
}
