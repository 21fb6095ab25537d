package daemon

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strings"
	"testing"
)

func TestLogger(t *testing.T) {
	for _, c := range []struct {
		name  string
		event string
		pairs []any
		want  string
	}{
		{"one-word values", "started", []any{"version", "0.1.0", "count", 3, "on", true}, "event=started version=0.1.0 count=3 on=true"},
		{"values with spaces stay quoted", "failed", []any{"cause", "the disk is full"}, `event=failed cause="the disk is full"`},
		{"quotes stay escaped", "failed", []any{"cause", `key "a"="b"`}, `event=failed cause="key \"a\"=\"b\""`},
		{"no further keys", "stopped", nil, "event=stopped"},
	} {
		t.Run(c.name, func(t *testing.T) {
			var out bytes.Buffer
			newLogger(&out, "violetthread-control", "control0").Info(c.event, c.pairs...)
			at, rest, _ := strings.Cut(out.String(), " ")
			if !regexp.MustCompile(`^at=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{6}Z$`).MatchString(at) {
				t.Errorf("the time is %q", at)
			}
			if want := "program=violetthread-control node=control0 " + c.want + "\n"; rest != want {
				t.Errorf("%q, want %q", rest, want)
			}
		})
	}
}

// get sends a request to a daemon's HTTP server and returns the status and the body.
func get(t *testing.T, d *Daemon, method, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	d.server.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w.Code, strings.TrimSpace(w.Body.String())
}

func TestHTTP(t *testing.T) {
	d := New("test", "n", "127.0.0.1:0", 0)
	d.Gauge("level", "a level", func() float64 { return 7 })
	steps := []struct {
		name   string
		reason string // for SetReady
		path   string
		status int
		want   string
	}{
		{"alive", "starting", "/healthz", http.StatusOK, `{"vitals":"ok"}`},
		{"not ready", "starting", "/readyz", http.StatusServiceUnavailable, `{"reason":"not-ready","remedy":"starting"}`},
		{"ready", "", "/readyz", http.StatusOK, `{"ready":"yes"}`},
		{"metrics", "", "/metrics", http.StatusOK, "violetthread_level 7"},
		{"no such path", "", "/none", http.StatusNotFound, `"no-such-path"`},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			d.SetReady(s.reason)
			if status, body := get(t, d, http.MethodGet, s.path); status != s.status || !strings.Contains(body, s.want) {
				t.Errorf("%d %s", status, body)
			}
			if d.Ready() != (s.reason == "") {
				t.Errorf("ready: %v", d.Ready())
			}
		})
	}
}

// TestStop: a graceful stop makes the process not ready, then calls the drain functions, the
// last added first, and then the stop functions.
func TestStop(t *testing.T) {
	d := New("test", "n", "127.0.0.1:0", 1_000_000)
	d.SetReady("")
	var order []string
	d.OnDrain(func(context.Context) { order = append(order, "first added") })
	d.OnDrain(func(ctx context.Context) {
		if _, hasDeadline := ctx.Deadline(); !hasDeadline || !d.Stopping() || d.Ready() {
			t.Error("draining without a deadline, or while ready")
		}
		d.SetReady("")
		if d.Ready() {
			t.Error("ready again while stopping")
		}
		order = append(order, "last added")
	})
	d.OnStop(func() { order = append(order, "stop") })
	d.Group.Go("stopper", func(context.Context) {
		for d.app.Load() == nil { // Run has not been called yet
			continue
		}
		d.Stop()
	})
	if err := d.Run(); err != nil {
		t.Error(err)
	}
	if want := []string{"last added", "first added", "stop"}; !slices.Equal(order, want) {
		t.Errorf("%q, want %q", order, want)
	}
}

// TestFail: Run returns the first failure, even if Fail was called before Run.
func TestFail(t *testing.T) {
	d := New("test", "n", "127.0.0.1:0", 0)
	cause := errors.New("the disk is gone; replace it")
	d.Fail(cause)
	d.Fail(errors.New("another one"))
	if err := d.Run(); !errors.Is(err, cause) || !errors.Is(d.Failure(), cause) {
		t.Errorf("%v", err)
	}
	if _, body := get(t, d, http.MethodGet, "/readyz"); !strings.Contains(body, cause.Error()) {
		t.Errorf("/readyz: %s", body)
	}
}
