package sim

import (
	"fmt"
)

// ClusterResult is what one simulated day of the control nodes under a fault came to: what
// the clients were told, and what was violated, if anything.
type ClusterResult struct {
	Acknowledged, ClaimsWon, LateClaims, LeaseTerms, Replacements, Checkpoints, Joins int
	// Slowest is the longest that a machine took from its start to a firm place.
	SlowestJoinUS int64
	// Back is how long after the last fault was mended a change was acknowledged.
	RecoveryUS int64
	Violations []string
	Notes      []string
}

// RunCluster runs one day of so many microseconds.
func RunCluster(seed int64, fault Fault, durationUS int64) ClusterResult {
	world := NewWorld(seed)
	cluster := NewCluster(world, 4)
	cluster.Start()
	history := NewHistory(world, "plan")
	for i := 0; i < 3; i++ {
		NewRegisterClient(cluster, fmt.Sprint("operator", i), history, 60).Start()
	}
	// Keys that are seldom changed and often read show what surfaces late.
	for i := 0; i < 4; i++ {
		NewRegisterClient(cluster, fmt.Sprint("reader", i), NewHistory(world, fmt.Sprint("rare", i)), 8).Start()
	}
	claims, leases := NewClaimClients(cluster, 3), NewLeaseClients(cluster, 3)
	cluster.InjectFaults(fault, durationUS)
	leases.injectFaults(durationUS)
	world.Run(durationUS)
	before := history.Acknowledged
	for world.now < durationUS+10_000_000 && history.Acknowledged == before && len(world.violations) == 0 {
		world.Run(world.now + 50_000)
	}
	result := ClusterResult{Acknowledged: history.Acknowledged, ClaimsWon: claims.Won, LateClaims: claims.Late, LeaseTerms: leases.Leases, Replacements: cluster.Replacements, RecoveryUS: world.now - durationUS, Joins: cluster.Joins, SlowestJoinUS: cluster.SlowestJoinUS}
	if history.Acknowledged == before && len(world.violations) == 0 {
		world.Violation("not back", "no change was acknowledged within ten seconds after the last fault")
	}
	for _, node := range cluster.Nodes {
		result.Checkpoints += node.Checkpoints
	}
	result.Violations, result.Notes = world.violations, world.notes
	return result
}
