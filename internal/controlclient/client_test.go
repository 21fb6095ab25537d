package controlclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// newNode starts a server that sends the same response to every request and counts the requests.
func newNode(t *testing.T, status int, body string) (addr string, requests *int) {
	t.Helper()
	requests = new(int)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		*requests++
		w.Header().Set("ETag", `"7"`)
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), requests
}

// abortingServer starts a server that closes each connection without a response.
func abortingServer(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
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

func TestGet(t *testing.T) {
	good, _ := newNode(t, http.StatusOK, `{"n":3}`)
	for _, c := range []struct {
		name      string
		addresses []string
	}{
		{"first responds", []string{good}},
		{"first refuses", []string{closedAddress(t), good}},
		{"first does not respond", []string{abortingServer(t), good}},
	} {
		t.Run(c.name, func(t *testing.T) {
			client := New(c.addresses, time.Second)
			r, err := client.Get(context.Background(), "/v1/plan")
			if err != nil || string(r.Body) != `{"n":3}` || r.ETag != "7" {
				t.Errorf("body %q, ETag %q, error %v", r.Body, r.ETag, err)
			}
			var out struct{ N int }
			if err := client.GetJSON(context.Background(), "/v1/plan", &out); err != nil || out.N != 3 {
				t.Errorf("got %v, error %v", out, err)
			}
		})
	}
}

// TestChangeIsSentOnce: a change is sent to the next node only after a refused connection. In any
// other case the first node may have applied it.
func TestChangeIsSentOnce(t *testing.T) {
	change := func(addresses ...string) error {
		_, err := New(addresses, time.Second).Change(context.Background(), http.MethodPut, "/v1/plan", []byte("{}"), "3")
		return err
	}
	t.Run("refused", func(t *testing.T) {
		good, n := newNode(t, http.StatusOK, "{}")
		if err := change(closedAddress(t), good); err != nil || *n != 1 {
			t.Errorf("%d requests, %v", *n, err)
		}
	})
	t.Run("no response", func(t *testing.T) {
		good, n := newNode(t, http.StatusOK, "{}")
		if err := change(abortingServer(t), good); !errors.Is(err, ErrOutcomeUnknown) || *n != 0 {
			t.Errorf("%d requests, %v", *n, err)
		}
	})
	t.Run("rejected", func(t *testing.T) {
		good, n := newNode(t, http.StatusOK, "{}")
		bad, _ := newNode(t, http.StatusConflict, `{"reason":"other-revision","remedy":"read it again","rev":9}`)
		var status *StatusError
		if err := change(bad, good); !errors.As(err, &status) || status.Status != http.StatusConflict || *n != 0 {
			t.Errorf("%d requests, %v", *n, err)
		}
	})
}

func TestErrors(t *testing.T) {
	ctx := context.Background()
	if _, err := New(nil, time.Second).Get(ctx, "/"); !errors.Is(err, ErrNoAddress) {
		t.Errorf("without addresses: %v", err)
	}
	if _, err := New([]string{closedAddress(t)}, time.Second).Get(ctx, "/"); err == nil || !strings.Contains(err.Error(), "check --at") {
		t.Errorf("with no node running: %v", err)
	}
	if _, err := New([]string{"no address"}, time.Second).Get(ctx, "/"); err == nil || !strings.Contains(err.Error(), "is not a valid IP:port") {
		t.Errorf("with an invalid address: %v", err)
	}
	text, _ := newNode(t, http.StatusOK, "text")
	var out any
	if err := New([]string{text}, time.Second).GetJSON(ctx, "/", &out); err == nil || !strings.Contains(err.Error(), "returned invalid JSON") {
		t.Errorf("with a response that is not JSON: %v", err)
	}
}

func TestStatusError(t *testing.T) {
	for _, c := range []struct{ name, body, want string }{
		{"reason", `{"reason":"no-plan","remedy":"send one"}`, "no-plan: send one"},
		{"revision", `{"reason":"r","remedy":"m","rev":4}`, "r: m (the plan has revision 4)"},
		{"no reason", "busy", "the control node responded: busy"},
	} {
		t.Run(c.name, func(t *testing.T) {
			addr, _ := newNode(t, http.StatusNotFound, c.body)
			_, err := New([]string{addr}, time.Second).Get(context.Background(), "/")
			var status *StatusError
			if !errors.As(err, &status) || status.Error() != c.want {
				t.Errorf("%v, want %q", err, c.want)
			}
		})
	}
	t.Run("findings", func(t *testing.T) {
		addr, _ := newNode(t, http.StatusBadRequest, `{"reason":"invalid","remedy":"correct it","findings":[{"path":"groups","text":"is empty","remedy":"add one"}]}`)
		_, err := New([]string{addr}, time.Second).Get(context.Background(), "/")
		if err == nil || len(strings.Split(err.Error(), "\n")) != 2 || !strings.Contains(err.Error(), "groups") {
			t.Errorf("%v", err)
		}
	})
}
