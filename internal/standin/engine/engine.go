// Package engine is a stand-in for a model engine, and with Store set for the
// shared store: it speaks the protocol of docs/engine-protocol.md, keeps parts
// in name only, and counts what an observer must know.
package engine

import (
	"container/list"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"

	"violetthread/cacheindex"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
	"violetthread/internal/taskgroup"
)

// Settings of a stand-in engine or store.
type Settings struct {
	daemon.NodeSettings
	Store    bool   `json:"store" help:"be the shared store"`
	StoreAt  string `json:"store_at" help:"IP:port of the store that dropped parts go to"`
	Room     int    `json:"room" validate:"min=1,max=4096" help:"runs at a time"`
	Keep     int    `json:"keep" validate:"min=1" help:"parts kept at most"`
	FillUS   int64  `json:"fill_us" help:"time to recompute one part"`
	MoveUS   int64  `json:"move_us" help:"time to move one part to a peer"`
	PieceUS  int64  `json:"piece_us" help:"time for one piece"`
	LoadUS   int64  `json:"load_us" help:"time to load other weights"`
	LatePM   int    `json:"late_permille" help:"reports that hold their newest events back, in thousandths"`
	GapPM    int    `json:"gap_permille" help:"events lost from reports, in thousandths"`
	NoHandPM int    `json:"no_hand_over_permille" help:"hand-overs that quietly fail, in thousandths"`
	Seed     int64  `json:"seed" help:"seed of the faults above"`
	Weights  string `json:"weights" help:"weights at start"`
}

// Defaults of the settings.
func Defaults() Settings {
	return Settings{NodeSettings: daemon.NodeSettings{DrainUS: 5_000_000}, Room: 16, Keep: 4096, FillUS: 4000, MoveUS: 700, PieceUS: 15_000, LoadUS: 1_000_000, Weights: "w1"}
}

// Pieces is how many pieces a run of a kind has; others have eight.
var Pieces = map[string]int{"mandate-check": 60, "confirmation": 20, "instruction-tag": 3,
	"segmentation": 60, "timing-review": 20, "glossary-lookup": 3}

// RunSeen is one run as the engine counts it, for an observer.
type RunSeen struct {
	Group   string `json:"Group"`
	Ticket  string `json:"Ticket"`
	Kind    string `json:"Kind"`
	Attempt string `json:"Attempt"`
	Weights string `json:"Weights"`
	Whole   bool   `json:"Whole"`
	Parts   int    `json:"Parts"`
	Reused  int    `json:"Reused"`
	Taken   int    `json:"Taken"`
}

// Seen is the answer to GET /v1/seen.
type Seen struct {
	Name    string    `json:"name"`
	Runs    []RunSeen `json:"runs"`
	Mixed   []string  `json:"mixed"`  // parts reused across a wall or weights
	Owners  []string  `json:"owners"` // orders under a lower epoch than before
	Leaving int64     `json:"leaving"`
}

type part struct {
	name, domain, weights string
	el                    *list.Element
}

type engine struct {
	s       Settings
	d       *daemon.Daemon
	http    *engineapi.Client
	inc     uint64
	mu      sync.Mutex
	kept    map[string]*part
	lru     *list.List
	events  []engineapi.Event
	seq     uint64
	weights string
	turning string
	running int
	epoch   uint64
	seen    Seen
	slow    int64
	rng     uint64
}

// Run runs a stand-in until it is told to stop.
func Run(s Settings) error {
	d, err := New(s)
	if err != nil {
		return err
	}
	return d.Run()
}

// New makes one, ready to Run.
func New(s Settings) (*daemon.Daemon, error) {
	e, err := newEngine(s)
	if err != nil {
		return nil, err
	}
	return e.d, nil
}

