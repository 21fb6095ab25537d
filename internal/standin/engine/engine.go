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
	Store                  bool   `json:"store" help:"be the shared store"`
	StoreAddr              string `json:"store_at" help:"IP:port of the store that dropped parts go to"`
	Capacity               int    `json:"room" validate:"min=1,max=4096" help:"runs at a time"`
	MaxBlocks              int    `json:"keep" validate:"min=1" help:"parts kept at most"`
	RecomputeUS            int64  `json:"fill_us" help:"time to recompute one part"`
	TransferUS             int64  `json:"move_us" help:"time to move one part to a peer"`
	PieceUS                int64  `json:"piece_us" help:"time for one piece"`
	WeightsLoadUS          int64  `json:"load_us" help:"time to load other weights"`
	WithheldPermille       int    `json:"late_permille" help:"reports that hold their newest events back, in thousandths"`
	LostEventPermille      int    `json:"gap_permille" help:"events lost from reports, in thousandths"`
	FailedTransferPermille int    `json:"no_hand_over_permille" help:"hand-overs that quietly fail, in thousandths"`
	Seed                   int64  `json:"seed" help:"seed of the faults above"`
	Weights                string `json:"weights" help:"weights at start"`
}

// Defaults of the settings.
func Defaults() Settings {
	return Settings{NodeSettings: daemon.NodeSettings{DrainUS: 5_000_000}, Capacity: 16, MaxBlocks: 4096, RecomputeUS: 4000, TransferUS: 700, PieceUS: 15_000, WeightsLoadUS: 1_000_000, Weights: "w1"}
}

// Pieces is how many pieces a run of a kind has; others have eight.
var PiecesByKind = map[string]int{"mandate-check": 60, "confirmation": 20, "instruction-tag": 3,
	"segmentation": 60, "timing-review": 20, "glossary-lookup": 3}

// RunSeen is one run as the engine counts it, for an observer.
type ObservedRun struct {
	Group       string `json:"Group"`
	RequestID   string `json:"Ticket"`
	Kind        string `json:"Kind"`
	Attempt     string `json:"Attempt"`
	Weights     string `json:"Weights"`
	Completed   bool   `json:"Whole"`
	Blocks      int    `json:"Parts"`
	Reused      int    `json:"Reused"`
	Transferred int    `json:"Taken"`
}

// Seen is the answer to GET /v1/seen.
type Observations struct {
	Name        string        `json:"name"`
	Runs        []ObservedRun `json:"runs"`
	MixedBlocks []string      `json:"mixed"`  // parts reused across a wall or weights
	StaleOwners []string      `json:"owners"` // orders under a lower epoch than before
	Leaving     int64         `json:"leaving"`
}

type cachedBlock struct {
	name, domain, weights string
	position              *list.Element
}

type engine struct {
	settings     Settings
	daemon       *daemon.Daemon
	client       *engineapi.Client
	incarnation  uint64
	mu           sync.Mutex
	blocks       map[string]*cachedBlock
	lru          *list.List
	events       []engineapi.Event
	lastSeq      uint64
	weights      string
	nextWeights  string
	running      int
	fencingToken uint64
	observed     Observations
	slowUS       int64
	randomState  uint64
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
	return e.daemon, nil
}

func newEngine(s Settings) (*engine, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, err
	}
	e := &engine{settings: s, daemon: daemon.New("engine", s.Name, s.HTTPAddr, s.DrainUS), client: engineapi.NewClient(), incarnation: binary.LittleEndian.Uint64(b[:]) >> 1,
		blocks: map[string]*cachedBlock{}, lru: list.New(), weights: s.Weights, randomState: uint64(s.Seed)*2654435761 + 88172645463325252}
	e.observed.Name = s.Name
	e.daemon.Handle("/v1/run", e.serveRun)
	e.daemon.Handle("/v1/report", e.serveReport)
	e.daemon.Handle("/v1/keeps", e.serveHoldings)
	e.daemon.Handle("/v1/weights", e.serveWeights)
	e.daemon.Handle("/v1/export", e.serveExport)
	e.daemon.Handle("/v1/import", e.serveImport)
	e.daemon.Handle("/v1/put", e.servePut)
	e.daemon.Handle("/v1/seen", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		daemon.WriteJSON(w, 200, e.observed)
	})
	e.daemon.SetReady("")
	return e, nil
}

