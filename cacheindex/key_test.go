package cacheindex

import (
	"fmt"
	"strings"
	"testing"
)

// TestPrefixKeys checks that prompts share the keys of their common prefix, and only under the
// same domain and weights.
func TestPrefixKeys(t *testing.T) {
	prompt := strings.Repeat("x", 3*BlockBytes) + "tail"
	keys := PrefixKeys("commons", "w1", prompt)
	if len(keys) != 3 {
		t.Fatalf("%d keys for three blocks and an incomplete one", len(keys))
	}
	if other := PrefixKeys("commons", "w1", prompt[:2*BlockBytes]+"other"); other[0] != keys[0] || other[1] != keys[1] || len(other) != 2 {
		t.Fatal("different keys for a shared prefix")
	}
	seen := map[Key]string{}
	for _, names := range []struct{ domain, weights string }{
		{"commons", "w1"}, {"commons", "w2"}, {"wall:a", "w1"}, {"wall:a", "w"}, {"wall:aw", "1"},
	} {
		key := PrefixKeys(names.domain, names.weights, prompt)[0]
		if other := seen[key]; other != "" || key.Check != DomainCheck(names.domain, names.weights) {
			t.Fatalf("%v has the same key as %s, or a wrong check", names, other)
		}
		seen[key] = fmt.Sprint(names)
	}
}

// TestBlockKeyBounds checks that the key depends on the boundaries between salt, model and ID,
// not only on their concatenation.
func TestBlockKeyBounds(t *testing.T) {
	text := "ab.1m0c"
	seen := map[Key]string{}
	for i := 0; i <= len(text); i++ {
		for j := i; j <= len(text); j++ {
			name := text[:i] + "|" + text[i:j] + "|" + text[j:]
			key := BlockKey(text[:i], text[i:j], text[j:])
			if other, taken := seen[key]; taken {
				t.Fatalf("%s and %s have the same key", other, name)
			}
			seen[key] = name
		}
	}
	for _, salt := range []string{"", "\x00", "\x01\x00a", "a\x00", strings.Repeat("s", 300)} {
		for _, model := range []string{"", "\x00", "\x00\x00", "m\x00"} {
			for _, id := range []string{"", "\x00", "0"} {
				key := BlockKey(salt, model, id)
				if _, taken := seen[key]; taken {
					t.Fatalf("%q %q %q has the key of another block", salt, model, id)
				}
				seen[key] = salt
				if key != BlockKey(salt, model, id) {
					t.Fatal("two keys for the same block")
				}
			}
		}
	}
}

// TestBlockKeyCheck checks that the check depends on salt and model, and not on the ID.
func TestBlockKeyCheck(t *testing.T) {
	check := BlockKey("a", "m", "1").Check
	if check != BlockKey("a", "m", "2").Check {
		t.Error("check differs between blocks of the same salt and model")
	}
	if check == BlockKey("b", "m", "1").Check {
		t.Error("same check for different salts")
	}
	if check == BlockKey("a", "n", "1").Check {
		t.Error("same check for different models")
	}
}
