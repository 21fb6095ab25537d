package sim

import (
	"sort"

	"violetthread/attempt"
	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/index"
)

// Engine is a simulated engine, or the store. It counts for the judge.
type Engine struct {
	*Host
	f       *Fleet
	store   bool
	inc     uint64
	kept    map[cacheindex.Key]made
	order   []cacheindex.Key
	events  []index.Event
	seq     uint64
	weights string
	turning string
	epoch   uint64
	runs    map[string]*run
	seen    []int64 // when runs began
	knocks  []int64 // when runs came, begun or refused
	room    int
	most    int
	breaks  bool   // it breaks every run off
	stuck   bool   // it does not change its weights
	slow    int64  // how much longer it takes to load others
	there   int64  // when it last could not be told anything
	named   string // weights that a start comes up with
}

const pieces = 5

// made tells whose run computed a part, under which weights and when, in true
// time: the judge goes by that and not by the names that the parts go by.
type made struct {
	group, weights string
	at             int64
}

func newEngine(f *Fleet, name, site string, store bool) *Engine {
	e := &Engine{f: f, store: store, room: 12, most: 120, named: "w1"}
	e.Host = f.W.NewHost(name, site, e.start)
	e.onDown = func() {
		for _, a := range e.order2() {
			e.runs[a].broke()
		}
	}
	return e
}

func (e *Engine) order2() []string {
	var as []string
	for a := range e.runs {
		as = append(as, a)
	}
	sort.Strings(as)
	return as
}

func (e *Engine) start() {
	e.inc = uint64(e.f.W.Rng.Int63())
	e.kept, e.order, e.events, e.seq, e.turning, e.epoch, e.runs = map[cacheindex.Key]made{}, nil, nil, 0, "", 0, map[string]*run{}
	e.weights = e.named
}

func (e *Engine) id() uint64 { return cacheindex.NodeID(e.Name, e.inc) }

func (e *Engine) tell(v index.Event) {
	e.seq++
	v.Seq = e.seq
	if e.f.W.Rng.Intn(1000) < e.f.MuteNews {
		return // lost
	}
	e.events = append(e.events, v)
	if len(e.events) > 400 {
		e.events = e.events[200:]
	}
}

func (e *Engine) keep(k cacheindex.Key, m made) {
	if _, ok := e.kept[k]; ok {
		return
	}
	e.kept[k] = m
	e.order = append(e.order, k)
	e.tell(index.Event{Added: true, Block: k, HasBlock: true})
	if len(e.order) > e.most {
		o := e.order[0]
		e.order = e.order[1:]
		m := e.kept[o]
		delete(e.kept, o)
		e.tell(index.Event{Removed: true, Block: o, HasBlock: true})
		if st := e.f.engine("store"); !e.store && st != nil {
			e.Send(st.Host, func() { st.keep(o, m) })
		}
	}
}

func (e *Engine) keeps() []cacheindex.Key { return append([]cacheindex.Key(nil), e.order...) }

func (e *Engine) report(inc, after uint64) index.Report {
	r := index.Report{Incarnation: e.inc, Weights: e.weights, Running: len(e.runs), Capacity: e.room, LastSeq: e.seq}
	if e.turning != "" {
		r.Capacity = 0
	}
	if inc == e.inc {
		for _, v := range e.events {
			if v.Seq > after {
				r.Events = append(r.Events, v)
			}
		}
	}
	return r
}

// turn changes weights once what runs has ended.
func (e *Engine) turn(name string, epoch uint64) {
	if epoch < e.epoch || e.stuck {
		return
	}
	e.epoch = epoch
	if name == e.weights && e.turning == "" || name == e.turning {
		return
	}
	first := e.turning == ""
	e.turning = name
	if first {
		e.After(800_000+e.slow, e.load)
	}
}

func (e *Engine) load() {
	if len(e.runs) > 0 {
		e.After(10_000, e.load)
		return
	}
	if e.weights, e.turning = e.turning, ""; true {
		e.named = e.weights
	}
	for _, k := range e.order {
		e.tell(index.Event{Removed: true, Block: k, HasBlock: true})
	}
	e.kept, e.order = map[cacheindex.Key]made{}, nil
	e.f.W.Note("%s turned to %s", e.Name, e.weights)
}

// run is one attempt at an engine, with the wire between.
type run struct {
	f     *Fleet
	s     *send
	p     *Proxy
	a     dispatch.Action
	e     *Engine
	life  int
	plife int
	over  bool // the proxy's side knows its end
	heard bool
	gone  bool // cancelled
	ended bool // the engine's side is done with it
	out   int
	line  []func()
}

// reply carries a word from the engine to the proxy over the run's wire.
func (r *run) reply(d int64, f func()) {
	r.line = append(r.line, f)
	r.f.W.At(r.f.W.now+d, func() {
		r.p.run(r.plife, func() { // in the order sent, whatever the order of waking
			f := r.line[0]
			r.line = r.line[1:]
			f()
		})
	})
}

