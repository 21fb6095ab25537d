package hint_test

import (
	"fmt"
	"strings"

	"violetthread/hint"
)

// A proxy looks the longest known part of a prompt up before it chooses.
func ExampleTable() {
	t := hint.NewTable(1024)
	east := hint.NodeID("engine-7", 1)
	book := strings.Repeat("the shared beginning of every prompt ", 100)
	for _, k := range hint.Chain("commons", "w1", book) {
		t.Put(k, east)
	}
	prompt := book[:2*hint.Block] + strings.Repeat("and an end of its own ", 100)
	h, ok := t.Longest(hint.Chain("commons", "w1", prompt), func(n uint64) bool { return n == east })
	fmt.Println(ok, h.Part+1, "parts")
	_, ok = t.Longest(hint.Chain("wall:bank", "w1", prompt), func(uint64) bool { return true })
	fmt.Println("behind a wall:", ok)
	_, ok = t.Longest(hint.Chain("commons", "w2", prompt), func(uint64) bool { return true })
	fmt.Println("under other weights:", ok)
	// Output:
	// true 2 parts
	// behind a wall: false
	// under other weights: false
}
