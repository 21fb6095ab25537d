package cacheindex_test

import (
	"fmt"
	"strings"

	"violetthread/cacheindex"
)

// A proxy looks the longest known part of a prompt up before it chooses.
func ExampleTable() {
	t := cacheindex.NewTable(1024)
	east := cacheindex.NodeID("engine-7", 1)
	book := strings.Repeat("the shared beginning of every prompt ", 100)
	for _, k := range cacheindex.PrefixKeys("commons", "w1", book) {
		t.Put(k, east)
	}
	prompt := book[:2*cacheindex.BlockBytes] + strings.Repeat("and an end of its own ", 100)
	h, ok := t.LongestPrefix(cacheindex.PrefixKeys("commons", "w1", prompt), func(n uint64) bool { return n == east })
	fmt.Println(ok, h.Block+1, "parts")
	_, ok = t.LongestPrefix(cacheindex.PrefixKeys("wall:bank", "w1", prompt), func(uint64) bool { return true })
	fmt.Println("behind a wall:", ok)
	_, ok = t.LongestPrefix(cacheindex.PrefixKeys("commons", "w2", prompt), func(uint64) bool { return true })
	fmt.Println("under other weights:", ok)
	// Output:
	// true 2 parts
	// behind a wall: false
	// under other weights: false
}
