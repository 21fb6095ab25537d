package main

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// fleetServer plays a control node, an index node and the platform; without a plan it has
// none in force.
func fleetServer(t *testing.T, planText string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		switch q.URL.Path {
		case "/v1/plan":
			if planText == "" {
				w.WriteHeader(http.StatusNotFound)
				planText := `{"reason":"no-plan","remedy":"send one"}`
				_, _ = w.Write([]byte(planText))
				return
			}
			_, _ = w.Write([]byte(planText))
		case "/v1/fleet":
			_, _ = w.Write([]byte(strings.ReplaceAll(`{"roster_firm":true,"voters":[{"name":"control0","wire":"HOST"},{"name":"control1","wire":"127.0.0.1:1"}],"nodes":[
				{"name":"index0","role":"custodian","http":"HOST"},{"name":"gateway0","role":"remisier"}]}`, "HOST", q.Host)))
		case "/v1/engines":
			_, _ = w.Write([]byte(`{"engines":[{"name":"e1","site":"north"},{"name":"s","kind":"store"}]}`))
		}
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func refusing(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	return l.Addr().String()
}

func TestCheck(t *testing.T) {
	const example = "../../examples/plans/selat.json"
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	without, with := fleetServer(t, ""), fleetServer(t, string(text))
	broken := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(broken, []byte(`{"groups":{}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		at       string
		options  options
		findings bool
		err      string
	}{
		{"offline, in order", "", options{file: example, offline: true}, false, ""},
		{"offline, broken", "", options{file: broken, offline: true}, true, ""},
		{"offline, no file", "", options{offline: true}, false, "give the plan's file"},
		{"no such file", without, options{file: "/no/such/file"}, false, "give an existing file"},
		{"file before the first plan", without, options{file: example, platform: without}, true, ""},
		{"first node refuses", refusing(t) + "," + without, options{file: example, platform: without}, true, ""},
		{"no plan in force", without, options{platform: without}, false, "no-plan"},
		{"plan in force", with, options{platform: with}, true, ""},
		{"nobody answers", refusing(t), options{file: example}, false, "no control node answered"},
		{"no platform", with, options{}, false, "give --platform"},
		{"platform refuses", with, options{platform: refusing(t)}, false, "check --platform"},
	} {
		t.Run(c.name, func(t *testing.T) {
			findings, err := newChecker(strings.Split(c.at, ","), c.options.platform).check(context.Background(), c.options)
			switch {
			case c.err == "" && (err != nil || len(findings) > 0 != c.findings):
				t.Errorf("%v, %v", findings, err)
			case c.err != "" && (err == nil || !strings.Contains(err.Error(), c.err)):
				t.Errorf("%v, want %q", err, c.err)
			}
		})
	}
}

func TestWrite(t *testing.T) {
	var out bytes.Buffer
	write(&out, nil, false)
	write(&out, nil, true)
	if out.String() != "no findings\nnull\n" {
		t.Errorf("%q", out.String())
	}
}
