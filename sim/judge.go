package sim

import (
	"encoding/json"
	"fmt"
	"slices"

	"violetthread/attempt"
	"violetthread/plan"
	"violetthread/quorum"
)

// The bounds of the brief, with what the judge allows for its own resolution.
const (
	boundPlan  = 2_000_000
	boundKey   = 5_000_000
	boundLeave = 3_000_000
	boundTurn  = 25_000_000
)

// judge knows what operators and the platform did and when, in true time, and
// compares what callers, engines and keepers show from the outside.
type judge struct {
	f       *Fleet
	acks    []ack
	taken   map[string]int64 // digest -> when its removal was acknowledged
	leaving map[string]int64 // engine -> when it showed as leaving
	weights string
	weighAt int64
	named   []naming
	sending string                    // weights that a plan on its way names
	walled  map[string][]span         // group -> when it was walled off
	gone    map[string][]span         // group -> when there was none of that name
	runs    map[string]map[string]int // ticket -> attempt -> 1
	done    map[string]int
	lastOK  int64
	onTold  func(*send, attempt.Outcome)
}

// naming is one naming of weights: when its plan was sent, and acknowledged.
type naming struct {
	name     string
	sent, at int64
}

type ack struct {
	at  int64
	rev uint64
}

func newJudge(f *Fleet) *judge {
	return &judge{f: f, taken: map[string]int64{}, leaving: map[string]int64{}, walled: map[string][]span{}, gone: map[string][]span{}, runs: map[string]map[string]int{}, done: map[string]int{}}
}

// inForce is the newest revision that must be in force everywhere by now.
func (j *judge) inForce(bound int64) uint64 {
	var r uint64
	for _, a := range j.acks {
		if j.f.W.now-a.at > bound {
			r = max(r, a.rev)
		}
	}
	return r
}

func (j *judge) allowed(s *send) {
	if r := j.inForce(boundPlan); s.rev < r {
		j.f.W.Wrong("old plan", "%s allowed %s/%s under revision %d, %d is in force", s.proxy.Name, s.group, s.id, s.rev, r)
	}
	j.key(s, "was allowed")
}

func (j *judge) key(s *send, what string) {
	if at, ok := j.taken[s.digest]; ok && j.f.W.now-at > boundKey {
		j.f.W.Wrong("key works", "%s/%s %s %d us after its key was taken away", s.group, s.id, what, j.f.W.now-at)
	} else if ok {
		j.f.Seen.WorstKey = max(j.f.Seen.WorstKey, j.f.W.now-at)
	}
}

func (j *judge) piece(s *send) { j.key(s, "got a piece") }

var onceKinds = map[string]bool{"tag": true, "confirmation": true}

func (j *judge) ran(e *Engine, r *run) {
	f := j.f
	f.Seen.Runs++
	s := r.s
	k := s.group + "/" + s.id
	if j.runs[k] == nil {
		j.runs[k] = map[string]int{}
	}
	j.runs[k][r.a.AttemptID]++
	if onceKinds[s.kind] && len(j.runs[k]) > 1 || j.runs[k][r.a.AttemptID] > 1 {
		f.W.Wrong("ran twice", "%s (%s): %v", k, s.kind, j.runs[k])
	}
	j.key(s, "began")
	if n, old := j.unheeded(r.a.Weights, boundTurn); old {
		f.W.Wrong("old weights served", "%s ran %s under %s, %d us after %s was named", e.Name, k, r.a.Weights, f.W.now-n.at, n.name)
	}
	if at, ok := j.leaving[e.Name]; ok {
		if f.W.now-at > boundLeave {
			f.W.Wrong("leaving", "%s got work %d us after it showed as leaving", e.Name, f.W.now-at)
		}
		f.Seen.WorstLeave = max(f.Seen.WorstLeave, f.W.now-at)
	}
	if s.ended {
		f.W.Wrong("ran after its end", "%s attempt %s", k, r.a.AttemptID)
	}
}

