package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"

	"violetthread/cacheindex"
	"violetthread/internal/engineapi"
)

// newTestEngine creates an engine without simulated delays.
func newTestEngine(t *testing.T, change func(*Settings)) *engine {
	t.Helper()
	settings := Defaults()
	settings.Name, settings.HTTPAddr = "e1", "127.0.0.1:0"
	settings.RecomputeUS, settings.TransferUS, settings.PieceUS, settings.WeightsLoadUS = 0, 0, 0, 0
	if change != nil {
		change(&settings)
	}
	e, err := newEngine(settings)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.daemon.Group.Stop)
	return e
}

// call passes a request to a handler and returns the response.
func call(t *testing.T, handler http.HandlerFunc, path string, body any) *httptest.ResponseRecorder {
	t.Helper()
	text, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	w := httptest.NewRecorder()
	handler(w, httptest.NewRequest(http.MethodPost, path, strings.NewReader(string(text))))
	return w
}

func decode[T any](t *testing.T, w *httptest.ResponseRecorder) (v T) {
	t.Helper()
	if err := json.Unmarshal(w.Body.Bytes(), &v); err != nil {
		t.Fatalf("%q: %v", w.Body, err)
	}
	return v
}

func (e *engine) testRun(attempt string, blocks ...string) engineapi.RunRequest {
	return engineapi.RunRequest{Attempt: attempt, RequestID: "r1", Group: "g", Kind: "instruction-tag", Domain: "commons", Weights: "w1",
		FencingToken: 3, NodeID: cacheindex.NodeID("e1", e.incarnation), Blocks: blocks}
}

func TestRunFrames(t *testing.T) {
	e := newTestEngine(t, nil)
	for _, c := range []struct {
		name, attempt string
		blocks        []string
		reused        int
	}{
		{"nothing cached", "a1", []string{"x", "y"}, 0},
		{"a cached prefix", "a2", []string{"x", "y", "z"}, 2},
		{"all cached", "a3", []string{"x", "y", "z"}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			w := call(t, e.serveRun, "/v1/run", e.testRun(c.attempt, c.blocks...))
			want := `{"began":true}
{"piece":"A#0"}
{"piece":"A#1"}
{"piece":"A#2"}
{"done":true,"n":3}
`
			if got := w.Body.String(); w.Code != 200 || got != strings.ReplaceAll(want, "A", c.attempt) {
				t.Errorf("status %d, %q", w.Code, got)
			}
			run := e.observed.Runs[len(e.observed.Runs)-1]
			if run != (ObservedRun{"g", "r1", "instruction-tag", c.attempt, "w1", true, len(c.blocks), c.reused, 0}) {
				t.Errorf("observed %+v", run)
			}
		})
	}
	if len(e.observed.InvalidReuse) > 0 || len(e.observed.StaleTokenRequests) > 0 || e.running != 0 || e.fencingToken != 3 {
		t.Errorf("%+v, %d running, fencing token %d", e.observed, e.running, e.fencingToken)
	}
	request := e.testRun("a4")
	request.Kind = "plain"
	if got := strings.Count(call(t, e.serveRun, "/v1/run", request).Body.String(), "piece"); got != 8 {
		t.Errorf("a kind that PiecesByKind does not list has %d pieces", got)
	}
}

