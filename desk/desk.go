// Package desk is a proxy's deciding part: tickets, claims, orders and the news
// of attempts go in; claims, dispatches and frames come out. It is pure, so the
// daemon, the simulator and a replay run the same code (design §6).
package desk

import (
	"slices"
	"strconv"

	"violetthread/blotter"
	"violetthread/clearing"
	"violetthread/cue"
	"violetthread/plan"
	"violetthread/settle"
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

// Ticket is a call that passed the checks at the door.
type Ticket struct {
	Ref     uint64 // this proxy's own number for it
	ID      string
	Own     bool   // the id is the caller's own, and may come again
	Era     uint64 // that the caller named with it
	Group   string
	Kind    string
	Digest  string // of the key it came with
	Due     int64  // time since boot
	Prompt  string
	Chain   []cue.Key // under the plan's weights and the group's domain
	Hints   []cue.Hint
	Weights string
	Domain  string
}

// Order is an engine as its owner lets this proxy use it.
type Order struct {
	Engine, Addr, Site, Weights string
	Store                       bool
	ID, Epoch                   uint64
	Room, Queue                 int
	SlowUS                      int64
	Age                         int64
	Grades                      map[uint64]int
}

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
	Chain   []cue.Key
	Take    int // part to take from Peer, -1 for none
	Peer    uint64
	PeerAt  string
	WaitUS  int64
	Due     int64
	Until   int64 // past it, the dispatch must not begin any more
	// DoEnd
	Outcome blotter.Outcome
	Reason  string
	Back    int64 // when to come back, for what was refused
}

type lane struct {
	Order
	at      int64 // when the order was known good
	active  int
	problem int   // in a row
	until   int64 // rests until then
}

type work struct {
	Ticket
	led    blotter.Ledger
	nonce  string
	lane   *lane
	queued bool
	taken  bool
	askAt  int64
	cost   int64
	began  int64
	tried  map[string]bool
	moved  bool // to another domain since it came: its chain is of the former one
}

// claim is the key of the ticket's claim.
func (w *work) claim() string { return ClaimKey(w.Era, w.Group, w.ID) }

// ClaimKey names a once-only ticket of an era in the control state.
func ClaimKey(era uint64, group, id string) string { return settle.ClaimKey(era, group+"/"+id) }

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
	q       *clearing.Queue
	budget  blotter.Budget
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

// Import is an order to take a part from a peer.
type Import struct {
	Attempt, Engine string
	Peer            uint64
	Total           int // parts of the whole prompt
	Parts           []cue.Key
}

// Seen is how an engine's attempts went since last told.
type Seen struct {
	Problems, Dones int
	FirstUS         int64
}

// New makes a desk.
func New(name, site string, inc uint64) *Desk {
	return &Desk{name: name, site: site, inc: inc, lanes: map[string]*lane{}, byNode: map[uint64]*lane{},
		tickets: map[uint64]*work{}, q: clearing.NewQueue(), typical: map[string]int64{}, seen: map[string]*Seen{}}
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
		if r != "" && w.led.Stop == "" {
			w.led.Stop = r
			acts = append(acts, d.move(now, w)...)
		}
	}
	return acts
}

// barred tells why a ticket may not go on under the plan in force.
func (d *Desk) barred(w *work) string {
	if g, ok := d.plan.GroupOf(w.Digest); !ok || g != w.Group {
		return "key-taken"
	}
	k, ok := d.plan.Kinds[w.Kind]
	if !ok || !d.plan.Allowed(w.Group, w.Kind) {
		return "kind-taken"
	}
	if k.Once && !w.led.Once && len(w.led.Attempts) == 0 {
		d.once(w)
		if w.Own && w.Era == 0 {
			return "era-missing" // its kind became a once-only one while it waited
		}
	}
	return ""
}

// once makes a ticket run once at most. An id that this proxy made up can't come
// again, so that it needs no claim: the ledger alone sees to it.
func (d *Desk) once(w *work) {
	w.led.Once = true
	if !w.Own {
		w.led.Claim = blotter.Needless
	}
}

