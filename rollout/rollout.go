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
	ID, Addr, Pool, Site string
	Draining             bool
	Weights              map[string]uint64 // as last reported
}

// Phase is how far an engine's turn has come.
type Phase uint8

// Parting: proxies are told to send it nothing new. Ordered: the order went out.
const (
	Parting Phase = iota + 1
	Ordered
)

// Turn is an engine that is changing its weights. Since, and Told, when the order last
// went out, are in the conductor's own time and are not kept.
type Turn struct {
	Model   string `json:"model"`
	Version uint64 `json:"version"`
	Phase   Phase  `json:"phase"`
	Since   int64  `json:"-"`
	Told    int64  `json:"-"`
}

// State is what is kept of a roll-out in the control state, so that every node sees
// who is turning, and a new conductor takes it up where the last one left it.
type State struct {
	Turns map[string]Turn              `json:"turns"` // by engine
	Done  map[string]map[string]uint64 `json:"done"`  // engine, model: version known to be in force
}

// Bytes is a state as its register holds it.
func (s State) Bytes() []byte {
	b, err := json.Marshal(s)
	if err != nil {
		panic(err) // plain strings and numbers
	}
	return b
}

// Read reads a register's state.
func Read(b []byte) (State, error) {
	var s State
	if len(b) == 0 {
		return s, nil
	}
	err := json.Unmarshal(b, &s)
	return s, err
}

// Version is what an engine runs, from its reports and from what is known done.
func (s State) Version(id, model string, reported uint64) uint64 {
	return max(reported, s.Done[id][model])
}

// Figures bound a roll-out. Times are microseconds.
type Figures struct {
	Within  int64 // of the naming, for every engine
	Part    int64 // proxies are told so long before an order goes out
	Each    int64 // what one engine's turn is expected to take, before any was seen
	Least   int   // turns under way at one time, when there is time enough
	Most    int   // thousandths of a pool's engines that may be turning at one time
	Lease   int64 // within which two holders must not both order one engine
	Again   int64 // an order without an answer is said again
	Patient int64 // a turn that takes longer no longer counts against the others
}

// Defaults are the daemons' figures for a bound, and for the lease within which two
// holders must not both order one engine.
func Defaults(within, lease int64) Figures {
	return Figures{Within: within, Part: 350_000, Each: 2_600_000, Least: 2, Most: 300, Lease: lease + 500_000, Again: max(4_000_000, lease+1_000_000), Patient: 6_000_000}
}

// Conductor works out what is to be done. It is not safe for concurrent use.
type Conductor struct {
	F     Figures
	S     State
	named map[string]naming
	lags  map[string]bool // models that some engine lags behind in
	each  int64
	since int64 // no naming counts from before it
	// Engines that a former holder of the duty may have ordered get no order before
	// alien: two holders' orders must not come within a lease of each other.
	aliens map[string]bool
	alien  int64
}

type naming struct {
	version uint64
	at      int64 // of the first naming that some engine still lags behind
}

// New makes a conductor that goes on from s. Namings count from since at the earliest:
// the bound runs anew when the core was unsettled, as it was if another held the duty.
func New(f Figures, now, since int64, s State) *Conductor {
	c := &Conductor{F: f, S: s, named: map[string]naming{}, lags: map[string]bool{}, each: f.Each, since: since, aliens: map[string]bool{}, alien: now + f.Lease}
	if c.S.Turns == nil {
		c.S.Turns = map[string]Turn{}
	}
	if c.S.Done == nil {
		c.S.Done = map[string]map[string]uint64{}
	}
	for id, t := range c.S.Turns {
		// If an order is out, it was another's: none of ours may follow within the lease.
		t.Since, t.Told = now, now
		c.S.Turns[id] = t
		c.aliens[id] = true
	}
	for id := range c.S.Done {
		c.aliens[id] = true
	}
	return c
}

// Resume tells a new conductor that its maker has conducted before under the very same
// hold of the duty, since began, and when it last sent an order to each engine. What was
// ordered in that time was its own, so that no other holder's lease is to be waited out
// anew; and an order that is written as given but was never sent goes out at once.
func (c *Conductor) Resume(began int64, sent map[string]int64) {
	c.alien = began + c.F.Lease
	for id, t := range c.S.Turns {
		if t.Phase == Ordered {
			t.Told = sent[id]
			c.S.Turns[id] = t
		}
	}
}

// Name takes in the newest version of a model, and since when it is known.
func (c *Conductor) Name(model string, version uint64, at int64) {
	n := c.named[model]
	if n.version >= version {
		return
	}
	// A storm of namings starts no clock anew: who lags behind an older one is late by
	// that (design §10).
	if !c.lags[model] {
		n.at = max(at, c.since)
	}
	c.named[model], c.lags[model] = naming{version, n.at}, true
}

// Order is a step to carry out: tell the engine.
type Order struct {
	Engine, Addr, Model string
	Version             uint64
}

// Step looks at the engines and returns the orders to send now, the engines to look
// at closely, and whether the state changed and must be kept before any order goes.
func (c *Conductor) Step(now int64, es []Engine) (orders []Order, look []string, changed bool) {
	live := map[string]Engine{}
	for _, e := range es {
		live[e.ID] = e
	}
	ended := c.endTurns(now, live)
	gone := c.dropGone(live)
	begun := c.beginTurns(now, live)
	orders, look, ordered := c.dueOrders(now, live)
	return orders, look, ended || gone || begun || ordered
}