func TestRunRejected(t *testing.T) {
	for _, c := range []struct {
		name        string
		prepare     func(*engine)
		change      func(*engineapi.RunRequest)
		status      int
		reason      string
		staleTokens int
	}{
		{"store", func(e *engine) { e.settings.Store = true }, nil, 503, "store", 0},
		{"other incarnation", nil, func(r *engineapi.RunRequest) { r.NodeID++ }, 409, "other-life", 0},
		{"old fencing token", nil, func(r *engineapi.RunRequest) { r.FencingToken = 1 }, 409, "old-epoch", 1},
		{"other weights", nil, func(r *engineapi.RunRequest) { r.Weights = "w2" }, 409, "other-weights", 0},
		{"loading weights", func(e *engine) { e.nextWeights = "w2" }, nil, 409, "other-weights", 0},
		{"no capacity", func(e *engine) { e.running = e.settings.Capacity }, nil, 503, "busy", 0},
		{"store takes precedence", func(e *engine) { e.settings.Store = true }, func(r *engineapi.RunRequest) { r.FencingToken = 1 }, 503, "store", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEngine(t, nil)
			e.fencingToken = 2
			if c.prepare != nil {
				c.prepare(e)
			}
			request := e.testRun("a1", "x")
			if c.change != nil {
				c.change(&request)
			}
			w := call(t, e.serveRun, "/v1/run", request)
			if got := decode[engineapi.Rejection](t, w); w.Code != c.status || got.Reason != c.reason {
				t.Errorf("status %d, reason %q", w.Code, got.Reason)
			}
			if len(e.observed.Runs) != 0 || len(e.blocks) != 0 || e.fencingToken != 2 || len(e.observed.StaleTokenRequests) != c.staleTokens {
				t.Errorf("observed %+v, fencing token %d", e.observed, e.fencingToken)
			}
		})
	}
	e := newTestEngine(t, nil)
	if w := call(t, e.serveRun, "/v1/run", "not an object"); w.Code != 400 || decode[engineapi.Rejection](t, w).Reason != "malformed" {
		t.Errorf("status %d, %q", w.Code, w.Body)
	}
}

func TestInvalidReuseIsObserved(t *testing.T) {
	for _, c := range []struct {
		name            string
		domain, weights string
		want            []string
	}{
		{"same", "commons", "w1", nil},
		{"other domain", "walled", "w1", []string{"a1: block of walled/w1 for commons/w1"}},
		{"other weights", "commons", "w0", []string{"a1: block of commons/w0 for commons/w1"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEngine(t, nil)
			e.cache("x", c.domain, c.weights)
			call(t, e.serveRun, "/v1/run", e.testRun("a1", "x"))
			if !slices.Equal(e.observed.InvalidReuse, c.want) {
				t.Errorf("observed %q", e.observed.InvalidReuse)
			}
		})
	}
}

func operations(events []engineapi.Event) (out []string) {
	for _, event := range events {
		out = append(out, fmt.Sprintf("%d %s %s", event.Seq, event.Op, event.Block+event.Attempt))
	}
	return out
}

func TestEviction(t *testing.T) {
	e := newTestEngine(t, func(s *Settings) { s.MaxBlocks = 2 })
	for _, name := range []string{"x", "y", "x", "z"} {
		e.cache(name, "commons", "w1")
	}
	if got, want := operations(e.events), []string{"1 keep x", "2 keep y", "3 keep z", "4 drop y"}; !slices.Equal(got, want) {
		t.Errorf("events %q, want %q", got, want)
	}
}

// TestEvictedBlocksArePutInStore checks that the store exports a block after an engine
// evicted it.
func TestEvictedBlocksArePutInStore(t *testing.T) {
	store := newTestEngine(t, func(s *Settings) { s.Store = true })
	put := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		store.servePut(w, r)
		close(put)
	}))
	t.Cleanup(server.Close)
	e := newTestEngine(t, func(s *Settings) { s.MaxBlocks, s.StoreAddr = 1, server.Listener.Addr().String() })
	e.cache("x", "walled", "w1")
	e.cache("y", "walled", "w1")
	<-put
	if w := call(t, store.serveExport, "/v1/export?part=x&parts=1", nil); w.Body.String() != `{"Part":"x","Domain":"walled","Weights":"w1"}`+"\n" {
		t.Errorf("the store exports %q", w.Body)
	}
	if w := call(t, store.serveExport, "/v1/export?part=y&parts=1", nil); w.Code != 404 || decode[engineapi.Rejection](t, w).Reason != "not-kept" {
		t.Errorf("status %d, %q", w.Code, w.Body)
	}
}

func TestEventLogIsBounded(t *testing.T) {
	e := newTestEngine(t, nil)
	for range 4097 {
		e.appendEvent(engineapi.Event{Op: "ran"})
	}
	if len(e.events) != 2049 || e.events[0].Seq != 2049 || e.lastSeq != 4097 {
		t.Errorf("%d events from %d, last %d", len(e.events), e.events[0].Seq, e.lastSeq)
	}
}