// chance is true for so many in a thousand, by the seed.
func (e *engine) chance(permille int) bool {
	e.randomState ^= e.randomState << 13
	e.randomState ^= e.randomState >> 7
	e.randomState ^= e.randomState << 17
	return int(e.randomState%1000) < permille
}

func (e *engine) appendEvent(v engineapi.Event) {
	e.lastSeq++
	v.Seq = e.lastSeq
	if e.chance(e.settings.LostEventPermille) {
		return // lost
	}
	e.events = append(e.events, v)
	if len(e.events) > 4096 {
		e.events = append([]engineapi.Event(nil), e.events[2048:]...)
	}
}

// keep stores a part, dropping the oldest when there is no room. The caller
// holds the lock.
func (e *engine) cache(name, domain, weights string) {
	if p := e.blocks[name]; p != nil {
		e.lru.MoveToFront(p.position)
		return
	}
	p := &cachedBlock{name: name, domain: domain, weights: weights}
	p.position = e.lru.PushFront(p)
	e.blocks[name] = p
	e.appendEvent(engineapi.Event{Op: "keep", Block: name})
	for len(e.blocks) > e.settings.MaxBlocks {
		o := e.lru.Remove(e.lru.Back()).(*cachedBlock)
		delete(e.blocks, o.name)
		e.appendEvent(engineapi.Event{Op: "drop", Block: o.name})
		if e.settings.StoreAddr != "" && !e.settings.Store {
			e.daemon.Group.Go("put", func(ctx context.Context) {
				_ = e.client.Post(ctx, e.settings.StoreAddr, "/v1/put", 500_000, blockTransfer{o.name, o.domain, o.weights}, nil)
			})
		}
	}
}

type blockTransfer struct {
	Block   string `json:"Part"`
	Domain  string `json:"Domain"`
	Weights string `json:"Weights"`
}

func (e *engine) servePut(w http.ResponseWriter, q *http.Request) {
	var s blockTransfer
	if json.NewDecoder(q.Body).Decode(&s) != nil {
		daemon.WriteJSON(w, 400, engineapi.Rejection{Reason: "malformed"})
		return
	}
	e.mu.Lock()
	e.cache(s.Block, s.Domain, s.Weights)
	e.mu.Unlock()
	daemon.WriteJSON(w, 200, "ok")
}

func (e *engine) reject(w http.ResponseWriter, status int, why string) {
	daemon.WriteJSON(w, status, engineapi.Rejection{Reason: why})
}

