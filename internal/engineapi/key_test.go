package engineapi

import (
	"testing"

	"violetthread/cacheindex"
)

// TestKeys: keys come back as they were written, and nothing else is read as one.
func TestKeys(t *testing.T) {
	key := cacheindex.Key{Hi: 0x0102030405060708, Lo: 0x1112131415161718, Check: 0x21222324}
	text := FormatKey(key)
	if want := "0102030405060708111213141516171821222324"; text != want {
		t.Fatalf("%s, want %s", text, want)
	}
	if got, ok := ParseKey(text); !ok || got != key {
		t.Fatalf("%v came back as %v", key, got)
	}
	for _, wrong := range []string{"", text[:38], text + "00", "x" + text[1:]} {
		if _, ok := ParseKey(wrong); ok {
			t.Errorf("%q was read as a key", wrong)
		}
	}
	if keys := FormatKeys(nil); keys == nil {
		t.Error("no keys are nil, which JSON shows as null")
	}
}