// span is when something surely held: from the acknowledgement of the plan that
// began it to the sending of the one that ended it.
type span struct{ from, to int64 }

const onAndOn = 1 << 60

// between reports whether a span lies between the making of a part and its use,
// with the time that a plan has to come into force.
func (j *judge) between(ss []span, m made) bool {
	for _, x := range ss {
		if x.from > 0 && m.at < x.to && j.f.W.now > x.from+boundPlan {
			return true
		}
	}
	return false
}

// behind reports whether a group was surely walled off at a time.
func (j *judge) behind(g string, at, since int64) bool {
	for _, x := range j.walled[g] {
		if x.from > 0 && x.from+since <= at && at < x.to {
			return true
		}
	}
	return false
}

// reused judges a run that goes on from a kept part, by who made it and by what
// has been walled off, removed or named since, in true time.
func (j *judge) reused(m made, r *run) {
	w, g := j.f.W, r.s.group
	switch {
	case m.weights != r.a.Weights:
		w.Wrong("older weights' cache", "%s/%s ran under %s on cache made under %s", g, r.s.id, r.a.Weights, m.weights)
	case len(j.named) > 0 && j.weights == m.weights && m.at < j.named[len(j.named)-1].sent && w.now > j.weighAt+boundPlan:
		w.Wrong("older weights' cache", "%s/%s ran on cache of %d, %s was named again at %d", g, r.s.id, m.at, m.weights, j.named[len(j.named)-1].sent)
	case m.group != g && (j.between(j.walled[m.group], m) || j.between(j.walled[g], m)):
		w.Wrong("wall crossed", "%s/%s ran on cache that %s made at %d; walls since: %v %v", g, r.s.id, m.group, m.at, j.walled[m.group], j.walled[g])
	case m.group == g && j.between(j.gone[g], m) && (j.behind(g, m.at, 0) || j.behind(g, w.now, boundPlan)):
		w.Wrong("wall crossed", "%s/%s ran on cache that another group of that name made at %d", g, r.s.id, m.at)
	}
}

func (j *judge) told(s *send, o attempt.Outcome, why string) {
	f := j.f
	k := s.group + "/" + s.id
	if j.onTold != nil {
		j.onTold(s, o)
	}
	switch o {
	case attempt.Done:
		f.Seen.Done++
		j.lastOK = f.W.now
		if s.pieces != pieces {
			f.W.Wrong("looks whole", "%s was done with %d pieces", k, s.pieces)
		}
		if j.done[k]++; onceKinds[s.kind] && j.done[k] > 1 {
			f.W.Wrong("done twice", "%s", k)
		}
	case attempt.Rejected:
		f.Seen.Refused++
		if s.pieces > 0 {
			f.W.Wrong("refused late", "%s was refused after a piece", k)
		}
		for _, a := range s.attempts {
			if j.runs[k][a] > 0 {
				f.W.Wrong("refused and ran", "%s (%s): attempt %s ran", k, why, a)
			}
		}
	default:
		f.Seen.Unknown++
	}
	if f.W.now > s.due+500_000 && s.proxy.up && !s.proxy.frozen && f.W.now > s.proxy.woke+100_000 {
		f.W.Wrong("late word", "%s was told %s %d us after its due", k, o, f.W.now-s.due)
	}
}

// step holds what must be true at every instant.
func (j *judge) step() {
	f := j.f
	if f.W.Steps%32 != 0 {
		return
	}
	owner := map[string]string{}
	for _, c := range f.Custodians {
		if !c.up {
			continue
		}
		for _, d := range c.k.HeldRoles(c.Clock()) {
			if o := owner[d]; o != "" {
				f.W.Wrong("two owners", "%s: %s and %s", d, o, c.Name)
			}
			owner[d] = c.Name
		}
	}
	if f.W.Steps%256 == 0 {
		for _, e := range f.Engines {
			j.turned(e)
		}
	}
}