// rehome gives a ticket the domain that its group has now. One whose order is out
// and not yet begun is stopped: it must not begin on what was kept before a wall
// moved. One that has begun goes on; what it needed of the cache it has.
func (d *Desk) rehome(w *work) string {
	if d.plan.Domain(w.Group, w.Weights) == w.Domain {
		return ""
	}
	a, live := w.led.Live()
	if live && a.State == blotter.Sent {
		return "wall-changed"
	}
	w.Domain, w.Hints, w.moved = d.plan.Domain(w.Group, w.Weights), nil, true
	return ""
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

// Orders takes in the standing orders of the engines that one custodian owns.
func (d *Desk) Orders(now int64, os []Order) []Act {
	for _, o := range os {
		l := d.lanes[o.Engine]
		if l == nil {
			l = &lane{}
			d.lanes[o.Engine] = l
		}
		if o.Epoch < l.Epoch {
			continue // a former owner's; words of one owner come in order
		}
		if l.ID != o.ID {
			delete(d.byNode, l.ID)
			l.problem, l.until = 0, 0
		}
		l.Order, l.at = o, now-o.Age
		d.byNode[o.ID] = l
	}
	return d.pump(now)
}

// sweep drops engines that are long unheard of.
func (d *Desk) sweep(now int64) {
	for n, l := range d.lanes {
		if now-l.at > 60_000_000 && l.active == 0 {
			delete(d.lanes, n)
			delete(d.byNode, l.ID)
		}
	}
}

// Want tells the room this proxy asks for, by group, and what it uses.
func (d *Desk) Want() (want map[string]int, active int) {
	for _, l := range d.lanes {
		active += l.active
	}
	return d.q.Wants(), active
}

// Report hands over what owners should learn, and forgets it.
func (d *Desk) Report() ([]Import, map[string]*Seen) {
	i, s := d.imports, d.seen
	d.imports, d.seen = nil, map[string]*Seen{}
	return i, s
}

// Room is what this proxy may use in all, at this moment.
func (d *Desk) Room(now int64) int {
	n := 0
	for _, l := range d.lanes {
		if !l.Store && now-l.at <= OrderLimit {
			n += l.Room
		}
	}
	return n
}

// lasts is the room to count on: a moment's gap, such as when an engine changes
// its owner, is no reason to refuse, and a moment's surplus none to allow.
func (d *Desk) lasts(room int) int {
	if d.lasting == 0 {
		return room
	}
	return max(1, int(d.lasting+0.5))
}

func (d *Desk) cost(kind string) int64 {
	if c := d.typical[kind]; c > 0 {
		return c
	}
	if c := d.plan.Kinds[kind].TypicalUS; c > 0 {
		return c
	}
	return 500_000
}

// Refusal is why a ticket was turned away at the door.
type Refusal struct {
	Reason string
	Back   int64
}

// Arrive takes a ticket in, or refuses it at once.
func (d *Desk) Arrive(now int64, t Ticket) ([]Act, *Refusal) {
	d.Counts.Arrived++
	if a := d.PlanAge(now); a > PlanLimit {
		return nil, &Refusal{"plan-not-fresh", 1_000_000}
	}
	w := &work{Ticket: t, tried: map[string]bool{}}
	if r := d.barred(w); r != "" {
		return nil, &Refusal{r, 0}
	}
	w.cost = d.cost(t.Kind)
	if w.led.Once = false; d.plan.Kinds[t.Kind].Once {
		d.once(w)
	}
	room := d.Room(now)
	if room == 0 {
		return nil, &Refusal{"no-engine", 1_000_000}
	}
	if d.q.Waiting(t.Group) >= d.plan.Limits.QueuePerGroup {
		return nil, &Refusal{"queue-full", w.cost}
	}
	// A quarter is kept back for room that goes and runs that take longer.
	if ahead := d.q.Ahead(t.Group, t.Due, d.lasts(room)); now+ahead*5/4+w.cost*2 > t.Due && (ahead > 0 || now+w.cost > t.Due) {
		return nil, &Refusal{"due-unreachable", max(ahead, 100_000)}
	}
	d.budget.Earn()
	d.seq++
	w.nonce = d.name + "/" + strconv.FormatUint(d.inc, 36) + "/" + strconv.FormatUint(d.seq, 36)
	d.tickets[t.Ref] = w
	d.line(w)
	return append([]Act{{Do: DoAccept, Ref: t.Ref, ID: t.ID}}, d.pump(now)...), nil
}

func (d *Desk) line(w *work) {
	d.q.Push(w.Group, clearing.Item{ID: strconv.FormatUint(w.Ref, 10), Due: w.Due, Cost: w.cost})
	w.queued = true
}

func (d *Desk) unline(w *work) {
	if w.queued {
		d.q.Remove(w.Group, strconv.FormatUint(w.Ref, 10))
		w.queued = false
	}
}

// pump gives free room to waiting tickets, group by group.
func (d *Desk) pump(now int64) []Act {
	var acts []Act
	if d.plan == nil || d.PlanAge(now) > PlanLimit {
		return nil
	}
	room := d.Room(now)
	for d.q.Len() > 0 {
		if !d.anyFree(now) {
			break
		}
		g, it, ok := d.q.Next(func(g string, busy int) bool {
			c := d.plan.Groups[g].Ceiling
			return c == 0 || busy*1000 < max(c*room, 1000)
		})
		if !ok {
			break
		}
		ref, _ := strconv.ParseUint(it.ID, 10, 64)
		w := d.tickets[ref]
		if w == nil {
			d.q.Remove(g, it.ID)
			continue
		}
		// The lane is held while the claim is asked for, so that a granted
		// claim finds its room.
		if l := d.pick(now, w); l == nil {
			break
		} else {
			w.lane = l
			l.active++
		}
		d.q.Take(g, it.ID)
		w.queued, w.taken = false, true
		acts = append(acts, d.move(now, w)...)
	}
	return acts
}

func (d *Desk) usable(now int64, l *lane) bool {
	return !l.Store && now-l.at <= OrderLimit && l.active < l.Room && now >= l.until
}

func (d *Desk) anyFree(now int64) bool {
	for _, l := range d.lanes {
		if d.usable(now, l) {
			return true
		}
	}
	return false
}

// Costs of moving and recomputing a part, by which engines are compared.
const (
	fillPerBlock = 4_000 // recompute one block
	takePerBlock = 700   // take one block from a peer
	takeFixed    = 2_000
	otherSite    = 1_000
	again        = 10_000_000 // an engine that this ticket was sent to before
)

// pick compares the usable engines by when a run would get going: what lies
// before it there, plus what must be recomputed or taken of its prompt.
func (d *Desk) pick(now int64, w *work) *lane {
	var best *lane
	var bc int64
	for _, l := range d.lanes {
		if !d.usable(now, l) {
			continue
		}
		take, _, _ := d.source(l, w)
		c := int64(l.active)*3_000 + int64(l.Queue)*2_000 + l.SlowUS/4 + int64(l.problem)*20_000
		own := d.own(l, w)
		c += int64(len(w.Chain)-max(own, take)-1) * fillPerBlock
		if take > own {
			c += takeFixed + int64(take-own)*takePerBlock
		}
		if l.Site != d.site {
			c += otherSite
		}
		if w.tried[l.Engine] {
			c += again // rather than hold up all that wait behind it
		}
		if best == nil || c < bc || c == bc && l.Engine < best.Engine {
			best, bc = l, c
		}
	}
	return best
}

// own is the longest part hinted to be at the lane's engine itself, or -1.
func (d *Desk) own(l *lane, w *work) int {
	if l.Weights != w.Weights {
		return -1
	}
	for _, h := range w.Hints { // longest first
		if h.Node == l.ID {
			return h.Part
		}
	}
	return -1
}

// source is the longest part that the lane's engine may take from elsewhere:
// its holder must be known under current orders, and the link worth trying.
func (d *Desk) source(l *lane, w *work) (part int, node uint64, at string) {
	if l.Weights != w.Weights {
		return -1, 0, ""
	}
	for _, h := range w.Hints {
		p := d.byNode[h.Node]
		if h.Node == l.ID || p == nil || !p.Store && p.Weights != w.Weights {
			continue
		}
		g, ok := l.Grades[h.Node]
		if ok && !cue.Usable(g) {
			continue
		}
		return h.Part, h.Node, p.Addr
	}
	return -1, 0, ""
}

func (d *Desk) facts(now int64, w *work) blotter.Facts {
	need := int64(1000)
	if w.queued {
		need = w.cost
	}
	return blotter.Facts{Time: now+need < w.Due, Budget: d.budget.Has()}
}

// move carries out what the ledger says comes next.
func (d *Desk) move(now int64, w *work) []Act {
	if d.plan != nil && w.led.Stop == "" {
		if len(w.led.Attempts) == 0 && d.PlanAge(now) > PlanLimit {
			w.led.Stop = "plan-not-fresh"
		}
	}
	m := w.led.Next(d.facts(now, w))
	switch m.Do {
	case blotter.Ask:
		if w.lane == nil {
			return nil // still waiting its turn
		}
		w.led.Claim, w.askAt = blotter.Asked, now
		d.Counts.Claims++
		return []Act{{Do: DoClaim, Ref: w.Ref, Group: w.Group, ID: w.ID, Nonce: w.nonce, Claim: w.claim()}}
	case blotter.Assign:
		return d.assign(now, w, m)
	case blotter.End:
		return d.end(now, w, m)
	}
	return nil
}

func (d *Desk) assign(now int64, w *work, m blotter.Move) []Act {
	if w.lane == nil {
		if w.queued {
			return nil
		}
		l := d.pick(now, w)
		if l == nil {
			if !w.taken {
				return nil
			}
			// Its place is given up; it lines up again, due first.
			d.q.Release(w.Group)
			w.taken = false
			d.line(w)
			return nil
		}
		w.lane = l
		l.active++
	}
	l := w.lane
	// Checked again at the moment of dispatch: the order may have aged, and the
	// machine may have slept, while the claim was on its way.
	if now-l.at > OrderLimit || d.PlanAge(now) > PlanLimit {
		d.leave(w)
		if d.PlanAge(now) > PlanLimit {
			w.led.Stop = "plan-not-fresh"
			return d.move(now, w)
		}
		return d.assign(now, w, m)
	}
	if m.Retry {
		d.budget.Spend()
		d.Counts.Retries++
	}
	d.Counts.Attempts++
	w.tried[l.Engine] = true
	w.began = now
	a := w.nonce + "." + strconv.Itoa(len(w.led.Attempts))
	w.led.Attempts = append(w.led.Attempts, blotter.Attempt{ID: a, Engine: l.Engine, State: blotter.Sent})
	act := Act{Do: DoStart, Ref: w.Ref, Group: w.Group, ID: w.ID, Attempt: a, Order: l.Order, Domain: w.Domain,
		Weights: l.Weights, Kind: w.Kind, Prompt: w.Prompt, Chain: w.Chain, Take: -1, Due: w.Due, WaitUS: d.plan.Limits.TakeWaitUS,
		Until: min(l.at+OrderLimit, d.planAt+PlanLimit, w.Due)}
	if l.Weights != w.Weights || w.moved {
		act.Domain = d.plan.Domain(w.Group, l.Weights)
		act.Chain = cue.Chain(act.Domain, l.Weights, w.Prompt)
		return []Act{act}
	}
	own := d.own(l, w)
	if own >= 0 {
		d.Counts.Own++
	}
	if part, node, at := d.source(l, w); part > own {
		act.Take, act.Peer, act.PeerAt = part, node, at
		d.Counts.Takes++
		d.imports = append(d.imports, Import{Attempt: a, Engine: l.Engine, Peer: node,
			Total: len(w.Chain), Parts: w.Chain[:part+1]})
	}
	return []Act{act}
}

func (d *Desk) leave(w *work) {
	if w.lane != nil {
		w.lane.active--
		w.lane = nil
	}
}

func (d *Desk) end(now int64, w *work, m blotter.Move) []Act {
	w.led.Ended = true
	var acts []Act
	if m.Cancel != "" {
		acts = append(acts, Act{Do: DoCancel, Ref: w.Ref, Attempt: m.Cancel})
	}
	if m.Release {
		acts = append(acts, Act{Do: DoRelease, Ref: w.Ref, Group: w.Group, ID: w.ID, Nonce: w.nonce, Claim: w.claim()})
	}
	switch m.Outcome {
	case blotter.Done:
		d.Counts.Done++
	case blotter.Refused:
		d.Counts.Refused++
	default:
		d.Counts.Unknown++
	}
	end := Act{Do: DoEnd, Ref: w.Ref, ID: w.ID, Outcome: m.Outcome, Reason: m.Reason}
	if m.Outcome == blotter.Refused {
		end.Back = max(100_000, d.q.Ahead(w.Group, w.Due, max(1, d.Room(now))))
	}
	acts = append(acts, end)
	d.unline(w)
	d.leave(w)
	if w.taken {
		d.q.Release(w.Group)
		w.taken = false
	}
	if w.led.Claim != blotter.Asked {
		delete(d.tickets, w.Ref)
	}
	return append(acts, d.pump(now)...)
}

// Claimed takes in the answer to a claim.
func (d *Desk) Claimed(now int64, ref uint64, c blotter.Claim) []Act {
	w := d.tickets[ref]
	if w == nil || w.led.Claim != blotter.Asked {
		return nil
	}
	w.led.Claim = c
	if w.led.Ended {
		delete(d.tickets, ref)
		if c == blotter.Held {
			return []Act{{Do: DoRelease, Ref: ref, Group: w.Group, ID: w.ID, Nonce: w.nonce, Claim: w.claim()}}
		}
		return nil
	}
	return d.move(now, w)
}

// Note takes in how far an attempt has come.
func (d *Desk) Note(now int64, ref uint64, attempt string, s blotter.State, cause string) []Act {
	w := d.tickets[ref]
	if w == nil || !w.led.Note(attempt, s, cause) {
		return nil
	}
	l := w.lane
	if l != nil {
		d.learn(now, l, w, s, cause)
	}
	if s == blotter.Began {
		return nil
	}
	d.leave(w)
	if s == blotter.Finished {
		t := now - w.began
		if o := d.typical[w.Kind]; o > 0 {
			t = o + (t-o)/8
		}
		d.typical[w.Kind] = max(t, 1000)
	}
	return append(d.move(now, w), d.pump(now)...)
}

// Rest after problems in a row doubles up to this; longer for an engine that can't
// be reached at all from here, since every try there is a retry for somebody.
const (
	restMost = 2_000_000
	restFar  = 6_000_000
)

func (d *Desk) learn(now int64, l *lane, w *work, s blotter.State, cause string) {
	e := d.seen[l.Engine]
	if e == nil {
		e = &Seen{}
		d.seen[l.Engine] = e
	}
	switch s {
	case blotter.Began:
		e.FirstUS = now - w.began
	case blotter.Finished:
		l.problem = 0
		e.Dones++
	default:
		if cause == "busy" {
			l.until = now + 20_000
			return
		}
		e.Problems++
		l.problem = min(l.problem+1, 7)
		most := int64(restMost)
		if cause == "unreachable" {
			most = restFar
		}
		l.until = now + min(int64(50_000)<<l.problem, most)
	}
}

// Out tells that a first byte of an answer is about to go to the caller. It
// reports whether it may: the attempt must still be the live one.
func (d *Desk) Out(ref uint64, attempt string) bool {
	w := d.tickets[ref]
	if w == nil || w.led.Ended {
		return false
	}
	if a, ok := w.led.Live(); !ok || a.ID != attempt {
		return false
	}
	w.led.Out = true
	return true
}

// Stop ends a ticket for a reason.
func (d *Desk) Stop(now int64, ref uint64, why string) []Act {
	w := d.tickets[ref]
	if w == nil || w.led.Ended || w.led.Stop != "" {
		return nil
	}
	w.led.Stop = why
	return d.move(now, w)
}

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
			if w.led.Claim == blotter.Asked && now-w.askAt > 30_000_000 {
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
		case w.led.Claim == blotter.Asked && now-w.askAt > claimWait:
			// The claim may yet be granted; this ticket will not use it, and it
			// stays taken, which errs on the safe side.
			w.led.Claim = blotter.Doubtful
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

// OrderAge is how old the order for an engine is, for operators and judges.
func (d *Desk) OrderAge(now int64, engine string) int64 {
	if l := d.lanes[engine]; l != nil {
		return now - l.at
	}
	return 1 << 50
}