func newEngine(s Settings) (*engine, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, err
	}
	e := &engine{s: s, d: daemon.New("engine", s.Name, s.HTTPAddr, s.DrainUS), http: engineapi.NewClient(), inc: binary.LittleEndian.Uint64(b[:]) >> 1,
		kept: map[string]*part{}, lru: list.New(), weights: s.Weights, rng: uint64(s.Seed)*2654435761 + 88172645463325252}
	e.seen.Name = s.Name
	e.d.Handle("/v1/run", e.run)
	e.d.Handle("/v1/report", e.report)
	e.d.Handle("/v1/keeps", e.keeps)
	e.d.Handle("/v1/weights", e.turn)
	e.d.Handle("/v1/export", e.export)
	e.d.Handle("/v1/import", e.imports)
	e.d.Handle("/v1/put", e.put)
	e.d.Handle("/v1/seen", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		daemon.WriteJSON(w, 200, e.seen)
	})
	e.d.SetReady("")
	return e, nil
}

// chance is true for so many in a thousand, by the seed.
func (e *engine) chance(permille int) bool {
	e.rng ^= e.rng << 13
	e.rng ^= e.rng >> 7
	e.rng ^= e.rng << 17
	return int(e.rng%1000) < permille
}

func (e *engine) tell(v engineapi.Event) {
	e.seq++
	v.Seq = e.seq
	if e.chance(e.s.GapPM) {
		return // lost
	}
	e.events = append(e.events, v)
	if len(e.events) > 4096 {
		e.events = append([]engineapi.Event(nil), e.events[2048:]...)
	}
}

// keep stores a part, dropping the oldest when there is no room. The caller
// holds the lock.
func (e *engine) keep(name, domain, weights string) {
	if p := e.kept[name]; p != nil {
		e.lru.MoveToFront(p.el)
		return
	}
	p := &part{name: name, domain: domain, weights: weights}
	p.el = e.lru.PushFront(p)
	e.kept[name] = p
	e.tell(engineapi.Event{Op: "keep", Block: name})
	for len(e.kept) > e.s.Keep {
		o := e.lru.Remove(e.lru.Back()).(*part)
		delete(e.kept, o.name)
		e.tell(engineapi.Event{Op: "drop", Block: o.name})
		if e.s.StoreAt != "" && !e.s.Store {
			e.d.Group.Go("put", func(ctx context.Context) {
				_ = e.http.Post(ctx, e.s.StoreAt, "/v1/put", 500_000, stored{o.name, o.domain, o.weights}, nil)
			})
		}
	}
}

type stored struct {
	Part    string `json:"Part"`
	Domain  string `json:"Domain"`
	Weights string `json:"Weights"`
}

func (e *engine) put(w http.ResponseWriter, q *http.Request) {
	var s stored
	if json.NewDecoder(q.Body).Decode(&s) != nil {
		daemon.WriteJSON(w, 400, engineapi.Rejection{Reason: "malformed"})
		return
	}
	e.mu.Lock()
	e.keep(s.Part, s.Domain, s.Weights)
	e.mu.Unlock()
	daemon.WriteJSON(w, 200, "ok")
}

func (e *engine) refuse(w http.ResponseWriter, status int, why string) {
	daemon.WriteJSON(w, status, engineapi.Rejection{Reason: why})
}

