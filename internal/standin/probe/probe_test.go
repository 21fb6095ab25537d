package probe

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"violetthread/cacheindex"
	"violetthread/internal/callerapi"
	"violetthread/internal/engineapi"
)

// serve starts a test server and returns its address.
func serve(t *testing.T, handler http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func decode(t *testing.T, r *http.Request, body any) {
	t.Helper()
	if err := json.NewDecoder(r.Body).Decode(body); err != nil {
		t.Error(err)
	}
}

func TestLatency(t *testing.T) {
	var sent []string // paths in the order that requests were sent
	engine := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v1/report" {
			_, _ = fmt.Fprint(w, `{"name":"spare","inc":"7","weights":"w5"}`)
			return
		}
		var run engineapi.RunRequest
		decode(t, r, &run)
		if r.URL.Path != "/v1/run" || run.NodeID != cacheindex.NodeID("spare", 7) || run.Weights != "w5" || run.Kind != "instruction-tag" || run.FencingToken != 1 {
			t.Errorf("%s with %+v", r.URL.Path, run)
		}
		sent = append(sent, "direct")
		_, _ = fmt.Fprintln(w, `{"began":true}`+"\n"+`{"piece":"a1#0"}`)
	})
	proxy := serve(t, func(w http.ResponseWriter, r *http.Request) {
		var request callerapi.Request
		decode(t, r, &request)
		if r.URL.Path != "/v1/tickets" || r.Header.Get("Authorization") != "Bearer key-of-dealing-desk" || !strings.HasPrefix(request.ID, request.Kind+"-") {
			t.Errorf("%s with %+v", r.URL.Path, request)
		}
		sent = append(sent, request.Kind)
		_, _ = fmt.Fprintln(w, `{"frame":"piece","text":"a1#0"}`)
	})
	probe := LatencyDefaults()
	probe.Proxy, probe.Engine, probe.Pairs = proxy, engine, 3
	var out bytes.Buffer
	if err := probe.Run(&out); err != nil {
		t.Fatal(err)
	}
	form := regexp.MustCompile(`^first piece, medians of 3: direct \d+ us, by proxy \d+ us, once-only by proxy \d+ us
paired differences, medians: proxy adds -?\d+ us, a claim adds -?\d+ us
$`)
	if !form.MatchString(out.String()) {
		t.Errorf("printed %q", out.String())
	}
	want := []string{"direct", "plain", "instruction-tag", "plain", "instruction-tag", "direct", "instruction-tag", "direct", "plain"}
	if !slices.Equal(sent, want) {
		t.Errorf("sent %v, want %v", sent, want)
	}
}

func TestLatencyErrors(t *testing.T) {
	for _, c := range []struct {
		name, answer string
		status       int
		want         string
	}{
		{"rejected", `{"refused":"busy"}`, http.StatusServiceUnavailable, `answered 503: {"refused":"busy"}`},
		{"no piece", `{"began":true}`, http.StatusOK, "sent no piece"},
	} {
		t.Run(c.name, func(t *testing.T) {
			probe := LatencyDefaults()
			probe.Engine = serve(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/report" {
					_, _ = fmt.Fprint(w, `{}`)
					return
				}
				w.WriteHeader(c.status)
				_, _ = fmt.Fprint(w, c.answer)
			})
			if err := probe.Run(&bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestRollout(t *testing.T) {
	revision, behind := 10, 0
	controls := make([]string, 2)
	var patched []int
	for i := range controls {
		controls[i] = serve(t, func(w http.ResponseWriter, r *http.Request) {
			var patch struct{ Notes struct{ Rollout int64 } }
			decode(t, r, &patch)
			if r.Method != http.MethodPatch || r.URL.Path != "/v1/plan" || patch.Notes.Rollout == 0 {
				t.Errorf("%s %s with %+v", r.Method, r.URL.Path, patch)
			}
			patched = append(patched, i)
			revision, behind = revision+1, 2
			_, _ = fmt.Fprintf(w, `{"rev":%d}`, revision)
		})
	}
	proxy := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		shown := revision
		if behind > 0 {
			behind--
			shown--
		}
		_, _ = fmt.Fprintf(w, "# TYPE violetthread_plan_rev gauge\nvioletthread_plan_rev %d\n", shown)
	})
	var out bytes.Buffer
	if err := (RolloutProbe{Controls: controls, Proxies: []string{proxy}, Changes: 3}).Run(&out); err != nil {
		t.Fatal(err)
	}
	form := regexp.MustCompile(`^plan changes: 3; acknowledged after a median of \d+ us, worst \d+ us; in force at all 1 proxies after a median of \d+ us, worst \d+ us\n$`)
	if !form.MatchString(out.String()) || behind != 0 || !slices.Equal(patched, []int{0, 1, 0}) {
		t.Errorf("printed %q, %d polls left, changes at %v", out.String(), behind, patched)
	}
}

func TestRolloutErrors(t *testing.T) {
	accepting := func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, `{"rev":1}`) }
	for _, c := range []struct {
		name    string
		control http.HandlerFunc
		want    string
	}{
		{"rejected", func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusConflict)
			_, _ = fmt.Fprint(w, `{}`)
		}, "plan change failed with status 409"},
		{"invalid JSON", func(w http.ResponseWriter, _ *http.Request) { _, _ = fmt.Fprint(w, "ok") }, "plan change failed with status 200"},
		{"no metric", accepting, "has no metric violetthread_plan_rev"},
	} {
		t.Run(c.name, func(t *testing.T) {
			probe := RolloutProbe{Controls: []string{serve(t, c.control)}, Proxies: []string{serve(t, accepting)}, Changes: 1}
			if err := probe.Run(&bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), c.want) {
				t.Errorf("error %v", err)
			}
		})
	}
}

func TestCPUTime(t *testing.T) {
	stat := "42 (a (b) c) S 1 2 3 4 5 6 7 8 9 10 250 50 0 0 20 0 1"
	if us, err := parseCPUTime([]byte(stat)); err != nil || us != 3_000_000 {
		t.Errorf("%d us, %v", us, err)
	}
	if _, err := parseCPUTime([]byte(strings.Replace(stat, "250", "x", 1))); err == nil {
		t.Error("no error for a time that is not a number")
	}
	var out bytes.Buffer
	own := strconv.Itoa(os.Getpid())
	if err := (CPUProbe{PIDs: []string{own, own}}).Run(&out); err != nil {
		t.Fatal(err)
	}
	if us, err := strconv.ParseInt(strings.TrimSpace(out.String()), 10, 64); err != nil || us < 0 {
		t.Errorf("printed %q", out.String())
	}
	if err := (CPUProbe{PIDs: []string{"0"}}).Run(&out); err == nil {
		t.Error("no error for a process that does not exist")
	}
}

func TestMedian(t *testing.T) {
	for _, c := range []struct {
		name   string
		values []int64
		want   int64
	}{
		{"one", []int64{4}, 4},
		{"odd", []int64{9, 1, 5}, 5},
		{"even takes the upper", []int64{4, 1, 3, 2}, 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			unsorted := slices.Clone(c.values)
			if got := median(c.values); got != c.want || !slices.Equal(c.values, unsorted) {
				t.Errorf("median %d of %v", got, c.values)
			}
		})
	}
}
