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

// fleetServer starts a server that acts as a control node, an index node and the platform. If
// planText is empty, no plan is in force.
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

// closedAddress returns an address that refuses connections.
func closedAddress(t *testing.T) string {
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
	withoutPlan, withPlan := fleetServer(t, ""), fleetServer(t, string(text))
	invalid := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(invalid, []byte(`{"groups":{}}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name     string
		at       string
		options  options
		findings bool
		err      string
	}{
		{"offline, valid", "", options{file: example, offline: true}, false, ""},
		{"offline, invalid", "", options{file: invalid, offline: true}, true, ""},
		{"offline, no file", "", options{offline: true}, false, "give the plan's file"},
		{"no such file", withoutPlan, options{file: "/no/such/file"}, false, "give an existing file"},
		{"file before the first plan", withoutPlan, options{file: example, platform: withoutPlan}, true, ""},
		{"first node refuses connections", closedAddress(t) + "," + withoutPlan, options{file: example, platform: withoutPlan}, true, ""},
		{"no plan in force", withoutPlan, options{platform: withoutPlan}, false, "no-plan"},
		{"plan in force", withPlan, options{platform: withPlan}, true, ""},
		{"no node answers", closedAddress(t), options{file: example}, false, "no control node answered"},
		{"no platform", withPlan, options{}, false, "give --platform"},
		{"platform refuses connections", withPlan, options{platform: closedAddress(t)}, false, "check --platform"},
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
