package callers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"violetthread/client"
	"violetthread/internal/clock"
	"violetthread/internal/standin/engine"
)

func newTestGenerator(settings Settings) *loadGenerator {
	return &loadGenerator{settings: settings, http: http.DefaultClient}
}

// serve starts a test server that sends the same response to every request, and returns its
// address.
func serve(t *testing.T, status int, body string) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

const (
	piece0 = `{"frame":"piece","n":0,"text":"a1#0"}` + "\n"
	piece1 = `{"frame":"piece","n":1,"text":"a1#1"}` + "\n"
	piece2 = `{"frame":"piece","n":2,"text":"a1#2"}` + "\n"
	done3  = `{"frame":"done","pieces":3}` + "\n"
)

func TestExchange(t *testing.T) {
	for _, c := range []struct {
		name                       string
		status                     int
		body                       string
		hangsUp                    bool
		outcome, reason, violation string
		generation                 uint64
	}{
		{"done", 200, `{"frame":"accepted","era":5}` + "\n" + piece0 + piece1 + piece2 + done3, false, "done", "", "", 5},
		{"caller disconnects", 200, piece0 + piece1 + piece2 + done3, true, "", "hung-up", "", 0},
		{"response cut short", 200, piece0 + piece1, false, "", "", "", 0},
		{"missing piece", 200, piece0 + piece2 + done3, false, "done", "", "done after 2 pieces", 0},
		{"stitched", 200, piece0 + strings.Replace(piece1, "a1", "a2", 1), false, "", "", "pieces of two attempts or out of order: piece 1 is a2#1 after 1 pieces of a1", 0},
		{"pieces out of order", 200, piece1, false, "", "", "pieces of two attempts or out of order: piece 1 is a1#1 after 0 pieces of a1", 0},
		{"too few pieces", 200, piece0 + `{"frame":"done","pieces":1}`, false, "done", "", "done after 1 pieces", 0},
		{"other piece count", 200, piece0 + piece1 + piece2 + `{"frame":"done","pieces":4}`, false, "done", "", "done after 3 pieces", 0},
		{"refused", 200, `{"frame":"refused","reason":"late","remedy":"send it earlier"}`, false, "refused", "late", "", 0},
		{"unknown", 200, piece0 + `{"frame":"unknown","reason":"lost","remedy":"ask"}`, false, "unknown", "lost", "", 0},
		{"refused without a remedy", 200, `{"frame":"refused","reason":"late"}`, false, "refused", "late", "no remedy for late", 0},
		{"frame after the last", 200, piece0 + piece1 + piece2 + done3 + piece0, false, "done", "", "frame after the last one: " + strings.TrimSpace(piece0), 0},
		{"invalid JSON", 200, "piece", false, "", "", "invalid JSON: piece", 0},
		{"unknown frame", 200, `{"frame":"new"}`, false, "", "", "unknown frame: new", 0},
		{"rejected", 429, `{"frame":"refused","reason":"busy","remedy":"wait","era":9}`, false, "refused", "busy", "", 9},
		{"rejected without a remedy", 429, `{"frame":"refused","reason":"busy"}`, false, "refused", "busy", `status 429 without a valid rejection frame: {"frame":"refused","reason":"busy"}`, 0},
		{"rejected without JSON", 500, "oops", false, "", "", "status 500 without a valid rejection frame: oops", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGenerator(Settings{})
			result := Result{Group: "mandates", Kind: "instruction-tag", ID: "r1", Proxy: serve(t, c.status, c.body), DueUS: 5_000_000, HangsUp: c.hangsUp}
			g.exchange(context.Background(), &result, "prompt", clock.Now())
			if result.Status != c.status || result.Outcome != c.outcome || result.Reason != c.reason || result.Violation != c.violation {
				t.Errorf("result %+v", result)
			}
			if g.generation != c.generation {
				t.Errorf("generation %d", g.generation)
			}
			if pieces := strings.HasPrefix(c.body, `{"frame":"piece"`) || c.name == "done"; (result.FirstPieceUS > 0) != pieces {
				t.Errorf("first piece after %d us", result.FirstPieceUS)
			}
		})
	}
}

// TestRequest checks the HTTP request that a proxy receives.
func TestRequest(t *testing.T) {
	var got client.Ticket
	var authorization, path string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		authorization, path = r.Header.Get("Authorization"), r.URL.Path
		if err := json.NewDecoder(r.Body).Decode(&got); err != nil {
			t.Error(err)
		}
	}))
	t.Cleanup(server.Close)
	result := Result{Group: "mandates", Kind: "confirmation", ID: "r1", Proxy: server.Listener.Addr().String(), DueUS: 8_000_000, Generation: 4}
	newTestGenerator(Settings{}).exchange(context.Background(), &result, "text", clock.Now())
	id, generation, due := "r1", uint64(4), int64(8_000_000)
	if want := (client.Ticket{Kind: "confirmation", Id: &id, Era: &generation, DueUs: &due, Prompt: "text"}); !reflect.DeepEqual(got, want) {
		t.Errorf("sent %+v", got)
	}
	if path != "/v1/tickets" || authorization != "Bearer key-of-mandates" {
		t.Errorf("sent to %s with %s", path, authorization)
	}
}

