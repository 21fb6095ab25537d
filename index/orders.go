package index

import (
	"sort"

	"violetthread/dispatch"
	"violetthread/fairqueue"
	"violetthread/hint"
	"violetthread/plan"
)

// Import is an import that a proxy ordered.
type Import struct {
	Attempt string     `json:"Attempt"`
	Engine  string     `json:"Engine"`
	Peer    uint64     `json:"Peer"`
	Total   int        `json:"Total"`
	Parts   []hint.Key `json:"Parts"`
}

// Seen is how a proxy's attempts at an engine went.
type Seen struct {
	Engine   string `json:"Engine"`
	Problems int    `json:"Problems"`
	Dones    int    `json:"Dones"`
}

// Order is what one proxy may send one engine.
type Order struct {
	Listed
	ID      uint64         `json:"ID"`
	Epoch   uint64         `json:"Epoch"`
	Room    int            `json:"Room"`
	Weights string         `json:"Weights"`
	Queue   int            `json:"Queue"`
	SlowUS  int64          `json:"SlowUS"`
	Age     int64          `json:"Age"`
	Grades  map[uint64]int `json:"Grades"`
}

type proxy struct {
	site string
	want map[string]float64
	at   int64
}

// lately is a proxy's demand without its flicker: it rises at once and falls by
// an eighth of the way with each report, since room that is taken away from one
// proxy and given to another is used twice until the former's runs have ended.
// More than the whole fleet could run counts for nothing: among proxies of a group
// with too much the longer line must not get more and more.
func (p *proxy) lately(now map[string]int, most int) map[string]float64 {
	out := map[string]float64{}
	if p != nil {
		for g, x := range p.want {
			if x *= 0.875; x > 0.05 {
				out[g] = x
			}
		}
	}
	for g, n := range now {
		x := float64(min(n, most))
		out[g] = max(x, out[g]+x/8)
	}
	return out
}

// Ask is what a proxy tells when it asks for its orders.
type Ask struct {
	Proxy   string         `json:"Proxy"`
	Site    string         `json:"Site"`
	Want    map[string]int `json:"Want"` // waiting and running, by group
	Active  int            `json:"Active"`
	Imports []Import       `json:"Imports"`
	Seen    []Seen         `json:"Seen"`
}

// Orders takes in a proxy's demand and answers with its standing orders.
func (k *Keeper) Orders(now int64, a Ask) []Order {
	serving, most := 0, plan.Limits{}.Defaults().RoomPerEngine
	for _, l := range k.listing {
		if !l.Store && !l.Leaving {
			serving++
		}
	}
	share := map[string]float64{}
	if k.plan != nil {
		most = k.plan.Limits.RoomPerEngine
		for g, x := range k.plan.Groups {
			share[g] = x.Share
		}
	}
	k.proxies[a.Proxy] = &proxy{a.Site, k.proxies[a.Proxy].lately(a.Want, most*max(1, serving)), now}
	for n, p := range k.proxies {
		if now-p.at > proxyOld {
			delete(k.proxies, n) // a dead proxy's room goes back to the others
		}
	}
	for _, i := range a.Imports {
		if e := k.engines[i.Engine]; e != nil && e.known {
			e.pending[i.Attempt] = pendingImport{i, now}
			for _, p := range i.Parts {
				k.keep(e, p)
			}
		}
	}
	for _, s := range a.Seen {
		if e := k.engines[s.Engine]; e != nil {
			k.fade(now, e)
			e.suspect += float64(s.Problems)
			if s.Dones > 0 {
				e.suspect /= 2
			}
		}
	}
	ds := make([]fairqueue.Demand, 0, len(k.proxies))
	for n, p := range k.proxies {
		ds = append(ds, fairqueue.Demand{Proxy: n, Want: p.want})
	}
	var os []Order
	for n, e := range k.engines {
		ep, ok := k.Holds(now, EngineDuty(n))
		if !ok || e.at == 0 || now-e.at > reportOld && !e.Store {
			continue
		}
		for a, p := range e.pending {
			if now-p.at > importOld {
				delete(e.pending, a)
			}
		}
		o := Order{Listed: e.Listed, ID: e.id, Epoch: ep, Weights: e.weights, Queue: e.queue, SlowUS: e.slow,
			Age: k.orderAge(now, n), Grades: map[uint64]int{}}
		for _, p := range e.grades.Known() {
			o.Grades[p] = e.grades.Worth(now, p)
		}
		if !e.Store && !e.Leaving && !k.stuck(now, e) {
			room := e.room
			if k.plan != nil {
				room = min(room, k.plan.Limits.RoomPerEngine)
			}
			k.fade(now, e)
			if e.suspect > 3 {
				room = max(1, room/4) // slow start for one that fails, never none
			}
			o.Room = fairqueue.Split(room, share, serving, ds, int(now/DutyTerm)+int(score(n, "")%97))[a.Proxy]
		}
		os = append(os, o)
	}
	sort.Slice(os, func(i, j int) bool { return os[i].Name < os[j].Name })
	return os
}

// orderAge is how old an order is when it leaves here: as old as the platform's
// list, and old enough that no proxy still uses it once this owner's lease ends.
func (k *Keeper) orderAge(now int64, engine string) int64 {
	left := k.duties[EngineDuty(engine)].until - now
	return max(0, now-k.listAt, dispatch.OrderLimit-left)
}

// fade halves the suspicion of an engine every second, so that one bad report
// can't keep it out.
func (k *Keeper) fade(now int64, e *engine) {
	for ; now-e.suspectAt >= 1_000_000 && e.suspect > 0.01; e.suspectAt += 1_000_000 {
		e.suspect /= 2
	}
	if e.suspect <= 0.01 {
		e.suspectAt = now
	}
}