func (e *engine) run(w http.ResponseWriter, q *http.Request) {
	var r engineapi.RunRequest
	if json.NewDecoder(http.MaxBytesReader(w, q.Body, 16<<20)).Decode(&r) != nil {
		e.refuse(w, 400, "malformed")
		return
	}
	e.mu.Lock()
	why, status := "", 503
	switch {
	case e.s.Store:
		why = "store"
	case r.NodeID != cacheindex.NodeID(e.s.Name, e.inc):
		why, status = "other-life", 409
	case r.FencingToken < e.epoch:
		why, status = "old-epoch", 409
		e.seen.Owners = append(e.seen.Owners, fmt.Sprintf("run %s epoch %d after %d", r.Attempt, r.FencingToken, e.epoch))
	case r.Weights != e.weights || e.turning != "":
		why, status = "other-weights", 409
	case e.running >= e.s.Room:
		why = "busy"
	}
	if why != "" {
		e.mu.Unlock()
		e.refuse(w, status, why)
		return
	}
	e.epoch = r.FencingToken
	e.running++
	at := len(e.seen.Runs)
	e.seen.Runs = append(e.seen.Runs, RunSeen{Group: r.Group, Ticket: r.RequestID, Kind: r.Kind, Attempt: r.Attempt, Weights: r.Weights})
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	began := clock.Now()
	w.Header().Set("Content-Type", "application/x-ndjson")
	enc := json.NewEncoder(w)
	f := w.(http.Flusher)
	put := func(l engineapi.RunFrame) bool {
		err := enc.Encode(l)
		f.Flush()
		return err == nil && q.Context().Err() == nil
	}
	if !put(engineapi.RunFrame{Began: true}) {
		return
	}
	have, taken := e.own(r), 0
	if r.Transfer != nil && r.Transfer.Block+1 > have {
		if n := e.take(q.Context(), r, have); n > have {
			taken, have = n-have, n
		}
	}
	if !taskgroup.Sleep(q.Context(), int64(len(r.Blocks)-have)*e.s.FillUS) {
		return
	}
	e.mu.Lock()
	for _, p := range r.Blocks {
		e.keep(p, r.Domain, r.Weights)
	}
	x := &e.seen.Runs[at]
	x.Parts, x.Reused, x.Taken = len(r.Blocks), have, taken
	e.tell(engineapi.Event{Op: "ran", Attempt: r.Attempt, RecomputedBytes: uint64(len(r.Blocks) - have)})
	e.mu.Unlock()
	n := Pieces[r.Kind]
	if n == 0 {
		n = 8
	}
	for i := 0; i < n; i++ {
		if !taskgroup.Sleep(q.Context(), e.s.PieceUS) {
			return
		}
		// Each piece names its run, so that an observer sees a stitched answer.
		t := r.Attempt + "#" + strconv.Itoa(i)
		if i == 0 {
			e.mu.Lock()
			e.slow += (clock.Now() - began - e.slow) / 8
			e.mu.Unlock()
		}
		if !put(engineapi.RunFrame{Piece: &t}) {
			return
		}
	}
	e.mu.Lock()
	e.seen.Runs[at].Whole = true
	e.mu.Unlock()
	put(engineapi.RunFrame{Done: true, Pieces: n})
}

// own counts how many leading parts are here, and checks that none came from
// across a wall or other weights.
func (e *engine) own(r engineapi.RunRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(r.Blocks) - 1; i >= 0; i-- {
		p := e.kept[r.Blocks[i]]
		if p == nil {
			continue
		}
		if p.domain != r.Domain || p.weights != r.Weights {
			e.seen.Mixed = append(e.seen.Mixed, fmt.Sprintf("%s: part of %s/%s for %s/%s", r.Attempt, p.domain, p.weights, r.Domain, r.Weights))
		}
		e.lru.MoveToFront(p.el)
		return i + 1
	}
	return 0
}

