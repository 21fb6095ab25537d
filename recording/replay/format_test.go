package replay

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"violetthread/dispatch"
	"violetthread/index"
	"violetthread/recording"
)

var update = flag.Bool("update", false, "overwrite testdata/stored_form.txt")

// recorded lists every type that is stored in recordings, named after the component, the
// event types and whether it is an input or output.
var recorded = []struct {
	name  string
	value any
}{
	{"header", recording.Header{}},
	{"event", recording.Event{}},
	{"dispatcher plan input", planInput{}},
	{"dispatcher output", dispatcherOutput{}},
	{"dispatcher orders input", []dispatch.EngineGrant{}},
	{"dispatcher arrive input", requestInput{}},
	{"dispatcher claimed, note, out, stop input", attemptInput{}},
	{"index node plan input", planInput{}},
	{"index node peers input", []index.Peer{}},
	{"index node peers output", (*index.Node)(nil).Placement},
	{"index node listing input", listingInput{}},
	{"index node want output", []index.LeaseOp{}},
	{"index node held input", leaseInput{}},
	{"index node polls output", []index.Poll{}},
	{"index node turns output", []index.WeightUpdate{}},
	{"index node whole input", holdingsInput{}},
	{"index node reported input", reportInput{}},
	{"index node orders input", index.GrantRequest{}},
	{"index node orders output", []index.EngineGrant{}},
}

// TestStoredForm: later versions of the program replay recordings, so the JSON form of the
// recorded types must not change when a Go field is renamed.
func TestStoredForm(t *testing.T) {
	var got bytes.Buffer
	for _, entry := range recorded {
		kind := reflect.TypeOf(entry.value)
		if kind.Kind() == reflect.Func {
			kind = kind.Out(0)
		}
		value := reflect.New(kind).Elem()
		fill(value)
		stored, err := json.Marshal(value.Interface())
		if err != nil {
			t.Fatalf("%s: %v", entry.name, err)
		}
		fmt.Fprintf(&got, "%s: %s\n", entry.name, stored)
	}
	path := filepath.Join("testdata", "stored_form.txt")
	if *update {
		if err := os.WriteFile(path, got.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := bytes.Split(got.Bytes(), []byte("\n")), bytes.Split(want, []byte("\n"))
	if len(gotLines) != len(wantLines) {
		t.Fatalf("%d recorded types, want %d", len(gotLines)-1, len(wantLines)-1)
	}
	for i := range wantLines {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Errorf("the stored form has changed:\n got %s\nwant %s", gotLines[i], wantLines[i])
		}
	}
}

// fill sets every exported field to a non-zero value, so that omitempty leaves none out of the
// JSON form.
func fill(value reflect.Value) {
	switch value.Kind() {
	case reflect.Struct:
		for i := range value.NumField() {
			if value.Type().Field(i).IsExported() {
				fill(value.Field(i))
			}
		}
	case reflect.Pointer:
		value.Set(reflect.New(value.Type().Elem()))
		fill(value.Elem())
	case reflect.Slice:
		if value.Type() == reflect.TypeFor[json.RawMessage]() {
			value.SetBytes([]byte("{}"))
			return
		}
		value.Set(reflect.MakeSlice(value.Type(), 1, 1))
		fill(value.Index(0))
	case reflect.Map:
		key, element := reflect.New(value.Type().Key()).Elem(), reflect.New(value.Type().Elem()).Elem()
		fill(key)
		fill(element)
		value.Set(reflect.MakeMap(value.Type()))
		value.SetMapIndex(key, element)
	case reflect.Array:
		for i := range value.Len() {
			fill(value.Index(i))
		}
	case reflect.String:
		value.SetString("s")
	case reflect.Bool:
		value.SetBool(true)
	case reflect.Float64:
		value.SetFloat(1.5)
	default:
		if value.CanInt() {
			value.SetInt(1)
		} else if value.CanUint() {
			value.SetUint(1)
		}
	}
}