func (e *engine) serveRun(w http.ResponseWriter, q *http.Request) {
	var r engineapi.RunRequest
	if json.NewDecoder(http.MaxBytesReader(w, q.Body, 16<<20)).Decode(&r) != nil {
		e.reject(w, 400, "malformed")
		return
	}
	e.mu.Lock()
	why, status := "", 503
	switch {
	case e.settings.Store:
		why = "store"
	case r.NodeID != cacheindex.NodeID(e.settings.Name, e.incarnation):
		why, status = "other-life", 409
	case r.FencingToken < e.fencingToken:
		why, status = "old-epoch", 409
		e.observed.StaleOwners = append(e.observed.StaleOwners, fmt.Sprintf("run %s epoch %d after %d", r.Attempt, r.FencingToken, e.fencingToken))
	case r.Weights != e.weights || e.nextWeights != "":
		why, status = "other-weights", 409
	case e.running >= e.settings.Capacity:
		why = "busy"
	}
	if why != "" {
		e.mu.Unlock()
		e.reject(w, status, why)
		return
	}
	e.fencingToken = r.FencingToken
	e.running++
	at := len(e.observed.Runs)
	e.observed.Runs = append(e.observed.Runs, ObservedRun{Group: r.Group, RequestID: r.RequestID, Kind: r.Kind, Attempt: r.Attempt, Weights: r.Weights})
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
	have, taken := e.cachedPrefix(r), 0
	if r.Transfer != nil && r.Transfer.Block+1 > have {
		if n := e.fetchBlocks(q.Context(), r, have); n > have {
			taken, have = n-have, n
		}
	}
	if !taskgroup.Sleep(q.Context(), int64(len(r.Blocks)-have)*e.settings.RecomputeUS) {
		return
	}
	e.mu.Lock()
	for _, p := range r.Blocks {
		e.cache(p, r.Domain, r.Weights)
	}
	x := &e.observed.Runs[at]
	x.Blocks, x.Reused, x.Transferred = len(r.Blocks), have, taken
	e.appendEvent(engineapi.Event{Op: "ran", Attempt: r.Attempt, RecomputedBytes: uint64(len(r.Blocks) - have)})
	e.mu.Unlock()
	n := PiecesByKind[r.Kind]
	if n == 0 {
		n = 8
	}
	for i := 0; i < n; i++ {
		if !taskgroup.Sleep(q.Context(), e.settings.PieceUS) {
			return
		}
		// Each piece names its run, so that an observer sees a stitched answer.
		t := r.Attempt + "#" + strconv.Itoa(i)
		if i == 0 {
			e.mu.Lock()
			e.slowUS += (clock.Now() - began - e.slowUS) / 8
			e.mu.Unlock()
		}
		if !put(engineapi.RunFrame{Piece: &t}) {
			return
		}
	}
	e.mu.Lock()
	e.observed.Runs[at].Completed = true
	e.mu.Unlock()
	put(engineapi.RunFrame{Done: true, Pieces: n})
}

// own counts how many leading parts are here, and checks that none came from
// across a wall or other weights.
func (e *engine) cachedPrefix(r engineapi.RunRequest) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := len(r.Blocks) - 1; i >= 0; i-- {
		p := e.blocks[r.Blocks[i]]
		if p == nil {
			continue
		}
		if p.domain != r.Domain || p.weights != r.Weights {
			e.observed.MixedBlocks = append(e.observed.MixedBlocks, fmt.Sprintf("%s: part of %s/%s for %s/%s", r.Attempt, p.domain, p.weights, r.Domain, r.Weights))
		}
		e.lru.MoveToFront(p.position)
		return i + 1
	}
	return 0
}

