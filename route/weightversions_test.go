package route

import (
	"reflect"
	"slices"
	"strings"
	"testing"
)

func TestWeights(t *testing.T) {
	current := &WeightVersions{}
	for i, step := range []struct {
		model   string
		version uint64
		want    string // "next", "nothing" or the finding's path
		newest  uint64
	}{
		{"m", 1, "next", 1},
		{"m", 1, "nothing", 1},
		{"m", 4, "next", 4},
		{"m", 1, "nothing", 4},
		{"m", 3, "nothing", 4}, // never announced, but there is a newer one
		{"b", 2, "next", 2},
		{"z", 1 << 63, "next", 1 << 63},
		{"m", 0, "version", 4},
		{"", 1, "model", 0},
		{strings.Repeat("x", MaxModelName+1), 1, "model", 0},
	} {
		before := current.Encode()
		next, f := current.Add(step.model, step.version)
		got := "nothing"
		if f != nil {
			got = f.Path
		} else if next != nil {
			got = "next"
		}
		if got != step.want || !slices.Equal(current.Encode(), before) {
			t.Fatalf("step %d: got %s, want %s with the receiver unchanged", i, got, step.want)
		}
		if next != nil {
			decoded, err := DecodeWeights(next.Encode())
			if err != nil || !reflect.DeepEqual(decoded, next) {
				t.Fatalf("step %d: %v, decoded %v, encoded %v", i, err, decoded, next)
			}
			current = decoded
		}
		if newest := current.Latest(step.model); newest != step.newest {
			t.Fatalf("step %d: newest is %d, want %d", i, newest, step.newest)
		}
	}
	want := []ModelVersions{{"b", []uint64{2}}, {"m", []uint64{1, 4}}, {"z", []uint64{1 << 63}}}
	if !reflect.DeepEqual(current.Models, want) {
		t.Fatalf("got %v", current.Models)
	}
	encoded := current.Encode()
	for i := range encoded {
		corrupt := slices.Clone(encoded)
		corrupt[i] ^= 1
		_, truncatedErr := DecodeWeights(encoded[:i])
		if _, corruptErr := DecodeWeights(corrupt); truncatedErr == nil || corruptErr == nil {
			t.Errorf("truncation or corruption at byte %d was not detected", i)
		}
	}
}

func TestWeightsAreBounded(t *testing.T) {
	current := &WeightVersions{}
	for version := uint64(1); version <= MaxVersions+5; version++ {
		current, _ = current.Add("m", version)
	}
	if versions := current.Models[0].Versions; len(versions) != MaxVersions || versions[MaxVersions-1] != MaxVersions+5 {
		t.Fatalf("got %v", versions)
	}
}

func FuzzDecodeWeights(f *testing.F) {
	d := WeightVersions{Models: []ModelVersions{{"b", []uint64{2}}, {"m", []uint64{1, 4}}}}
	b := d.Encode()
	f.Add(b[1 : len(b)-4])
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = DecodeWeights(body)
		first, err := DecodeWeights(encodeFrame(formatWeights, body))
		if err != nil {
			return
		}
		if second, err := DecodeWeights(first.Encode()); err != nil || !reflect.DeepEqual(first, second) {
			t.Fatalf("%v encoded and decoded gives %v, %v", first, second, err)
		}
	})
}
