package backend

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

func TestRequestsAreCounted(t *testing.T) {
	b := &backend{requests: map[string]int{}}
	for _, c := range []struct {
		name, method, path, id, body string
		want                         string // the response body; empty if the connection is aborted
	}{
		{"first", http.MethodPost, "/app/x", "r1", "four", `{"bytes":4,"method":"POST","path":"/app/x"}`},
		{"again", http.MethodPost, "/app/x", "r1", "four", `{"bytes":4,"method":"POST","path":"/app/x"}`},
		{"other request", http.MethodPost, "/app/x", "r2", "", `{"bytes":0,"method":"POST","path":"/app/x"}`},
		{"without an id", http.MethodGet, "/app/y", "", "", `{"bytes":0,"method":"GET","path":"/app/y"}`},
		{"connection aborted", http.MethodPost, "/app/breaks", "r3", "", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			request := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			request.Header.Set(requestIDHeader, c.id)
			w := httptest.NewRecorder()
			defer func() {
				if cause, _ := recover().(error); (cause != nil) != (c.want == "") || cause != nil && !errors.Is(cause, http.ErrAbortHandler) {
					t.Errorf("panic %v", cause)
				}
			}()
			b.serve(w, request)
			if got := strings.TrimSpace(w.Body.String()); got != c.want {
				t.Errorf("response %s, want %s", got, c.want)
			}
		})
	}
	w := httptest.NewRecorder()
	b.serveCounts(w, httptest.NewRequest(http.MethodGet, "/seen", nil))
	want := `{"GET /app/y ":1,"POST /app/breaks r3":1,"POST /app/x r1":2,"POST /app/x r2":1}`
	if got := strings.TrimSpace(w.Body.String()); got != want {
		t.Errorf("counts %s, want %s", got, want)
	}
}
