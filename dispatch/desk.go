// Package dispatch is a proxy's deciding part: tickets, claims, orders and the news
// of attempts go in; claims, dispatches and frames come out. It is pure, so the
// daemon, the simulator and a replay run the same code (design §6).
package dispatch

import (
	"slices"
	"strconv"

	"violetthread/attempt"
	"violetthread/fairqueue"
	"violetthread/hint"
	"violetthread/plan"
)

// Bounds on what a proxy may still rely on, in microseconds (docs/bounds.md).
const (
	PlanLimit  = 1_500_000 // older than this, nothing new is allowed
	PlanCut    = 4_000_000 // older than this, running streams are ended
	OrderLimit = 1_800_000 // older than this, an engine gets no new work
	claimWait  = 2_000_000
	TickEvery  = 20_000 // how often Tick is to be called
	lastingFor = 1_000_000
	hopeEvery  = 100_000
)

// Do names an act.
type Do uint8

// The acts.
const (
	DoClaim Do = iota + 1
	DoRelease
	DoStart
	DoCancel
	DoAccept
	DoEnd
)

// Act is something the adapters must carry out.
type Act struct {
	Do      Do
	Ref     uint64
	Group   string
	ID      string
	Nonce   string
	Claim   string // its key in the control state
	Attempt string
	// DoStart
	Order   Order
	Domain  string
	Weights string
	Kind    string
	Prompt  string
	Chain   []hint.Key
	Take    int // part to take from Peer, -1 for none
	Peer    uint64
	PeerAt  string
	WaitUS  int64
	Due     int64
	Until   int64 // past it, the dispatch must not begin any more
	// DoEnd
	Outcome attempt.Outcome
	Reason  string
	Back    int64 // when to come back, for what was refused
}

// Desk is not safe for concurrent use.
type Desk struct {
	name    string
	site    string
	inc     uint64
	plan    *plan.Compiled
	planAt  int64
	lanes   map[string]*lane
	byNode  map[uint64]*lane
	tickets map[uint64]*work
	q       *fairqueue.Queue
	budget  attempt.RetryBudget
	typical map[string]int64
	seq     uint64
	Counts  Counts
	imports []Import
	seen    map[string]*Seen
	lasting float64 // room, without what comes and goes
	ticks   int
}

// Counts are for vitals.
type Counts struct {
	Arrived, Done, Refused, Unknown, Attempts, Retries, Takes, Own, Claims uint64
}

// New makes a desk.
func New(name, site string, inc uint64) *Desk {
	return &Desk{name: name, site: site, inc: inc, lanes: map[string]*lane{}, byNode: map[uint64]*lane{},
		tickets: map[uint64]*work{}, q: fairqueue.NewQueue(), typical: map[string]int64{}, seen: map[string]*Seen{}}
}

// Plan takes in a plan that was known to be in force at time at.
func (d *Desk) Plan(now int64, p *plan.Compiled, at int64) []Act {
	if p == nil || d.plan != nil && p.Rev < d.plan.Rev {
		return nil // never back to an older one
	}
	fresh := d.plan == nil || p.Rev != d.plan.Rev
	d.plan = p
	d.planAt = max(d.planAt, at)
	if !fresh {
		return nil
	}
	d.budget.Permille = p.Limits.RetryPermille
	for g, x := range p.Groups {
		d.q.Share(g, x.Share)
	}
	var acts []Act
	for _, ref := range d.refs() {
		w := d.tickets[ref]
		if w == nil {
			continue
		}
		r := d.barred(w)
		if r == "" {
			r = d.rehome(w)
		}
		if r != "" && w.led.StopReason == "" {
			w.led.StopReason = r
			acts = append(acts, d.move(now, w)...)
		}
	}
	return acts
}

// refs lists the tickets in the order they came, so that a replay decides alike.
func (d *Desk) refs() []uint64 {
	rs := make([]uint64, 0, len(d.tickets))
	for r := range d.tickets {
		rs = append(rs, r)
	}
	slices.Sort(rs)
	return rs
}

// PlanHeld and PlanRev are the plan in force here.
func (d *Desk) PlanHeld() *plan.Compiled { return d.plan }

// PlanRev is its revision, 0 for none.
func (d *Desk) PlanRev() uint64 {
	if d.plan == nil {
		return 0
	}
	return d.plan.Rev
}

// PlanAge is how long ago the plan was known to be in force.
func (d *Desk) PlanAge(now int64) int64 {
	if d.plan == nil {
		return 1 << 50
	}
	return now - d.planAt
}

// Costs of moving and recomputing a part, by which engines are compared.
const (
	fillPerBlock = 4_000 // recompute one block
	takePerBlock = 700   // take one block from a peer
	takeFixed    = 2_000
	otherSite    = 1_000
	again        = 10_000_000 // an engine that this ticket was sent to before
)

// Rest after problems in a row doubles up to this; longer for an engine that can't
// be reached at all from here, since every try there is a retry for somebody.
const (
	restMost = 2_000_000
	restFar  = 6_000_000
)

// Tick ends what can't make its due any more and gives out free room.
func (d *Desk) Tick(now int64) []Act {
	var acts []Act
	cut := d.PlanAge(now) > PlanCut
	if r := float64(d.Room(now)); d.lasting == 0 || r == 0 {
		d.lasting = r
	} else {
		d.lasting += (r - d.lasting) * TickEvery / lastingFor
	}
	hopeless := map[uint64]bool{}
	if d.ticks++; d.ticks%(hopeEvery/TickEvery) == 0 && d.plan != nil {
		for _, id := range d.q.Hopeless(now, d.lasts(0)) {
			ref, _ := strconv.ParseUint(id, 10, 64)
			hopeless[ref] = true
		}
	}
	for _, ref := range d.refs() {
		w := d.tickets[ref]
		if w == nil {
			continue // ended by an earlier turn of this loop
		}
		switch {
		case w.led.Ended:
			if w.led.Claim == attempt.ClaimRequested && now-w.askAt > 30_000_000 {
				delete(d.tickets, w.Ref)
			}
			continue
		case cut:
			acts = append(acts, d.Stop(now, w.Ref, "plan-not-fresh")...)
		case now >= w.Due:
			acts = append(acts, d.Stop(now, w.Ref, "due-passed")...)
		case w.queued && hopeless[ref]:
			// Given up: answered now, not when its due is near (design §8).
			acts = append(acts, d.Stop(now, w.Ref, "due-unreachable")...)
		case w.led.Claim == attempt.ClaimRequested && now-w.askAt > claimWait:
			// The claim may yet be granted; this ticket will not use it, and it
			// stays taken, which errs on the safe side.
			w.led.Claim = attempt.ClaimUnknown
			acts = append(acts, d.move(now, w)...)
		case w.queued:
			acts = append(acts, d.move(now, w)...)
		}
	}
	d.sweep(now)
	return append(acts, d.pump(now)...)
}

// Load counts the tickets under way.
func (d *Desk) Load() int { return len(d.tickets) }
