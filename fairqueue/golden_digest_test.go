package fairqueue_test

import (
	"fmt"
	"math/rand"
	"testing"

	"violetthread/fairqueue"
	"violetthread/internal/goldendigest"
)

// TestGoldenDigest performs random operations on a queue, and splits random capacities between
// random demands.
func TestGoldenDigest(t *testing.T) {
	rnd := rand.New(rand.NewSource(1))
	digest := goldendigest.New()
	groups := []string{"a", "b", "c", "d"}
	queue := fairqueue.NewQueue()
	for i, group := range groups {
		queue.SetShare(group, float64(i+1))
	}
	var waiting [][2]string
	for i := range 6000 {
		now := int64(i) * 10_000
		group := groups[rnd.Intn(len(groups))]
		switch rnd.Intn(6) {
		case 0, 1, 2:
			id := fmt.Sprint("item", i)
			queue.Push(group, fairqueue.Item{ID: id, Deadline: now + rnd.Int63n(5_000_000), Cost: 1 + rnd.Int63n(400_000)})
			waiting = append(waiting, [2]string{group, id})
		case 3:
			from, item, found := queue.Next(func(_ string, running int) bool { return running < 3 })
			digest.Flag(found)
			digest.Text(from)
			digest.Text(item.ID)
			digest.Number(item.Deadline)
			digest.Number(item.Cost)
			if found {
				digest.Flag(queue.Dequeue(from, item.ID))
			}
		case 4:
			if queue.Running(group) > 0 {
				queue.Release(group)
			}
			digest.Number(queue.EstimateWait(group, now+rnd.Int63n(5_000_000), 1+rnd.Intn(6)))
		case 5:
			if len(waiting) > 0 && rnd.Intn(3) == 0 {
				w := waiting[rnd.Intn(len(waiting))]
				digest.Flag(queue.Remove(w[0], w[1]))
			}
			for _, id := range queue.Infeasible(now, 1+rnd.Intn(6)) {
				digest.Text(id)
			}
		}
		digest.Number(int64(queue.Len()))
		digest.Number(int64(queue.Waiting(group)))
		digest.Number(int64(queue.Running(group)))
	}
	for round := range 600 {
		shares := map[string]float64{}
		var demands []fairqueue.Demand
		for i, group := range groups {
			shares[group] = float64(1 + rnd.Intn(i+2))
		}
		for i := range 1 + rnd.Intn(6) {
			want := map[string]float64{}
			for _, group := range groups[:1+rnd.Intn(len(groups))] {
				want[group] = float64(rnd.Intn(40)) / 4
			}
			demands = append(demands, fairqueue.Demand{Proxy: fmt.Sprint("p", i), ByGroup: want})
		}
		split := fairqueue.Split(rnd.Intn(30), shares, 1+rnd.Intn(8), demands, round)
		for _, demand := range demands {
			digest.Number(int64(split[demand.Proxy]))
		}
	}
	digest.Compare(t)
}
