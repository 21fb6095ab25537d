package callerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

// reasonOf returns the reason for which a body is refused, or "" if err is nil.
func reasonOf(t *testing.T, err error) string {
	t.Helper()
	var unknownField *UnknownFieldError
	switch {
	case err == nil:
		return ""
	case errors.As(err, &unknownField):
		return ReasonUnknownField
	case errors.Is(err, ErrMalformed):
		return ReasonMalformed
	}
	t.Fatalf("an error of another kind: %v", err)
	return ""
}

// TestDecodeRequest: bodies are decoded to the expected request or refused with the expected
// reason.
func TestDecodeRequest(t *testing.T) {
	for _, c := range []struct {
		name, body, wantReason string
		want                   Request
	}{
		{"all fields", `{"kind":"k","id":"i","era":3,"due_us":5,"prompt":"p"}`, "",
			Request{Kind: "k", ID: "i", Generation: 3, DueUS: 5, Prompt: "p"}},
		{"names in capitals", `{"KIND":"k","Due_US":5}`, "", Request{Kind: "k", DueUS: 5}},
		{"a field given twice", `{"kind":"k","kind":"l"}`, "", Request{Kind: "l"}},
		{"null", `null`, "", Request{}},
		{"an unknown field", `{"kind":"k","model":"m"}`, ReasonUnknownField, Request{}},
		{"an unknown field with a nested value", `{"x":{"y":[1,{"z":2}]},"kind":"k"}`, ReasonUnknownField, Request{}},
		{"an unknown field before a wrong type", `{"x":1,"kind":7}`, ReasonUnknownField, Request{}},
		{"a wrong type before an unknown field", `{"kind":7,"x":1}`, ReasonMalformed, Request{}},
		{"an unknown field and more after the object", `{"x":1} {}`, ReasonUnknownField, Request{}},
		{"more after the object", `{"kind":"k"} {}`, ReasonMalformed, Request{}},
		{"not closed", `{"x":1`, ReasonMalformed, Request{}},
		{"empty", ``, ReasonMalformed, Request{}},
		{"an array", `[1]`, ReasonMalformed, Request{}},
		{"a number too large", `{"due_us":9223372036854775808}`, ReasonMalformed, Request{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			request, err := DecodeRequest([]byte(c.body))
			if reason := reasonOf(t, err); reason != c.wantReason {
				t.Fatalf("refused for %q, want %q", reason, c.wantReason)
			}
			if err == nil && request != c.want {
				t.Fatalf("%+v, want %+v", request, c.want)
			}
		})
	}
}

// TestFieldNames: fieldNames lists all fields of Request.
func TestFieldNames(t *testing.T) {
	var names []string
	for i := range reflect.TypeFor[Request]().NumField() {
		name, _, _ := strings.Cut(reflect.TypeFor[Request]().Field(i).Tag.Get("json"), ",")
		names = append(names, name)
	}
	if !reflect.DeepEqual(names, fieldNames) {
		t.Fatalf("%v, and Request has %v", fieldNames, names)
	}
}

// decodeByText decodes with DisallowUnknownFields of encoding/json, whose error for an unknown
// field can be recognized only by its text.
func decodeByText(body []byte) (request Request, reason string) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		if strings.Contains(err.Error(), "unknown field") {
			return request, ReasonUnknownField
		}
		return request, ReasonMalformed
	}
	if _, err := decoder.Token(); err != io.EOF {
		return request, ReasonMalformed
	}
	return request, ""
}

// FuzzDecodeRequest: DecodeRequest accepts the same bodies, and refuses others for the same
// reasons, as encoding/json.
func FuzzDecodeRequest(f *testing.F) {
	for _, seed := range []string{
		`{"kind":"k","id":"i","era":3,"due_us":5,"prompt":"p"}`, `{"kind":7,"x":1}`, `{"x":1,"kind":7}`, `{"KIND":"k"}`,
		`{"kind":"k"} {}`, `{"\u212aind":"k"}`, "{\"\xff\":1}", `{"due_us":1e400}`, `{"kind":{},"x":1}`, `{"era":-1,"x":[]}`, ` [ {"x":1}]`, `{"kind":"k"}x`,
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		request, err := DecodeRequest(body)
		wantRequest, want := decodeByText(body)
		if reason := reasonOf(t, err); reason != want {
			t.Fatalf("%q is refused for %q, not for %q", body, reason, want)
		}
		if want == "" && request != wantRequest {
			t.Fatalf("%q is read as %+v, not as %+v", body, request, wantRequest)
		}
	})
}
