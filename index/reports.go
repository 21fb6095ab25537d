package index

import (
	"fmt"
	"slices"
	"sort"

	"violetthread/hint"
)

// Event is one thing an engine told.
type Event struct {
	Seq     uint64   `json:"Seq"`
	Keep    bool     `json:"Keep"`
	Drop    bool     `json:"Drop"`
	Ran     string   `json:"Ran"`
	Filled  uint64   `json:"Filled"`
	Part    hint.Key `json:"Part"`
	HasPart bool     `json:"HasPart"`
}

// Report is what an engine told of itself.
type Report struct {
	Inc     uint64  `json:"Inc"`
	Weights string  `json:"Weights"`
	Running int     `json:"Running"`
	Queue   int     `json:"Queue"`
	Room    int     `json:"Room"`
	SlowUS  int64   `json:"SlowUS"`
	Last    uint64  `json:"Last"`
	Events  []Event `json:"Events"`
}

type engine struct {
	Listed
	inc, id   uint64
	seq       uint64
	known     bool // keeps are complete up to seq
	keeps     map[hint.Key]bool
	weights   string
	room      int
	running   int
	queue     int
	slow      int64
	at        int64 // of the newest report
	turnAt    int64 // when it was last told to change weights
	grades    *hint.Grades
	pending   map[string]pendingImport
	suspect   float64 // problems seen by proxies, fading
	suspectAt int64
}

type pendingImport struct {
	Import
	at int64
}

// Poll says where to ask an engine for its report, and from which event on.
type Poll struct {
	Engine string `json:"Engine"`
	Addr   string `json:"Addr"`
	Epoch  uint64 `json:"Epoch"`
	Inc    uint64 `json:"Inc"`
	After  uint64 `json:"After"`
	Whole  bool   `json:"Whole"` // its keeps must be read whole first
}

// Polls lists the engines to ask now: those owned here, and those of others that are
// only asked for a sign of life (Epoch 0).
func (k *Keeper) Polls(now int64) []Poll {
	var ps []Poll
	probes := k.probes(now)
	for n, l := range k.listing {
		ep, ok := k.Holds(now, EngineDuty(n))
		if !ok {
			if probes[n] {
				ps = append(ps, Poll{Engine: n, Addr: l.Addr})
			}
			continue
		}
		e := k.engines[n]
		if e == nil {
			e = &engine{Listed: l, keeps: map[hint.Key]bool{}, grades: hint.NewGrades(), pending: map[string]pendingImport{}}
			k.engines[n] = e
		}
		ps = append(ps, Poll{n, l.Addr, ep, e.inc, e.seq, !e.known})
	}
	sort.Slice(ps, func(i, j int) bool { return ps[i].Engine < ps[j].Engine })
	k.asked(now, ps)
	return ps
}

// Whole takes in all that an engine keeps, as of its event seq.
func (k *Keeper) Whole(now int64, name string, inc, seq uint64, parts []hint.Key) {
	e := k.engines[name]
	if _, ok := k.Holds(now, EngineDuty(name)); e == nil || !ok {
		return
	}
	k.Counts.Resyncs++
	k.reborn(e, inc)
	now2 := map[hint.Key]bool{}
	for _, p := range parts {
		now2[p] = true
		k.keep(e, p)
	}
	for p := range e.keeps {
		if !now2[p] {
			k.drop(e, p)
		}
	}
	e.seq, e.known = seq, true
}

// reborn makes sure that what an engine's former life kept is forgotten.
func (k *Keeper) reborn(e *engine, inc uint64) {
	if e.inc == inc {
		return
	}
	k.forget(e)
	e.inc, e.id, e.seq, e.known = inc, hint.NodeID(e.Name, inc), 0, false
	e.pending = map[string]pendingImport{}
}

func (k *Keeper) forget(e *engine) {
	for p := range e.keeps {
		k.drop(e, p)
	}
}

// Reported takes in an engine's report. A gap makes its keeps be read anew.
func (k *Keeper) Reported(now, asked int64, name string, r Report) {
	k.answered(asked, name)
	e := k.engines[name]
	if _, ok := k.Holds(now, EngineDuty(name)); e == nil || !ok || asked < e.at {
		return
	}
	k.reborn(e, r.Inc)
	e.weights, e.running, e.queue, e.room, e.slow, e.at = r.Weights, r.Running, r.Queue, r.Room, r.SlowUS, asked
	for _, v := range r.Events {
		if v.Seq <= e.seq {
			continue // repeated
		}
		if v.Seq != e.seq+1 {
			e.known = false
			break
		}
		e.seq = v.Seq
		k.event(now, e, v)
	}
	if r.Last > e.seq && len(r.Events) == 0 {
		e.known = false
	}
}

func (k *Keeper) event(now int64, e *engine, v Event) {
	switch {
	case v.Keep && v.HasPart:
		k.keep(e, v.Part)
	case v.Drop && v.HasPart:
		k.drop(e, v.Part)
	case v.Ran != "":
		i, ok := e.pending[v.Ran]
		if !ok {
			return
		}
		delete(e.pending, v.Ran)
		good := int(v.Filled) <= i.Total-len(i.Parts)
		e.grades.Learn(now, i.Peer, good)
		if good {
			k.Counts.HandOK++
		} else {
			k.Counts.HandBad++
		}
	}
}

func (k *Keeper) keep(e *engine, p hint.Key) {
	if !e.keeps[p] {
		e.keeps[p] = true
		k.tell(hint.News{Key: p, Node: e.id, Op: hint.Load})
	}
}

func (k *Keeper) drop(e *engine, p hint.Key) {
	if e.keeps[p] {
		delete(e.keeps, p)
		k.tell(hint.News{Key: p, Node: e.id, Op: hint.Drop})
	}
}

func (k *Keeper) tell(n hint.News) {
	k.Counts.Told++
	s := uint16(n.Key.Shard(Shards))
	for _, f := range k.holds {
		if slices.Contains(f.shards, s) {
			f.box.Add(n)
			k.Counts.NewsOut++
		}
	}
}

// Engine is an engine as this custodian sees it, for operators.
type Engine struct {
	Name, Addr, Site, Weights string
	Epoch                     uint64
	Leaving, Store, Known     bool
	Running, Queue, Room      int
	Kept                      int
	ReportAge                 int64
	HandOver                  map[string]int
}

// Engines lists the engines owned now.
func (k *Keeper) Engines(now int64) []Engine {
	var out []Engine
	for n, e := range k.engines {
		if ep, ok := k.Holds(now, EngineDuty(n)); ok {
			g := map[string]int{}
			for _, p := range e.grades.Known() {
				g[fmt.Sprintf("%016x", p)] = e.grades.Worth(now, p)
			}
			out = append(out, Engine{n, e.Addr, e.Site, e.weights, ep, e.Leaving, e.Store, e.known, e.running, e.queue, e.room, len(e.keeps), now - e.at, g})
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}