func TestFailover(t *testing.T) {
	done := piece0 + piece1 + piece2 + done3
	unavailable := `{"frame":"refused","reason":"draining","remedy":"go elsewhere"}`
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	for _, c := range []struct {
		name       string
		first      func(*testing.T) string
		alone      bool
		failedOver bool
		outcome    string
		reason     string
	}{
		{"served", func(t *testing.T) string { return serve(t, 200, done) }, false, false, "done", ""},
		{"unavailable", func(t *testing.T) string { return serve(t, 503, unavailable) }, false, true, "done", ""},
		{"refuses connections", func(*testing.T) string { return closed.Listener.Addr().String() }, false, true, "done", ""},
		{"rejected with another status", func(t *testing.T) string { return serve(t, 429, unavailable) }, false, false, "refused", "draining"},
		{"no other proxy", func(t *testing.T) string { return serve(t, 503, unavailable) }, true, false, "refused", "draining"},
		{"refuses connections, no other proxy", func(*testing.T) string { return closed.Listener.Addr().String() }, true, false, "", "nobody-there"},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := newTestGenerator(Settings{Proxies: []string{c.first(t)}})
			if !c.alone {
				g.settings.Proxies = append(g.settings.Proxies, serve(t, 200, done))
			}
			g.send(context.Background(), Result{Kind: "instruction-tag", ID: "r1", Proxy: g.settings.Proxies[0], DueUS: 5_000_000}, "")
			result := g.results[0]
			if result.Outcome != c.outcome || result.Reason != c.reason || result.FailedOver != c.failedOver || result.Violation != "" || result.TotalUS <= 0 {
				t.Errorf("result %+v", result)
			}
		})
	}
}

func TestGeneration(t *testing.T) {
	closed := httptest.NewServer(http.NotFoundHandler())
	closed.Close()
	g := newTestGenerator(Settings{Proxies: []string{closed.Listener.Addr().String(), serve(t, 200, "oops"), serve(t, 200, `{"era":0}`), serve(t, 200, `{"era":7}`), serve(t, 200, `{"era":9}`)}})
	g.fetchGeneration()
	for _, c := range []struct{ observed, want uint64 }{{0, 7}, {6, 7}, {8, 8}, {7, 8}} {
		if got := g.observeGeneration(c.observed); got != c.want {
			t.Errorf("after %d the generation is %d, want %d", c.observed, got, c.want)
		}
	}
}

func TestReport(t *testing.T) {
	runs := func(requests ...string) engine.Observations {
		observed := engine.Observations{Name: "e1"}
		for _, id := range requests {
			observed.Runs = append(observed.Runs, engine.ObservedRun{Group: "g", RequestID: id, Blocks: 5, Reused: 3, Transferred: 1})
		}
		return observed
	}
	done := Result{Group: "g", ID: "r1", Outcome: "done"}
	once := Result{Group: "g", ID: "r1", Outcome: "done", OnceOnly: true}
	rejected := Result{Group: "g", ID: "r1", Outcome: "refused", Reason: "late"}
	for _, c := range []struct {
		name     string
		settings Settings
		results  []Result
		observed engine.Observations
		want     []string
	}{
		{"done", Settings{}, []Result{done}, runs("r1"), []string{}},
		{"retried", Settings{}, []Result{done}, runs("r1", "r1"), []string{}},
		{"once-only ran twice", Settings{}, []Result{once}, runs("r1", "r1"), []string{"g/r1 ran 2 times"}},
		{"once-only done twice", Settings{}, []Result{once, once}, runs("r1"), []string{"g/r1 was done 2 times"}},
		{"rejected", Settings{}, []Result{rejected}, runs(), []string{}},
		{"rejected but ran", Settings{}, []Result{rejected}, runs("r1"), []string{"g/r1 was refused but ran"}},
		{"rejected, resent and ran", Settings{}, []Result{rejected, done}, runs("r1"), []string{}},
		{"done without a run", Settings{}, []Result{done}, runs("r2"), []string{"g/r1 was done but no engine ran it"}},
		{"done without a run, under faults", Settings{Faults: true}, []Result{done}, runs("r2"), []string{}},
		{"violation", Settings{}, []Result{{Group: "g", ID: "r1", Violation: "stitched"}}, runs(), []string{"g/r1: stitched"}},
		{"invalid reuse and stale tokens", Settings{}, nil, engine.Observations{Name: "e1", InvalidReuse: []string{"m"}, StaleTokenRequests: []string{"s"}}, []string{"invalid cache reuse at e1: m", "stale fencing token at e1: s"}},
		{"enough done", Settings{MinDonePermille: 500}, []Result{done, rejectedAs("r2")}, runs("r1"), []string{}},
		{"too few done", Settings{MinDonePermille: 501}, []Result{done, rejectedAs("r2")}, runs("r1"), []string{"only 1 of 2 done"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			text, err := json.Marshal(c.observed)
			if err != nil {
				t.Fatal(err)
			}
			c.settings.Engines = []string{serve(t, 200, string(text))}
			g := newTestGenerator(c.settings)
			g.results = c.results
			report, err := g.report()
			if err != nil || !reflect.DeepEqual(report.Violations, c.want) {
				t.Errorf("violations %q, %v; want %q", report.Violations, err, c.want)
			}
			if n := len(c.observed.Runs); report.Runs != n || report.Blocks != 5*n || report.ReusedBlocks != 3*n || report.TransferredBlocks != n {
				t.Errorf("report %+v of %d runs", report, n)
			}
		})
	}
}

