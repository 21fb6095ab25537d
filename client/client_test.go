package client

import (
	"reflect"
	"testing"

	"violetthread/internal/callerapi"
)

// TestSchemaIsWhatIsServed: the proxy's types and the schema's name the same fields.
func TestSchemaIsWhatIsServed(t *testing.T) {
	names := func(x any) map[string]reflect.Kind {
		out, v := map[string]reflect.Kind{}, reflect.TypeOf(x)
		for i := 0; i < v.NumField(); i++ {
			k := v.Field(i).Type
			if k.Kind() == reflect.Pointer {
				k = k.Elem()
			}
			out[v.Field(i).Tag.Get("json")] = k.Kind()
		}
		norm := map[string]reflect.Kind{}
		for n, k := range out {
			for i, c := range n {
				if c == ',' {
					n = n[:i]
					break
				}
			}
			norm[n] = k
		}
		return norm
	}
	for _, c := range [][2]any{{Ticket{}, callerapi.Request{}}, {Frame{}, callerapi.Frame{}}, {Era{}, callerapi.Generation{}}} {
		if a, b := names(c[0]), names(c[1]); !reflect.DeepEqual(a, b) {
			t.Errorf("%T: the schema says %v, the proxy %v", c[0], a, b)
		}
	}
}