// unheeded finds the oldest naming that an engine running these weights has not
// followed for so long: neither it nor any later one names them.
func (j *judge) unheeded(weights string, bound int64) (naming, bool) {
	for i, n := range j.named {
		if j.f.W.now-n.at <= bound {
			break
		}
		if !slices.ContainsFunc(j.named[i:], func(m naming) bool { return m.name == weights }) && j.sending != weights {
			return n, true
		}
	}
	return naming{}, false
}

// turned holds each engine to each naming by itself, from when the engine could
// last be told: up, not frozen, listed and not leaving. One that refuses to turn is
// out of our hands; that it serves nothing any more is judged at every run.
func (j *judge) turned(e *Engine) {
	f := j.f
	if e.store {
		return
	}
	if !e.up || e.frozen || e.stuck || j.leaving[e.Name] != 0 || f.W.cutOff(e.Host) {
		e.there = f.W.now
		return
	}
	for i, n := range j.named {
		if slices.ContainsFunc(j.named[i:], func(m naming) bool { return m.name == e.weights }) || j.sending == e.weights {
			continue
		}
		took := f.W.now - max(n.at, e.there)
		f.Seen.WorstTurn = max(f.Seen.WorstTurn, took)
		if took > boundTurn {
			f.W.Wrong("old weights", "%s runs %s %d us after %s was named", e.Name, e.weights, f.W.now-n.at, n.name)
		}
		return
	}
}

// Groups of a simulated deployment; the walled ones share nothing.
var simGroups = []string{"desk", "east", "west", "walled"}

func simKey(g string, n int) string { return plan.KeyDigest(fmt.Sprintf("%s-%d", g, n)) }

// Script is what operators and the platform do on a day.
type Script struct {
	f       *Fleet
	op      *Host
	keys    map[string]int // group -> number of its present key
	open    map[string]bool
	gone    map[string]bool
	weights int
	rev     uint64
	busy    bool
	n       int
}

// NewScript puts a first plan in force and keeps operators at work.
func NewScript(f *Fleet) *Script {
	s := &Script{f: f, keys: map[string]int{}, open: map[string]bool{"desk": true, "east": true, "west": true}, gone: map[string]bool{}, weights: 1}
	f.judge.walled["walled"] = []span{{1, onAndOn}}
	s.op = f.W.NewHost("operator", "north", func() {})
	s.op.Start()
	return s
}

func (s *Script) plan() []byte {
	s.n++
	p := plan.Plan{Weights: fmt.Sprint("w", s.weights), Groups: map[string]plan.Group{}, Kinds: map[string]plan.Kind{
		"check":        {DueUS: 8_000_000, TypicalUS: 300_000},
		"confirmation": {DueUS: 6_000_000, TypicalUS: 300_000, Once: true},
		"tag":          {DueUS: 5_000_000, TypicalUS: 250_000, Once: true},
	}, Notes: map[string]any{"n": s.n}}
	for i, g := range simGroups {
		if s.gone[g] {
			continue
		}
		p.Groups[g] = plan.Group{Share: float64(4 - i), Isolated: !s.open[g], Keys: []string{simKey(g, s.keys[g])}}
	}
	b, _ := json.Marshal(p)
	if _, fs := plan.Parse(b); len(fs) > 0 {
		s.f.W.Wrong("plan", "%v", fs)
	}
	return b
}

// Put sends a plan and tells the judge when it was acknowledged.
func (s *Script) Put(then func()) {
	if s.busy {
		return
	}
	s.busy = true
	b := s.plan()
	var try func(i int)
	again := func(i int) { s.op.After(50_000, func() { try(i + 1) }) }
	try = func(i int) {
		s.ask(i, quorum.Operation{Type: quorum.OpGet, Key: planKey}, again, func(at quorum.Result) {
			v, err := plan.Encode(at.Value, b, at.Revision+1)
			if err != nil {
				s.f.W.Wrong("plan", "%v", err)
				return
			}
			s.ask(i, quorum.Operation{Type: quorum.OpPut, Key: planKey, Value: v, ExpectedRevision: at.Revision}, again, func(a quorum.Result) {
				s.busy = false
				s.f.judge.acks = append(s.f.judge.acks, ack{s.f.W.now, a.Revision})
				s.f.Seen.PlanAcks++
				if a.Revision <= s.rev {
					s.f.W.Wrong("lost plan", "revision %d was given after %d", a.Revision, s.rev)
				}
				s.rev = a.Revision
				if then != nil {
					then()
				}
			})
		})
	}
	try(s.f.W.Rng.Intn(4))
}