func rejectedAs(id string) Result { return Result{Group: "g", ID: id, Outcome: "refused"} }

func TestReportWithUnreachableEngines(t *testing.T) {
	for _, faults := range []bool{false, true} {
		g := newTestGenerator(Settings{Faults: faults, Engines: []string{serve(t, 500, "")}})
		if _, err := g.report(); (err == nil) != faults {
			t.Errorf("with faults %v: %v", faults, err)
		}
	}
}

// TestReportOutput pins the form of the printed report and of the report's file, which scripts
// read.
func TestReportOutput(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.json")
	g := newTestGenerator(Settings{Scenario: "selat", Report: path, Faults: true})
	for i, result := range []Result{
		{Group: "mandates", Outcome: "done", FirstPieceUS: 12_400, TotalUS: 90_000, DueUS: 80_000},
		{Group: "mandates", Outcome: "done", FirstPieceUS: 20_000, TotalUS: 70_000, DueUS: 80_000, FailedOver: true},
		{Group: "research", Outcome: "refused", Reason: "late", TotalUS: 50_000, DueUS: 80_000},
		{Group: "research", Outcome: "refused", Reason: "busy", TotalUS: 1_000, DueUS: 80_000},
		{Group: "research", Outcome: "unknown", Reason: "lost", DueUS: 80_000},
		{Group: "research", Reason: "hung-up", DueUS: 80_000, Violation: "invalid JSON: x"},
	} {
		result.ID = fmt.Sprint("r", i)
		g.results = append(g.results, result)
	}
	report, err := g.report()
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	report.Print(&out)
	const want = `scenario          selat
sent              6
done              2
refused           2
unknown           1
incomplete        1
moved on at door  1
first piece       p50 20ms  p90 20ms  p99 20ms
whole answer      p50 90ms  p90 90ms  p99 90ms
worst lateness    10ms
late refusals     1
runs              0
parts reused      0 of 0 (0 taken from peers)
reason            busy                 1
reason            hung-up              1
reason            late                 1
reason            lost                 1
group             mandates         done 2, refused 0, unknown 0, incomplete 0
group             research         done 0, refused 2, unknown 1, incomplete 1
BROKEN            research/r5: invalid JSON: x
`
	if out.String() != want {
		t.Errorf("printed\n%s", out.String())
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	const wantFile = `{"scenario":"selat","sent":6,"done":2,"refused":2,"unknown":1,"incomplete":1,"moved_to_another_proxy":1,` +
		`"reasons":{"busy":1,"hung-up":1,"late":1,"lost":1},"worst_lateness_us":10000,"refused_after_half_the_due":1,` +
		`"first_piece_us_p50_p90_p99":[20000,20000,20000],"total_us_p50_p90_p99":[90000,90000,90000],"runs":0,"parts":0,"parts_reused":0,"parts_taken_from_peers":0,` +
		`"groups":{"mandates":{"done":2},"research":{"incomplete":1,"refused":2,"unknown":1}},"broken":["research/r5: invalid JSON: x"]}`
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil || compact.String() != wantFile {
		t.Errorf("file %s, %v", compact.String(), err)
	}
	out.Reset()
	(&Report{}).Print(&out)
	if !strings.HasSuffix(out.String(), "\nno must-never was broken\n") {
		t.Errorf("a report without violations ends with %q", out.String())
	}
}
