package main

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// runTool runs the tool once against a server that handles the requests to all nodes.
func runTool(t *testing.T, handler http.HandlerFunc, args ...string) (out, stderr string, exitCode int, err error) {
	t.Helper()
	var o, e bytes.Buffer
	tool := newTool(&o, &e)
	if handler != nil {
		s := httptest.NewServer(handler)
		t.Cleanup(s.Close)
		args = append([]string{"--at", s.Listener.Addr().String()}, args...)
	}
	err = tool.run(context.Background(), args)
	return o.String(), e.String(), tool.exitCode, err
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func TestPlan(t *testing.T) {
	var got struct{ method, path, match, body string }
	node := func(w http.ResponseWriter, q *http.Request) {
		var body bytes.Buffer
		_, _ = body.ReadFrom(q.Body)
		got.method, got.path, got.match, got.body = q.Method, q.URL.Path, q.Header.Get("If-Match"), body.String()
		w.Header().Set("ETag", `"4"`)
		_, _ = w.Write([]byte(`{"rev":5}`))
	}
	file := writeFile(t, `{"groups":{}}`)
	for _, c := range []struct {
		name, out, stderr   string
		method, match, body string
		args                []string
	}{
		{"get", `{"rev":5}`, "rev 4\n", "GET", "", "", []string{"plan", "get"}},
		{"put", "rev 5\n", "", "PUT", `"3"`, `{"groups":{}}`, []string{"plan", "put", "--if-rev", "3", file}},
		{"patch", "rev 5\n", "", "PATCH", "", `{"groups":{}}`, []string{"plan", "patch", file}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, stderr, code, err := runTool(t, node, c.args...)
			if err != nil || code != 0 || out != c.out || stderr != c.stderr {
				t.Errorf("%q %q %d %v", out, stderr, code, err)
			}
			if got.method != c.method || got.path != "/v1/plan" || got.match != c.match || got.body != c.body {
				t.Errorf("the node received %+v", got)
			}
		})
	}
}

func TestPlanCheck(t *testing.T) {
	example, err := os.ReadFile("../../examples/plans/selat.json")
	if err != nil {
		t.Fatal(err)
	}
	if out, _, code, err := runTool(t, nil, "plan", "check", writeFile(t, string(example))); out != "no findings\n" || code != 0 || err != nil {
		t.Errorf("%q %d %v", out, code, err)
	}
	if out, _, code, err := runTool(t, nil, "plan", "check", writeFile(t, `{"groups":{}}`)); out == "" || code != 1 || err != nil {
		t.Errorf("%q %d %v", out, code, err)
	}
	if _, _, _, err := runTool(t, nil, "plan", "check", "/no/such/file"); err == nil || !strings.Contains(err.Error(), "give an existing file") {
		t.Errorf("%v", err)
	}
}

// TestVoters checks that the command and its deprecated name send the same change.
func TestVoters(t *testing.T) {
	for _, name := range []string{"voters", "roster"} {
		t.Run(name, func(t *testing.T) {
			var change map[string]any
			_, _, _, err := runTool(t, func(_ http.ResponseWriter, q *http.Request) {
				if q.Method != http.MethodPost || q.URL.Path != "/v1/roster" || json.NewDecoder(q.Body).Decode(&change) != nil {
					t.Errorf("%s %s", q.Method, q.URL.Path)
				}
			}, name, "--old", "control1", "--new", "10.0.0.1:1", "--if-step", "6")
			if err != nil || change["old"] != "control1" || change["addr"] != "10.0.0.1:1" || change["step"] != 6.0 {
				t.Errorf("%v %v", change, err)
			}
		})
	}
	if _, _, _, err := runTool(t, nil, "voters", "--old", "control1"); err == nil || !strings.Contains(err.Error(), "--if-step") {
		t.Errorf("without a step: %v", err)
	}
}

