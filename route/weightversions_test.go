package route

import (
	"reflect"
	"slices"
	"strings"
	"testing"
)

func TestWeights(t *testing.T) {
	cur := &WeightVersions{}
	for i, s := range []struct {
		model   string
		version uint64
		want    string // next, nothing or the finding's path
		newest  uint64
	}{
		{"m", 1, "next", 1},
		{"m", 1, "nothing", 1},
		{"m", 4, "next", 4},
		{"m", 1, "nothing", 4},
		{"m", 3, "nothing", 4}, // never named, but there is a newer one
		{"b", 2, "next", 2},
		{"z", 1 << 63, "next", 1 << 63},
		{"m", 0, "version", 4},
		{"", 1, "model", 0},
		{strings.Repeat("x", MaxModelName+1), 1, "model", 0},
	} {
		was := cur.Encode()
		next, f := cur.Add(s.model, s.version)
		got := "nothing"
		if f != nil {
			got = f.Path
		} else if next != nil {
			got = "next"
		}
		if got != s.want || !slices.Equal(cur.Encode(), was) {
			t.Fatalf("step %d: %s, want %s", i, got, s.want)
		}
		if next != nil {
			back, err := DecodeWeights(next.Encode())
			if err != nil || !reflect.DeepEqual(back, next) {
				t.Fatalf("step %d: %v, %v came back of %v", i, err, back, next)
			}
			cur = back
		}
		if n := cur.Latest(s.model); n != s.newest {
			t.Fatalf("step %d: newest is %d, not %d", i, n, s.newest)
		}
	}
	want := []ModelVersions{{"b", []uint64{2}}, {"m", []uint64{1, 4}}, {"z", []uint64{1 << 63}}}
	if !reflect.DeepEqual(cur.Models, want) {
		t.Fatalf("got %v", cur.Models)
	}
	b := cur.Encode()
	for i := range b {
		c := slices.Clone(b)
		c[i] ^= 1
		_, e1 := DecodeWeights(b[:i])
		if _, e2 := DecodeWeights(c); e1 == nil || e2 == nil {
			t.Errorf("damage at %d was not seen", i)
		}
	}
}

func TestWeightsAreBounded(t *testing.T) {
	cur := &WeightVersions{}
	for v := uint64(1); v <= MaxVersions+5; v++ {
		cur, _ = cur.Add("m", v)
	}
	if vs := cur.Models[0].Versions; len(vs) != MaxVersions || vs[MaxVersions-1] != MaxVersions+5 {
		t.Fatalf("got %v", vs)
	}
}

func FuzzDecodeWeights(f *testing.F) {
	d := WeightVersions{Models: []ModelVersions{{"b", []uint64{2}}, {"m", []uint64{1, 4}}}}
	b := d.Encode()
	f.Add(b[1 : len(b)-4])
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = DecodeWeights(body)
		x, err := DecodeWeights(encodeFrame(formatWeights, body))
		if err != nil {
			return
		}
		if y, err := DecodeWeights(x.Encode()); err != nil || !reflect.DeepEqual(x, y) {
			t.Fatalf("%v became %v, %v", x, y, err)
		}
	})
}
