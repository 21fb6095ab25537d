package fairqueue_test

import (
	"fmt"

	"violetthread/fairqueue"
)

// The owner of an engine splits its capacity between two proxies. The group of one proxy, orders,
// has three times the share of the group that floods the other proxy, batch.
func ExampleSplit() {
	slots := fairqueue.Split(10, map[string]float64{"orders": 3, "batch": 1}, 1, []fairqueue.Demand{
		{Proxy: "p1", ByGroup: map[string]float64{"orders": 6}},
		{Proxy: "p2", ByGroup: map[string]float64{"batch": 90}},
	}, 0)
	fmt.Println(slots["p1"], slots["p2"])
	// Output: 6 4
}