// take fetches parts from a peer; whatever goes wrong, the run recomputes.
func (e *engine) take(ctx context.Context, r engineapi.RunRequest, have int) int {
	e.mu.Lock()
	lost := e.chance(e.s.NoHandPM)
	e.mu.Unlock()
	if lost {
		return have
	}
	var s stored
	p := r.Blocks[r.Transfer.Block]
	if e.http.Get(ctx, r.Transfer.From, fmt.Sprintf("/v1/export?part=%s&parts=%d", p, r.Transfer.Block+1-have), r.Transfer.WaitUS, &s) != nil {
		return have
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Domain != r.Domain || s.Weights != r.Weights {
		e.seen.Mixed = append(e.seen.Mixed, fmt.Sprintf("%s: took part of %s/%s for %s/%s", r.Attempt, s.Domain, s.Weights, r.Domain, r.Weights))
	}
	for _, x := range r.Blocks[:r.Transfer.Block+1] {
		e.keep(x, r.Domain, r.Weights)
	}
	return r.Transfer.Block + 1
}

func (e *engine) export(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	p := e.kept[q.URL.Query().Get("part")]
	e.mu.Unlock()
	if p == nil {
		e.refuse(w, 404, "not-kept")
		return
	}
	n, _ := strconv.ParseInt(q.URL.Query().Get("parts"), 10, 64)
	if !taskgroup.Sleep(q.Context(), n*e.s.MoveUS) {
		return
	}
	daemon.WriteJSON(w, 200, stored{p.name, p.domain, p.weights})
}

func (e *engine) imports(w http.ResponseWriter, q *http.Request) {
	var r engineapi.ImportRequest
	var s stored
	switch {
	case json.NewDecoder(q.Body).Decode(&r) != nil:
		e.refuse(w, 400, "malformed")
	case e.http.Get(q.Context(), r.From, "/v1/export?parts=1&part="+r.Block, r.WaitUS, &s) != nil:
		e.refuse(w, 502, "not-fetched")
	default:
		e.mu.Lock()
		if s.Weights == e.weights && r.FencingToken >= e.epoch {
			e.keep(s.Part, s.Domain, s.Weights)
		}
		e.mu.Unlock()
		daemon.WriteJSON(w, 200, "ok")
	}
}

func (e *engine) report(w http.ResponseWriter, q *http.Request) {
	after, _ := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	inc, _ := strconv.ParseUint(q.URL.Query().Get("inc"), 10, 64)
	e.mu.Lock()
	r := engineapi.Report{Name: e.s.Name, Incarnation: e.inc, Weights: e.weights, Running: e.running, Capacity: e.s.Room, SlowUS: e.slow, LastSeq: e.seq}
	if e.turning != "" {
		r.Capacity = 0
	}
	if inc == e.inc {
		for _, v := range e.events {
			if v.Seq > after && len(r.Events) < 1024 {
				r.Events = append(r.Events, v)
			}
		}
		if len(r.Events) > 1 && e.chance(e.s.LatePM) {
			r.Events = r.Events[:len(r.Events)/2]
		}
	}
	e.mu.Unlock()
	daemon.WriteJSON(w, 200, r)
}

func (e *engine) keeps(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	k := engineapi.Holdings{Incarnation: e.inc, Seq: e.seq, Blocks: make([]string, 0, len(e.kept))}
	for n := range e.kept {
		k.Blocks = append(k.Blocks, n)
	}
	e.mu.Unlock()
	daemon.WriteJSON(w, 200, k)
}

// turn changes weights: nothing new begins, what runs ends under the weights it
// began with, and everything kept is dropped.
func (e *engine) turn(w http.ResponseWriter, q *http.Request) {
	var t engineapi.WeightsRequest
	if json.NewDecoder(q.Body).Decode(&t) != nil || t.Weights == "" {
		e.refuse(w, 400, "malformed")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.FencingToken < e.epoch {
		e.seen.Owners = append(e.seen.Owners, fmt.Sprintf("weights by %s epoch %d after %d", t.Owner, t.FencingToken, e.epoch))
		e.refuse(w, 409, "old-epoch")
		return
	}
	e.epoch = t.FencingToken
	if t.Weights == e.weights && e.turning == "" || t.Weights == e.turning {
		daemon.WriteJSON(w, 200, "ok")
		return
	}
	first := e.turning == ""
	e.turning = t.Weights
	if first {
		e.d.Group.Go("turn", e.load)
	}
	daemon.WriteJSON(w, 200, "ok")
}

func (e *engine) load(ctx context.Context) {
	for {
		e.mu.Lock()
		name := e.turning
		e.mu.Unlock()
		if !taskgroup.Sleep(ctx, e.s.LoadUS) {
			return
		}
		for {
			e.mu.Lock()
			if e.running == 0 {
				break
			}
			e.mu.Unlock()
			if !taskgroup.Sleep(ctx, 5000) {
				return
			}
		}
		if e.turning != name { // a newer name came meanwhile; it wins
			e.mu.Unlock()
			continue
		}
		e.weights, e.turning = name, ""
		for n := range e.kept {
			e.tell(engineapi.Event{Op: "drop", Block: n})
		}
		e.kept, e.lru = map[string]*part{}, list.New()
		e.mu.Unlock()
		e.d.Log.Info("turned", "weights", name)
		return
	}
}
