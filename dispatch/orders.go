package dispatch

import (
	"violetthread/attempt"
	"violetthread/hint"
)

// Order is an engine as its owner lets this proxy use it.
type Order struct {
	Engine  string         `json:"Engine"`
	Addr    string         `json:"Addr"`
	Site    string         `json:"Site"`
	Weights string         `json:"Weights"`
	Store   bool           `json:"Store"`
	ID      uint64         `json:"ID"`
	Epoch   uint64         `json:"Epoch"`
	Room    int            `json:"Room"`
	Queue   int            `json:"Queue"`
	SlowUS  int64          `json:"SlowUS"`
	Age     int64          `json:"Age"`
	Grades  map[uint64]int `json:"Grades"`
}

type lane struct {
	Order
	at      int64 // when the order was known good
	active  int
	problem int   // in a row
	until   int64 // rests until then
}

// Import is an order to take a part from a peer.
type Import struct {
	Attempt, Engine string
	Peer            uint64
	Total           int // parts of the whole prompt
	Parts           []hint.Key
}

// Seen is how an engine's attempts went since last told.
type Seen struct {
	Problems, Dones int
	FirstUS         int64
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

func (d *Desk) learn(now int64, l *lane, w *work, s attempt.State, cause string) {
	e := d.seen[l.Engine]
	if e == nil {
		e = &Seen{}
		d.seen[l.Engine] = e
	}
	switch s {
	case attempt.Began:
		e.FirstUS = now - w.began
	case attempt.Finished:
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

// OrderAge is how old the order for an engine is, for operators and judges.
func (d *Desk) OrderAge(now int64, engine string) int64 {
	if l := d.lanes[engine]; l != nil {
		return now - l.at
	}
	return 1 << 50
}
