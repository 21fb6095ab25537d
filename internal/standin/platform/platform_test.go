package platform

import (
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"violetthread/internal/engineapi"
)

func TestInitialEngines(t *testing.T) {
	for _, c := range []struct {
		name     string
		settings Settings
		want     []engineapi.ListedEngine
		invalid  bool
	}{
		{"nothing", Settings{}, nil, false},
		{"engines before the store", Settings{Engines: []string{"e1=127.0.0.1:1@north", "e2=127.0.0.1:2@south"}, Store: "s=127.0.0.1:3@north"}, []engineapi.ListedEngine{
			{Name: "e1", Addr: "127.0.0.1:1", Zone: "north", Kind: "engine"}, {Name: "e2", Addr: "127.0.0.1:2", Zone: "south", Kind: "engine"},
			{Name: "s", Addr: "127.0.0.1:3", Zone: "north", Kind: "store"}}, false},
		{"engine without a zone", Settings{Engines: []string{"e1=127.0.0.1:1"}}, nil, true},
		{"engine without an address", Settings{Engines: []string{"e1"}}, nil, true},
		{"store without a zone", Settings{Store: "s=127.0.0.1:3"}, nil, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, err := c.settings.initialEngines()
			if !reflect.DeepEqual(got, c.want) || (err != nil) != c.invalid {
				t.Errorf("%v, %v", got, err)
			}
		})
	}
}

func TestUpdate(t *testing.T) {
	const list = `{"engines":[{"name":"e1","addr":"a:1","site":"north","kind":"engine","leaving":false},{"name":"s","addr":"a:3","site":"north","kind":"store","leaving":false}]}`
	for _, c := range []struct {
		name, body, want string
	}{
		{"leaving", `{"name":"e1","leaving":true}`, strings.Replace(list, "false", "true", 1)},
		{"moved", `{"name":"e1","addr":"a:9","site":"south"}`, strings.Replace(strings.Replace(list, "a:1", "a:9", 1), "north", "south", 1)},
		{"gone", `{"name":"e1","gone":true}`, `{"engines":[{"name":"s","addr":"a:3","site":"north","kind":"store","leaving":false}]}`},
		{"added", `{"name":"e2","addr":"a:2","site":"south"}`, strings.TrimSuffix(list, "]}") + `,{"name":"e2","addr":"a:2","site":"south","kind":"engine","leaving":false}]}`},
		{"unknown engine without an address", `{"name":"e2","leaving":true}`, list},
		{"no name", `{"leaving":true}`, ""},
		{"invalid JSON", `e1`, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &platform{engines: []engineapi.ListedEngine{{Name: "e1", Addr: "a:1", Zone: "north", Kind: "engine"}, {Name: "s", Addr: "a:3", Zone: "north", Kind: "store"}}}
			w := httptest.NewRecorder()
			p.serveUpdate(w, httptest.NewRequest(http.MethodPost, "/v1/mark", strings.NewReader(c.body)))
			if c.want == "" {
				if w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), `"malformed"`) {
					t.Errorf("status %d, %s", w.Code, w.Body)
				}
				c.want = list
			}
			w = httptest.NewRecorder()
			p.serveEngines(w, httptest.NewRequest(http.MethodGet, "/v1/engines", nil))
			if got := strings.TrimSpace(w.Body.String()); got != c.want {
				t.Errorf("list %s, want %s", got, c.want)
			}
		})
	}
}