func TestWait(t *testing.T) {
	requests := 0
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests++; requests < 3 {
			http.Error(w, "starting", http.StatusServiceUnavailable)
		}
	}))
	t.Cleanup(s.Close)
	addr := s.Listener.Addr().String()
	if out, _, _, err := runTool(t, nil, "wait", addr); out != "ready\n" || err != nil {
		t.Errorf("%q %v", out, err)
	}
	requests = -1 << 30
	if _, _, _, err := runTool(t, nil, "wait", "--seconds", "0", addr); err == nil || !strings.Contains(err.Error(), "is not ready: starting") {
		t.Errorf("%v", err)
	}
}

// TestRecording checks that the command and its deprecated name print the events that have a
// decision, or all events.
func TestRecording(t *testing.T) {
	file := writeFile(t, `{"tape":2,"part":"desk"}
{"at":1000000,"kind":"tick"}
{"at":2500000,"kind":"admit","in":{"id":1},"out":{"start":"e1"}}
`)
	for _, c := range []struct {
		name string
		args []string
		want []string
	}{
		{"decisions", []string{"recording", file}, []string{`{"tape":2`, "1.500s admit", `-> {"start":"e1"}`}},
		{"all", []string{"recording", "--all", file}, []string{"0.000s tick", "1.500s admit"}},
		{"deprecated name", []string{"tape", file}, []string{"1.500s admit"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, _, _, err := runTool(t, nil, c.args...)
			if err != nil {
				t.Fatal(err)
			}
			for _, want := range c.want {
				if !strings.Contains(out, want) {
					t.Errorf("%q is not in %q", want, out)
				}
			}
			if c.name == "decisions" && strings.Contains(out, "tick") {
				t.Errorf("an event without a decision is in %q", out)
			}
		})
	}
	if _, _, _, err := runTool(t, nil, "recording", writeFile(t, "{}\nno JSON\n")); err == nil || !strings.Contains(err.Error(), "line 2 is malformed") {
		t.Errorf("%v", err)
	}
}

// serveFleet handles the requests to the nodes of a fleet: a control node, an index node, a
// gateway, and a second gateway that does not answer.
func serveFleet(w http.ResponseWriter, q *http.Request) {
	switch q.URL.Path {
	case "/v1/fleet":
		_, _ = w.Write([]byte(strings.ReplaceAll(`{"nodes":[
			{"name":"index0","role":"custodian","site":"north","http":"HOST","duties":["duty/shard/0"]},
			{"name":"gateway0","role":"remisier","site":"east","http":"HOST","ready":true},
			{"name":"gateway1","role":"remisier","site":"east","http":"127.0.0.1:1"}]}`, "HOST", q.Host)))
	case "/v1/plan":
		_, _ = w.Write([]byte(`{"weights":"w2"}`))
	case "/v1/engines":
		_, _ = w.Write([]byte(`[{"name":"e2","weights":"w1"},{"name":"e1","weights":"w1"}]`))
	case "/metrics":
		_, _ = w.Write([]byte("violetthread_plan_rev 3\nvioletthread_other 4\n"))
	}
}

func TestViews(t *testing.T) {
	for _, c := range []struct {
		name string
		want []string
	}{
		{"engines", []string{"engine  site", "e1", "e2", "index0", "0 learnt, 0 unused"}},
		{"shards", []string{"0      index0  north", "1      nobody  -"}},
		{"proxies", []string{"gateway0  east  true   3", "gateway1", "does not answer"}},
		{"rollout", []string{"w1       false   2        e1 e2", "w2       true    0"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			out, _, _, err := runTool(t, serveFleet, c.name)
			if err != nil {
				t.Fatal(err)
			}
			for _, want := range c.want {
				if !strings.Contains(out, want) {
					t.Errorf("%q is not in\n%s", want, out)
				}
			}
			out, _, _, err = runTool(t, serveFleet, c.name, "--json")
			var rows []map[string]any
			if err != nil || json.Unmarshal([]byte(out), &rows) != nil || len(rows) == 0 {
				t.Errorf("%v\n%s", err, out)
			}
		})
	}
}

func TestRolloutWithoutPlan(t *testing.T) {
	_, _, _, err := runTool(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		_, _ = w.Write([]byte(`{"reason":"no-plan","remedy":"send one"}`))
	}, "rollout")
	if err == nil || !strings.Contains(err.Error(), "no plan is in force") {
		t.Errorf("%v", err)
	}
}
