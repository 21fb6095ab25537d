package engineapi

import (
	"testing"

	"violetthread/cacheindex"
)

// TestKeys: a formatted key is parsed to the same key, and other texts are rejected.
func TestKeys(t *testing.T) {
	key := cacheindex.Key{Hi: 0x0102030405060708, Lo: 0x1112131415161718, Check: 0x21222324}
	text := FormatKey(key)
	if want := "0102030405060708111213141516171821222324"; text != want {
		t.Fatalf("%s, want %s", text, want)
	}
	if got, ok := ParseKey(text); !ok || got != key {
		t.Fatalf("%v was parsed as %v", key, got)
	}
	for _, wrong := range []string{"", text[:38], text + "00", "x" + text[1:]} {
		if _, ok := ParseKey(wrong); ok {
			t.Errorf("%q was parsed as a key", wrong)
		}
	}
	if keys := FormatKeys(nil); keys == nil {
		t.Error("an empty list of keys is nil, which JSON encodes as null")
	}
}
