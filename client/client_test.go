package client

import (
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"

	"violetthread/internal/callerapi"
)

// fieldKinds returns the kinds of a struct's fields, by their JSON names.
func fieldKinds(value any) map[string]reflect.Kind {
	kinds := map[string]reflect.Kind{}
	structType := reflect.TypeOf(value)
	for i := range structType.NumField() {
		field := structType.Field(i)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fieldType := field.Type
		if fieldType.Kind() == reflect.Pointer {
			fieldType = fieldType.Elem()
		}
		kinds[name] = fieldType.Kind()
	}
	return kinds
}

// TestSchemaMatchesProxy: the proxy's types and the schema's have the same fields.
func TestSchemaMatchesProxy(t *testing.T) {
	for _, c := range []struct {
		name           string
		schema, served any
	}{
		{"request", Ticket{}, callerapi.Request{}},
		{"frame", Frame{}, callerapi.Frame{}},
		{"generation", Era{}, callerapi.Generation{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if schema, served := fieldKinds(c.schema), fieldKinds(c.served); !reflect.DeepEqual(schema, served) {
				t.Errorf("the schema has the fields %v, the proxy %v", schema, served)
			}
		})
	}
}

// TestLast: client and proxy agree on which frames end a response.
func TestLast(t *testing.T) {
	for _, name := range []string{
		callerapi.FrameAccepted, callerapi.FramePiece, callerapi.FrameDone, callerapi.FrameRefused, callerapi.FrameUnknown, "",
	} {
		if last, served := (Frame{Frame: name}).Last(), (callerapi.Frame{Frame: name}).Last(); last != served {
			t.Errorf("frame %q: Last is %v in the client and %v in the proxy", name, last, served)
		}
	}
}

// TestWithKey: the key is sent with a call.
func TestWithKey(t *testing.T) {
	var got string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		got = r.Header.Get("Authorization")
	}))
	t.Cleanup(server.Close)
	c, err := NewClient(server.URL, WithKey("secret"))
	if err != nil {
		t.Fatal(err)
	}
	response, err := c.SendTicket(context.Background(), Ticket{Kind: "k", Prompt: "p"})
	if err != nil {
		t.Fatal(err)
	}
	_ = response.Body.Close()
	if want := "Bearer secret"; got != want {
		t.Errorf("sent %q, want %q", got, want)
	}
}
