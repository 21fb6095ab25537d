package fairqueue_test

import (
	"fmt"

	"violetthread/fairqueue"
)

// An engine's owner splits its room between two proxies: the desk's group has
// three times the share of the group that floods the other proxy.
func ExampleSplit() {
	s := fairqueue.Split(10, map[string]float64{"desk": 3, "batch": 1}, 1, []fairqueue.Demand{
		{Proxy: "p1", ByGroup: map[string]float64{"desk": 6}}, {Proxy: "p2", ByGroup: map[string]float64{"batch": 90}}}, 0)
	fmt.Println(s["p1"], s["p2"])
	// Output: 6 4
}