// take fetches parts from a peer; whatever goes wrong, the run recomputes.
func (e *engine) fetchBlocks(ctx context.Context, r engineapi.RunRequest, have int) int {
	e.mu.Lock()
	lost := e.chance(e.settings.FailedTransferPermille)
	e.mu.Unlock()
	if lost {
		return have
	}
	var s blockTransfer
	p := r.Blocks[r.Transfer.Block]
	if e.client.Get(ctx, r.Transfer.From, fmt.Sprintf("/v1/export?part=%s&parts=%d", p, r.Transfer.Block+1-have), r.Transfer.WaitUS, &s) != nil {
		return have
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.Domain != r.Domain || s.Weights != r.Weights {
		e.observed.MixedBlocks = append(e.observed.MixedBlocks, fmt.Sprintf("%s: took part of %s/%s for %s/%s", r.Attempt, s.Domain, s.Weights, r.Domain, r.Weights))
	}
	for _, x := range r.Blocks[:r.Transfer.Block+1] {
		e.cache(x, r.Domain, r.Weights)
	}
	return r.Transfer.Block + 1
}

func (e *engine) serveExport(w http.ResponseWriter, q *http.Request) {
	e.mu.Lock()
	p := e.blocks[q.URL.Query().Get("part")]
	e.mu.Unlock()
	if p == nil {
		e.reject(w, 404, "not-kept")
		return
	}
	n, _ := strconv.ParseInt(q.URL.Query().Get("parts"), 10, 64)
	if !taskgroup.Sleep(q.Context(), n*e.settings.TransferUS) {
		return
	}
	daemon.WriteJSON(w, 200, blockTransfer{p.name, p.domain, p.weights})
}

func (e *engine) serveImport(w http.ResponseWriter, q *http.Request) {
	var r engineapi.ImportRequest
	var s blockTransfer
	switch {
	case json.NewDecoder(q.Body).Decode(&r) != nil:
		e.reject(w, 400, "malformed")
	case e.client.Get(q.Context(), r.From, "/v1/export?parts=1&part="+r.Block, r.WaitUS, &s) != nil:
		e.reject(w, 502, "not-fetched")
	default:
		e.mu.Lock()
		if s.Weights == e.weights && r.FencingToken >= e.fencingToken {
			e.cache(s.Block, s.Domain, s.Weights)
		}
		e.mu.Unlock()
		daemon.WriteJSON(w, 200, "ok")
	}
}

func (e *engine) serveReport(w http.ResponseWriter, q *http.Request) {
	after, _ := strconv.ParseUint(q.URL.Query().Get("after"), 10, 64)
	inc, _ := strconv.ParseUint(q.URL.Query().Get("inc"), 10, 64)
	e.mu.Lock()
	r := engineapi.Report{Name: e.settings.Name, Incarnation: e.incarnation, Weights: e.weights, Running: e.running, Capacity: e.settings.Capacity, SlowUS: e.slowUS, LastSeq: e.lastSeq}
	if e.nextWeights != "" {
		r.Capacity = 0
	}
	if inc == e.incarnation {
		for _, v := range e.events {
			if v.Seq > after && len(r.Events) < 1024 {
				r.Events = append(r.Events, v)
			}
		}
		if len(r.Events) > 1 && e.chance(e.settings.WithheldPermille) {
			r.Events = r.Events[:len(r.Events)/2]
		}
	}
	e.mu.Unlock()
	daemon.WriteJSON(w, 200, r)
}

func (e *engine) serveHoldings(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	k := engineapi.Holdings{Incarnation: e.incarnation, Seq: e.lastSeq, Blocks: make([]string, 0, len(e.blocks))}
	for n := range e.blocks {
		k.Blocks = append(k.Blocks, n)
	}
	e.mu.Unlock()
	daemon.WriteJSON(w, 200, k)
}

// turn changes weights: nothing new begins, what runs ends under the weights it
// began with, and everything kept is dropped.
func (e *engine) serveWeights(w http.ResponseWriter, q *http.Request) {
	var t engineapi.WeightsRequest
	if json.NewDecoder(q.Body).Decode(&t) != nil || t.Weights == "" {
		e.reject(w, 400, "malformed")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if t.FencingToken < e.fencingToken {
		e.observed.StaleOwners = append(e.observed.StaleOwners, fmt.Sprintf("weights by %s epoch %d after %d", t.Owner, t.FencingToken, e.fencingToken))
		e.reject(w, 409, "old-epoch")
		return
	}
	e.fencingToken = t.FencingToken
	if t.Weights == e.weights && e.nextWeights == "" || t.Weights == e.nextWeights {
		daemon.WriteJSON(w, 200, "ok")
		return
	}
	first := e.nextWeights == ""
	e.nextWeights = t.Weights
	if first {
		e.daemon.Group.Go("turn", e.loadWeights)
	}
	daemon.WriteJSON(w, 200, "ok")
}

func (e *engine) loadWeights(ctx context.Context) {
	for {
		e.mu.Lock()
		name := e.nextWeights
		e.mu.Unlock()
		if !taskgroup.Sleep(ctx, e.settings.WeightsLoadUS) {
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
		if e.nextWeights != name { // a newer name came meanwhile; it wins
			e.mu.Unlock()
			continue
		}
		e.weights, e.nextWeights = name, ""
		for n := range e.blocks {
			e.appendEvent(engineapi.Event{Op: "drop", Block: n})
		}
		e.blocks, e.lru = map[string]*cachedBlock{}, list.New()
		e.mu.Unlock()
		e.daemon.Log.Info("turned", "weights", name)
		return
	}
}