func TestReport(t *testing.T) {
	e := newTestEngine(t, nil)
	for _, name := range []string{"x", "y", "z"} {
		e.cache(name, "commons", "w1")
	}
	for _, c := range []struct {
		name     string
		inc      uint64
		after    int
		withheld int
		loading  string
		want     []string
		capacity int
	}{
		{"all", e.incarnation, 0, 0, "", []string{"1 keep x", "2 keep y", "3 keep z"}, 16},
		{"after", e.incarnation, 2, 0, "", []string{"3 keep z"}, 16},
		{"other incarnation", 1, 0, 0, "", nil, 16},
		{"withheld", e.incarnation, 0, 1000, "", []string{"1 keep x"}, 16},
		{"one event is not withheld", e.incarnation, 2, 1000, "", []string{"3 keep z"}, 16},
		{"loading weights", e.incarnation, 3, 0, "w2", nil, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			e.settings.WithheldPermille, e.nextWeights = c.withheld, c.loading
			w := call(t, e.serveReport, fmt.Sprintf("/v1/report?inc=%d&after=%d", c.inc, c.after), nil)
			got := decode[engineapi.Report](t, w)
			if !slices.Equal(operations(got.Events), c.want) || got.Capacity != c.capacity || got.LastSeq != 3 || got.Name != "e1" || got.Weights != "w1" || got.Incarnation != e.incarnation {
				t.Errorf("report %+v", got)
			}
		})
	}
	holdings := decode[engineapi.Holdings](t, call(t, e.serveHoldings, "/v1/keeps", nil))
	slices.Sort(holdings.Blocks)
	if !reflect.DeepEqual(holdings, engineapi.Holdings{Incarnation: e.incarnation, Seq: 3, Blocks: []string{"x", "y", "z"}}) {
		t.Errorf("holdings %+v", holdings)
	}
}

// TestSameSeedDrawsSameFaults guards against a change of the random sequence: trials are
// repeated by seed.
func TestSameSeedDrawsSameFaults(t *testing.T) {
	e := newTestEngine(t, func(s *Settings) { s.Seed, s.LostEventPermille = 7, 300 })
	for range 40 {
		e.appendEvent(engineapi.Event{Op: "ran"})
	}
	var kept []uint64
	for _, event := range e.events {
		kept = append(kept, event.Seq)
	}
	want := []uint64{2, 3, 5, 6, 8, 9, 10, 12, 13, 15, 16, 17, 20, 21, 23, 24, 25, 26, 27, 28, 29, 30, 32, 33, 34, 35, 36, 37, 38, 39, 40}
	if !slices.Equal(kept, want) {
		t.Errorf("events %v were not lost, want %v", kept, want)
	}
}

func TestWeights(t *testing.T) {
	e := newTestEngine(t, nil)
	e.fencingToken = 2
	e.cache("x", "commons", "w1")
	for _, c := range []struct {
		name    string
		request engineapi.WeightsRequest
		status  int
	}{
		{"no weights", engineapi.WeightsRequest{FencingToken: 2}, 400},
		{"old fencing token", engineapi.WeightsRequest{Weights: "w2", FencingToken: 1, Owner: "c1"}, 409},
		{"weights already in use", engineapi.WeightsRequest{Weights: "w1", FencingToken: 2}, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			if w := call(t, e.serveWeights, "/v1/weights", c.request); w.Code != c.status || e.nextWeights != "" {
				t.Errorf("status %d, next weights %q", w.Code, e.nextWeights)
			}
		})
	}
	if want := []string{"weights by c1: fencing token 1 after 2"}; !slices.Equal(e.observed.StaleTokenRequests, want) {
		t.Errorf("stale token requests %q", e.observed.StaleTokenRequests)
	}
	e.nextWeights = "w2" // a load of w2 is in progress
	if w := call(t, e.serveWeights, "/v1/weights", engineapi.WeightsRequest{Weights: "w3", FencingToken: 4}); w.Code != 200 || e.nextWeights != "w3" || e.fencingToken != 4 {
		t.Errorf("status %d, next weights %q, fencing token %d", w.Code, e.nextWeights, e.fencingToken)
	}
	e.loadWeights(context.Background())
	if e.weights != "w3" || e.nextWeights != "" || len(e.blocks) != 0 || e.lru.Len() != 0 {
		t.Errorf("weights %q, next %q, %d blocks", e.weights, e.nextWeights, len(e.blocks))
	}
	if got := operations(e.events); !slices.Equal(got, []string{"1 keep x", "2 drop x"}) {
		t.Errorf("events %q", got)
	}
}

