package sim

import (
	"fmt"
	"testing"

	"violetthread/internal/codec"
	"violetthread/quorum"
	"violetthread/wal"
)

// TestClaimsWithoutEnd checks that claims of two hundred once-only requests a second fit into
// the log indefinitely. The logs are smaller than the default in proportion to the shorter
// generations. A claim that was granted must never be granted to a second client, however late
// the request.
func TestClaimsWithoutEnd(t *testing.T) {
	t.Parallel()
	const perSecond, seconds, generation = 200, 40, 1_000_000
	world := NewWorld(5)
	cluster := NewCluster(world, 4)
	cluster.generationUS = generation
	cluster.logConfig = wal.Config{SegmentCount: 32, SegmentBytes: 64 << 10}
	cluster.Start()
	host := world.NewHost("desk", "north", func() {})
	host.Start()
	results, maxStateBytes, n := map[quorum.Status]int{}, 0, 0
	lateResults := map[quorum.Status]int{}
	generations := map[int]uint64{}
	ask := func(i int, generation uint64, nonce string, count map[quorum.Status]int) {
		node := cluster.Nodes[world.Rng.Intn(4)]
		Call(host, node.Host, quorum.Operation{Type: quorum.OpClaim, Key: quorum.ClaimKey(generation, fmt.Sprintf("dealing-desk/order-%08d", i)), Value: []byte(nonce)}, 2_000_000,
			node.serve, func(result quorum.Result) { count[result.Status]++ }, func() { count[0]++ })
	}
	var next func()
	next = func() {
		if world.now > 4_000_000+seconds*1_000_000 {
			return
		}
		n++
		i := n
		generations[i] = max(1, cluster.newestGeneration())
		ask(i, generations[i], fmt.Sprintf("remisier4/k3f9a2b1c/%x", i), results)
		if i > 50 {
			j := 1 + world.Rng.Intn(i-50)
			ask(j, generations[j], fmt.Sprintf("remisier7/z81k2b1c/%x", i), lateResults)
		}
		for _, node := range cluster.Nodes {
			if node.node != nil {
				maxStateBytes = max(maxStateBytes, node.node.StateBytes())
			}
		}
		world.At(world.now+1_000_000/perSecond, next)
	}
	world.At(4_000_000, next)
	world.Run(50_000_000)
	if len(world.violations) > 0 {
		t.Fatal(world.violations)
	}
	room := int(int64(cluster.logConfig.SegmentCount)*cluster.logConfig.SegmentBytes) / 4 * 3 / 4
	t.Logf("%d claims: %v; late claims: %v; %d generations; at most %d of %d bytes; a claim's record takes %d bytes",
		n, results, lateResults, cluster.newestGeneration(), maxStateBytes, room, len(codec.PackRecord(quorum.Record{Type: quorum.RecordEntry, Slot: 9, Term: 1 << 18, Last: quorum.Position{Term: 1 << 18, Index: 1 << 20},
			Committed: quorum.Position{Term: 1 << 18, Index: 1 << 20}, Entry: quorum.Entry{Key: "claim/12345/dealing-desk/order-00000001", Position: quorum.Position{Term: 1 << 18, Index: 1 << 20}, Revision: 1, Value: []byte("remisier4/k3f9a2b1c/ffffff")}})))
	if results[quorum.StatusDone] != n || lateResults[quorum.StatusDone] > 0 {
		t.Errorf("of %d claims %v; late claims %v", n, results, lateResults)
	}
	if lateResults[quorum.StatusGenerationClosed] < n/4 || lateResults[quorum.StatusConflict] == 0 {
		t.Errorf("late claims: %v", lateResults)
	}
	if maxStateBytes > room*9/10 {
		t.Errorf("%d of %d bytes were used", maxStateBytes, room)
	}
}
