package cacheindex_test

import (
	"fmt"
	"strings"

	"violetthread/cacheindex"
)

// A proxy looks up the longest cached prefix of a prompt before it selects an engine.
func ExampleTable() {
	table := cacheindex.NewTable(1024)
	engine := cacheindex.NodeID("engine-7", 1)
	shared := strings.Repeat("the shared beginning of every prompt ", 100)
	for _, key := range cacheindex.PrefixKeys("commons", "w1", shared) {
		table.Put(key, engine)
	}
	prompt := shared[:2*cacheindex.BlockBytes] + strings.Repeat("and an end of its own ", 100)
	for _, hint := range table.Hints(cacheindex.PrefixKeys("commons", "w1", prompt), 4) {
		fmt.Println(hint.Node == engine, hint.Block+1, "blocks")
	}
	longest, found := table.LongestPrefix(cacheindex.PrefixKeys("commons", "w1", prompt), func(node uint64) bool { return node == engine })
	fmt.Println("longest:", found, longest.Block+1, "blocks")
	_, found = table.LongestPrefix(cacheindex.PrefixKeys("wall:bank", "w1", prompt), func(uint64) bool { return true })
	fmt.Println("longest of an isolated group:", found)
	_, found = table.LongestPrefix(cacheindex.PrefixKeys("commons", "w2", prompt), func(uint64) bool { return true })
	fmt.Println("longest under other weights:", found)
	fmt.Println("of an isolated group:", table.Hints(cacheindex.PrefixKeys("wall:bank", "w1", prompt), 4))
	fmt.Println("under other weights:", table.Hints(cacheindex.PrefixKeys("commons", "w2", prompt), 4))
	// Output:
	// true 2 blocks
	// longest: true 2 blocks
	// longest of an isolated group: false
	// longest under other weights: false
	// of an isolated group: []
	// under other weights: []
}