// ask carries an operator's operation to a control node.
func (s *Script) ask(i int, op quorum.Operation, no func(int), yes func(quorum.Result)) {
	r := s.f.Core.Nodes[i%len(s.f.Core.Nodes)] // an operator tries all that ever were
	Call(s.op, r.Host, op, 1_500_000, func(q quorum.Operation, rep func(quorum.Result)) { r.Op(q, 0, rep) },
		func(a quorum.Result) {
			if a.Status != quorum.StatusDone {
				no(i)
				return
			}
			yes(a)
		}, func() { no(i) })
}

// TakeKey replaces a group's key; the old one must stop working.
func (s *Script) TakeKey(g string) {
	if s.busy {
		return
	}
	old := simKey(g, s.keys[g])
	s.keys[g]++
	s.Put(func() {
		s.f.judge.taken[old] = s.f.W.now
		s.f.Seen.Revoked++
		s.f.W.Note("key of %s taken", g)
	})
}

// Wall walls a group off, or opens it.
func (s *Script) Wall(g string) {
	if s.busy || s.gone[g] {
		return
	}
	s.open[g] = !s.open[g]
	s.spell(s.f.judge.walled, g, !s.open[g])
}

// Remove takes a group out of the plan, or puts one of that name in again.
func (s *Script) Remove(g string) {
	if s.busy || g == "desk" { // one group stays
		return
	}
	s.gone[g] = !s.gone[g]
	s.spell(s.f.judge.gone, g, s.gone[g])
}

// spell puts the plan in force and tells the judge what began or ended with it.
func (s *Script) spell(m map[string][]span, g string, begins bool) {
	if n := len(m[g]); !begins && n > 0 {
		m[g][n-1].to = s.f.W.now
	}
	if begins {
		m[g] = append(m[g], span{0, onAndOn}) // from its acknowledgement on
	}
	s.Put(func() {
		if n := len(m[g]); begins {
			m[g][n-1].from = s.f.W.now
		}
		s.f.Seen.Walls++
		s.f.W.Note("walls moved: %s, open %v, gone %v", g, s.open[g], s.gone[g])
	})
}

// Name names new weights, and now and then those of before.
func (s *Script) Name() {
	if s.busy {
		return
	}
	if s.weights > 1 && s.f.W.Rng.Intn(3) == 0 {
		s.weights--
	} else {
		s.weights++
	}
	n, sent := fmt.Sprint("w", s.weights), s.f.W.now
	s.f.judge.sending = n
	s.Put(func() {
		s.f.judge.named = append(s.f.judge.named, naming{n, sent, s.f.W.now})
		s.f.judge.weights, s.f.judge.weighAt = n, s.f.W.now
		s.f.Seen.Turned++
		s.f.W.Note("weights %s named", n)
	})
}

// Leave marks an engine as leaving, and lists it again later.
func (s *Script) Leave(n string, back int64) {
	f := s.f
	mark := func(v bool) {
		for i := range f.listing {
			if f.listing[i].Name == n {
				f.listing[i].Leaving = v
			}
		}
	}
	if f.judge.leaving[n] != 0 {
		return
	}
	mark(true)
	f.judge.leaving[n] = f.W.now
	f.Seen.Left++
	f.W.Note("%s leaving", n)
	f.W.At(f.W.now+back, func() {
		mark(false)
		delete(f.judge.leaving, n)
	})
}
