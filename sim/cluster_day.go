package sim

import (
	"fmt"
)

// ClusterResult is what one simulated day of the control nodes under a fault came to: what
// the clients were told, and what was violated, if anything.
type ClusterResult struct {
	Acknowledged int // changes of the busy key
	ClaimsWon    int
	LateClaims   int // of generations that were over
	LeaseTerms   int // leases newly granted
	Replacements int // of machines, by an operator
	Checkpoints  int
	Joins        int // of machines, without an operator
	// SlowestJoinUS is the longest that a machine took from its start until all slots were
	// recovered with it.
	SlowestJoinUS int64
	// RecoveryUS is how long after the last fault a change was acknowledged.
	RecoveryUS int64
	Violations []string
	Notes      []string
}

// recoveryBoundUS is within how long after the last fault of a day service must be back.
const recoveryBoundUS = 10_000_000

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
	for world.now < durationUS+recoveryBoundUS && history.Acknowledged == before && len(world.violations) == 0 {
		world.Run(world.now + 50_000)
	}
	recoveryUS := world.now - durationUS
	if history.Acknowledged == before && len(world.violations) == 0 {
		world.Violation("not back", "no change was acknowledged within ten seconds after the last fault")
	}
	return ClusterResult{
		Acknowledged:  history.Acknowledged,
		ClaimsWon:     claims.Won,
		LateClaims:    claims.Late,
		LeaseTerms:    leases.Leases,
		Replacements:  cluster.Replacements,
		Checkpoints:   cluster.checkpoints(),
		Joins:         cluster.Joins,
		SlowestJoinUS: cluster.SlowestJoinUS,
		RecoveryUS:    recoveryUS,
		Violations:    world.violations,
		Notes:         world.notes,
	}
}

// checkpoints is how many its nodes began.
func (c *Cluster) checkpoints() (total int) {
	for _, node := range c.Nodes {
		total += node.Checkpoints
	}
	return total
}
