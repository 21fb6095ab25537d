package index

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"

	"violetthread/dispatch"
)

// TestRecordedForm compares the JSON form of the types in recordings and in the response of
// /v1/engines with testdata/recorded. Stored recordings are replayed by these names, so they
// must not change when a Go field is renamed.
func TestRecordedForm(t *testing.T) {
	recorded := map[string]any{
		"dispatch grant":      &dispatch.EngineGrant{},
		"dispatch request":    &dispatch.Request{},
		"dispatch rejection":  &dispatch.Rejection{},
		"index lease op":      &LeaseOp{},
		"index peer":          &Peer{},
		"index listed engine": &ListedEngine{},
		"index grant":         &EngineGrant{},
		"index grant request": &GrantRequest{},
		"index report":        &Report{},
		"index poll":          &Poll{},
		"index weight update": &WeightUpdate{},
		"index engine status": &EngineStatus{},
	}
	datadriven.RunTest(t, "testdata/recorded", func(t *testing.T, d *datadriven.TestData) string {
		name := strings.TrimSpace(d.Input)
		value, known := recorded[name]
		if !known {
			d.Fatalf(t, "no recorded type %q", name)
		}
		delete(recorded, name)
		n := 0
		fill(t, reflect.ValueOf(value).Elem(), &n)
		form, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		return string(form) + "\n"
	})
	for name := range recorded {
		t.Errorf("testdata/recorded has no entry for %s", name)
	}
}

// fill sets every field below v to a distinct value, so that a field that is missing from the
// JSON form or has another field's name is detected.
func fill(t *testing.T, v reflect.Value, n *int) {
	t.Helper()
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fill(t, v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(t, v.Index(0), n)
	case reflect.Map:
		key, value := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(t, key, n)
		fill(t, value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, value)
	case reflect.String:
		v.SetString(fmt.Sprint("s", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint32, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n))
	default:
		t.Fatalf("no value for a %s", v.Type())
	}
}