// TestTransfer checks that a run uses blocks transferred from a peer, and recomputes them if
// the transfer fails.
func TestTransfer(t *testing.T) {
	peer := newTestEngine(t, nil)
	server := httptest.NewServer(http.HandlerFunc(peer.serveExport))
	t.Cleanup(server.Close)
	addr := server.Listener.Addr().String()
	peer.cache("y", "commons", "w1")
	peer.cache("other", "walled", "w1")
	for _, c := range []struct {
		name        string
		blocks      []string
		transfer    engineapi.Transfer
		failed      int
		transferred int
		reused      int
		mixed       int
	}{
		{"fetched", []string{"x", "y", "z"}, engineapi.Transfer{Block: 1, From: addr, WaitUS: 5_000_000}, 0, 2, 2, 0},
		{"lost", []string{"x", "y", "z"}, engineapi.Transfer{Block: 1, From: addr, WaitUS: 5_000_000}, 1000, 0, 0, 0},
		{"not cached at the peer", []string{"x", "absent"}, engineapi.Transfer{Block: 1, From: addr, WaitUS: 5_000_000}, 0, 0, 0, 0},
		{"mixed", []string{"other"}, engineapi.Transfer{Block: 0, From: addr, WaitUS: 5_000_000}, 0, 1, 1, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEngine(t, func(s *Settings) { s.FailedTransferPermille = c.failed })
			request := e.testRun("a1", c.blocks...)
			request.Transfer = &c.transfer
			call(t, e.serveRun, "/v1/run", request)
			run := e.observed.Runs[0]
			if run.Transferred != c.transferred || run.Reused != c.reused || !run.Completed || len(e.observed.InvalidReuse) != c.mixed {
				t.Errorf("observed %+v, %q", run, e.observed.InvalidReuse)
			}
		})
	}
}

func TestImport(t *testing.T) {
	peer := newTestEngine(t, nil)
	server := httptest.NewServer(http.HandlerFunc(peer.serveExport))
	t.Cleanup(server.Close)
	peer.cache("x", "commons", "w1")
	peer.cache("old", "commons", "w0")
	for _, c := range []struct {
		name   string
		block  string
		token  uint64
		status int
		cached bool
	}{
		{"imported", "x", 2, 200, true},
		{"other weights", "old", 2, 200, false},
		{"old fencing token", "x", 1, 200, false},
		{"not cached at the peer", "absent", 2, 502, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newTestEngine(t, nil)
			e.fencingToken = 2
			request := engineapi.ImportRequest{Block: c.block, From: server.Listener.Addr().String(), FencingToken: c.token, WaitUS: 5_000_000}
			w := call(t, e.serveImport, "/v1/import", request)
			if w.Code != c.status || (e.blocks[c.block] != nil) != c.cached {
				t.Errorf("status %d, %q, cached %v", w.Code, w.Body, e.blocks)
			}
		})
	}
}

func TestObservations(t *testing.T) {
	e := newTestEngine(t, nil)
	call(t, e.serveRun, "/v1/run", e.testRun("a1"))
	text, err := json.Marshal(e.observed)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"name":"e1","runs":[{"Group":"g","Ticket":"r1","Kind":"instruction-tag","Attempt":"a1","Weights":"w1","Whole":true,"Parts":0,"Reused":0,"Taken":0}],"mixed":null,"owners":null,"leaving":0}`
	if string(text) != want {
		t.Errorf("%s", text)
	}
}