// endTurns ends the turns of engines that are gone, or that run what they were to.
func (c *Conductor) endTurns(now int64, live map[string]Engine) (changed bool) {
	for id, t := range c.S.Turns {
		e, ok := live[id]
		switch {
		case !ok:
			delete(c.S.Turns, id)
			changed = true
		case c.S.Version(id, t.Model, e.Weights[t.Model]) >= t.Version:
			c.done(id, t.Model, t.Version)
			if t.Phase == Ordered {
				c.each += (now - t.Since - c.each) / 4
			}
			delete(c.S.Turns, id)
			changed = true
		}
	}
	return changed
}

// dropGone forgets what engines that are gone have done.
func (c *Conductor) dropGone(live map[string]Engine) (changed bool) {
	for id := range c.S.Done {
		if _, ok := live[id]; !ok {
			delete(c.S.Done, id)
			changed = true
		}
	}
	return changed
}

// beginTurns begins as many turns as are due.
func (c *Conductor) beginTurns(now int64, live map[string]Engine) (changed bool) {
	behind := c.behind(live)
	lag, all, under := map[string]int{}, map[string]int{}, map[string]int{}
	for _, e := range live {
		all[e.Pool]++
	}
	clear(c.lags)
	for _, b := range behind {
		lag[b.Pool]++
		c.lags[b.model] = true
	}
	for id, t := range c.S.Turns {
		if now-t.Since < c.F.Patient {
			under[live[id].Pool]++
		}
	}
	for _, b := range behind {
		_, turning := c.S.Turns[b.ID]
		waits := c.aliens[b.ID] && now < c.alien-c.F.Part
		if turning || waits || under[b.Pool] >= c.atOnce(now, lag[b.Pool], all[b.Pool], b.model) {
			continue
		}
		c.S.Turns[b.ID] = Turn{Model: b.model, Version: c.named[b.model].version, Phase: Parting, Since: now}
		under[b.Pool]++
		changed = true
	}
	return changed
}

// dueOrders lists the orders that are due, and the engines whose order is out.
func (c *Conductor) dueOrders(now int64, live map[string]Engine) (orders []Order, look []string, changed bool) {
	for id, t := range c.S.Turns {
		newest := c.named[t.Model].version
		switch {
		case c.aliens[id] && now < c.alien:
		case t.Phase == Parting && now-t.Since >= c.F.Part:
			t.Phase, t.Version, t.Told = Ordered, max(newest, t.Version), now
			c.S.Turns[id] = t
			changed = true
			orders = append(orders, Order{id, live[id].Addr, t.Model, t.Version})
		case t.Phase == Ordered && now-t.Told >= c.F.Again:
			t.Told = now
			c.S.Turns[id] = t
			orders = append(orders, Order{id, live[id].Addr, t.Model, t.Version})
		}
		if t.Phase == Ordered {
			look = append(look, id)
		}
	}
	sort.Slice(orders, func(i, j int) bool { return orders[i].Engine < orders[j].Engine })
	sort.Strings(look)
	return orders, look, changed
}

// Seen takes in an engine's own word, fresher than the map's.
func (c *Conductor) Seen(id, model string, version uint64) {
	if version > c.S.Done[id][model] {
		c.done(id, model, version)
	}
}

// Refused takes an order back that the engine can't take now.
func (c *Conductor) Refused(now int64, id string) {
	if t, ok := c.S.Turns[id]; ok && t.Phase == Ordered {
		t.Told = now - c.F.Again + 300_000
		c.S.Turns[id] = t
	}
}

func (c *Conductor) done(id, model string, version uint64) {
	m := c.S.Done[id]
	if m == nil {
		m = map[string]uint64{}
		c.S.Done[id] = m
	}
	m[model] = max(m[model], version)
}

type late struct {
	Engine
	model   string
	version uint64
}

// behind lists the engines that run something older: the oldest first, since they are
// late by the oldest naming, and among those sites by turns.
func (c *Conductor) behind(live map[string]Engine) (out []late) {
	by := map[uint64]map[string][]late{}
	for _, e := range live {
		if e.Draining {
			continue
		}
		var l *late
		for m, v := range e.Weights {
			// Versions of several models can't be compared; what counts is how many
			// namings an engine lags behind, and the version stands for that well enough.
			if v = c.S.Version(e.ID, m, v); v < c.named[m].version && (l == nil || v < l.version || v == l.version && m < l.model) {
				l = &late{e, m, v}
			}
		}
		if l != nil {
			if by[l.version] == nil {
				by[l.version] = map[string][]late{}
			}
			by[l.version][e.Site] = append(by[l.version][e.Site], *l)
		}
	}
	for _, v := range slices.Sorted(maps.Keys(by)) {
		out = append(out, turns(by[v])...)
	}
	return out
}

// turns takes one engine of each site after the other.
func turns(sites map[string][]late) (out []late) {
	n := 0
	for _, l := range sites {
		slices.SortFunc(l, func(a, b late) int { return strings.Compare(a.ID, b.ID) })
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
func (c *Conductor) atOnce(now int64, behind, all int, model string) int {
	most := (all*c.F.Most + 999) / 1000
	left := c.F.Within*78/100 - (now - c.named[model].at)
	if left <= c.each {
		return most
	}
	return min(most, max(c.F.Least, int((int64(behind)*c.each+left-1)/left)))
}
