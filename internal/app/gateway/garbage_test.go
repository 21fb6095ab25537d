package gateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"

	"violetthread/dispatch"
	"violetthread/internal/callerapi"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/plan"
	"violetthread/recording/replay"
)

const (
	testKey    = "k-desk"
	testPieces = 4
)

// newTestGateway returns a gateway whose only engine is at addr.
func newTestGateway(t *testing.T, addr string) *gateway {
	t.Helper()
	d := daemon.New("gateway", "g", "127.0.0.1:0", 0)
	d.Log = logr.Discard()
	t.Cleanup(d.Group.Stop)
	g := &gateway{
		settings:   Defaults(),
		daemon:     d,
		backends:   newBackendClient(),
		dispatcher: &replay.Dispatcher{Dispatcher: dispatch.New("g", "north", 1)},
		calls:      map[uint64]*call{},
	}
	text := fmt.Sprintf(`{"weights":"w","kinds":{"draft":{"due_us":3000000}},"groups":{"desk":{"share":1,"keys":[%q]}}}`, plan.KeyDigest(testKey))
	cached, _, err := (&plan.Cached{}).Apply(plan.Update{Revision: 1, Raw: []byte(text), Confirmed: true}, clock.Now())
	if err != nil {
		t.Fatal(err)
	}
	g.plan.Store(&cached)
	g.step(func(now int64) []dispatch.Action {
		grant := dispatch.EngineGrant{Engine: "e", Addr: addr, Zone: "north", Weights: "w", NodeID: 7, FencingToken: 1, Capacity: 8}
		return append(g.dispatcher.ApplyPlan(now, &cached), g.dispatcher.ApplyGrants(now, []dispatch.EngineGrant{grant})...)
	})
	return g
}

// runLines returns the lines of a sound run.
func runLines() []string {
	lines := []string{`{"began":true}` + "\n"}
	for i := range testPieces {
		lines = append(lines, fmt.Sprintf(`{"piece":"piece %d"}`+"\n", i))
	}
	return append(lines, fmt.Sprintf(`{"done":true,"n":%d}`+"\n", testPieces))
}

// call sends a request to the gateway and returns the text of the pieces, and the last frame.
func callGateway(t *testing.T, g *gateway) (pieces string, last callerapi.Frame) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(g.serveRequest))
	defer server.Close()
	request, err := http.NewRequest(http.MethodPost, server.URL, strings.NewReader(`{"kind":"draft","prompt":"p"}`))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+testKey)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		last = callerapi.Frame{}
		if err := json.Unmarshal(lines.Bytes(), &last); err != nil {
			t.Errorf("%q: %v", lines.Text(), err)
		}
		if last.Frame == callerapi.FramePiece && last.Text != nil {
			pieces += *last.Text + "\n"
		}
	}
	return pieces, last
}

// garbageLines are bytes that no run may contain.
func garbageLines() []string {
	lines := []string{"junk\n", "{}\n", "null\n", "[1]\n", "{\"piece\":5}\n", "{\"began\":true}\n{\"began\":true}\n", "{\"done\":true,\"n\":99}\n", "{\"piece\":\"x\",\"done\":true}\n",
		"{\"began\":true,\"piece\":\"x\"}\n", "\x00\n", "HTTP/1.1 200 OK\r\n\r\n", "{\"error\":\"out of memory\"}\n", "{\"piece\":\"x\"", strings.Repeat("x", maxFrameBytes+1)}
	random := rand.New(rand.NewPCG(1, 34))
	const alphabet = "{}[]\":,\n\n0dpn\x00\xffx"
	for range 20 {
		garbage := make([]byte, 1+random.IntN(24))
		for i := range garbage {
			garbage[i] = alphabet[random.IntN(len(alphabet))]
		}
		lines = append(lines, "x"+string(garbage))
	}
	return lines
}

// TestGarbageInARunIsNotPassedOn: whatever an engine puts between the lines of a run, the caller gets pieces
// of a run in their order, and is told that it is done only if it has them all.
func TestGarbageInARunIsNotPassedOn(t *testing.T) {
	want := ""
	for i := range testPieces {
		want += fmt.Sprintf("piece %d\n", i)
	}
	for place := range len(runLines()) {
		for _, garbage := range garbageLines() {
			var runs atomic.Int64
			engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				lines := runLines()
				if runs.Add(1) == 1 {
					lines[place] = garbage + lines[place]
				}
				_, _ = w.Write([]byte(strings.Join(lines, "")))
			}))
			pieces, last := callGateway(t, newTestGateway(t, engine.Listener.Addr().String()))
			engine.Close()
			switch done := last.Frame == "done"; {
			case runs.Load() == 0:
				t.Fatalf("no run: %+v", last)
			case !strings.HasPrefix(want, pieces), done && pieces != want:
				t.Errorf("%.60q before line %d: pieces %q, then %+v", garbage, place, pieces, last)
			case !done && last.Reason == "":
				t.Errorf("%.60q before line %d: no last frame, but %+v", garbage, place, last)
			}
		}
	}
}