func (r *run) cut() bool {
	w := r.f.W
	return w.cut[[2]string{r.p.Name, r.e.Name}] || w.cut[[2]string{r.e.Name, r.p.Name}]
}

// watch notices that the far end is gone before it ever heard of the run.
func (r *run) watch() {
	if !r.over && (!r.e.up || r.e.life != r.life) && !r.cut() {
		r.broke()
	}
}

// broke tells the proxy that the wire broke off.
func (r *run) broke() {
	r.ended = true
	r.reply(500, func() { r.end(attempt.Interrupted, "engine-lost") })
}

func (r *run) end(s attempt.State, cause string) {
	if !r.over {
		r.over = true
		r.p.note(r.a, s, cause)
	}
}

// cancel is the proxy hanging up: the engine stops when it hears of it.
func (r *run) cancel() {
	r.gone = true
	r.over = true
	r.f.W.At(r.f.W.now+600, func() {
		if !r.ended && r.e.up && r.e.life == r.life && !r.cut() {
			r.stop()
		}
	})
}

func (r *run) stop() {
	r.ended = true
	delete(r.e.runs, r.a.AttemptID)
}

// begin is a run arriving at the engine.
func (e *Engine) begin(r *run) {
	a := r.a
	if r.gone || r.heard || r.life != e.life {
		return
	}
	e.knocks = append(e.knocks, e.f.W.now)
	r.heard = true // a wire does not repeat what it carries
	why := ""
	switch {
	case a.Grant.NodeID != e.id():
		why = "other-life"
	case a.Grant.FencingToken < e.epoch:
		why = "old-epoch"
		e.f.W.Wrong("two owners' orders", "%s got a run under epoch %d after %d", e.Name, a.Grant.FencingToken, e.epoch)
	case a.Weights != e.weights || e.turning != "":
		why = "other-weights"
	case len(e.runs) >= e.room:
		why = "busy"
	}
	if why != "" {
		r.reply(400, func() { r.end(attempt.NotStarted, why) })
		return
	}
	e.epoch = a.Grant.FencingToken
	e.runs[a.AttemptID] = r
	e.f.judge.ran(e, r)
	e.seen = append(e.seen, e.f.W.now)
	if e.breaks {
		e.After(5_000, func() {
			r.stop()
			r.broke()
		})
		return
	}
	fresh := made{r.s.group, a.Weights, e.f.W.now}
	reused := fresh
	have := 0
	for i := len(a.Chain) - 1; i >= 0; i-- {
		if m, ok := e.kept[a.Chain[i]]; ok {
			have, reused = i+1, m
			e.f.judge.reused(m, r)
			break
		}
	}
	own, vain := have, int64(0)
	if a.TransferBlock+1 > have {
		if e.f.SlowFrom[a.TransferAddr] {
			vain = a.TransferWaitUS // the bound on waiting, then a plain recompute
			e.f.Seen.InVain++
		} else if p := e.f.engine(a.TransferAddr); p != nil && p.up && !p.frozen && e.f.W.Rng.Intn(1000) >= e.f.HandFail && !e.f.W.cut[[2]string{e.Name, p.Name}] && !e.f.W.cut[[2]string{p.Name, e.Name}] {
			if m, ok := p.kept[a.Chain[a.TransferBlock]]; ok {
				e.f.judge.reused(m, r)
				have, reused = a.TransferBlock+1, m
			}
		}
	}
	e.f.Seen.Parts += len(a.Chain)
	e.f.Seen.Reused += have
	e.f.Seen.Taken += have - own
	r.reply(400, func() {
		if !r.over {
			r.p.note(a, attempt.Started, "")
		}
	})
	fill := vain + int64(len(a.Chain)-have)*4_000
	e.f.Seen.FirstUS += fill
	e.After(fill+1000, func() {
		if r.ended || r.life != e.life {
			return
		}
		for i, k := range a.Chain {
			if i < have {
				e.keep(k, reused)
			} else {
				e.keep(k, fresh)
			}
		}
		e.tell(index.Event{FinishedAttempt: a.AttemptID, RecomputedBytes: uint64(len(a.Chain) - have)})
		e.step(r)
	})
}

func (e *Engine) step(r *run) {
	if r.ended || r.life != e.life {
		return
	}
	if r.cut() {
		e.After(50_000, func() { e.step(r) }) // the wire's buffers fill; nothing moves
		return
	}
	if r.out < pieces {
		n := r.out
		r.out++
		r.reply(400, func() {
			if !r.over {
				r.p.out(r, n)
			}
		})
		e.After(int64(20_000+e.f.W.Rng.Intn(60_000))+r.s.pace, func() { e.step(r) })
		return
	}
	r.stop()
	r.reply(400, func() { r.end(attempt.Completed, "") })
}
