package sim

import (
	"fmt"
)

// ClusterResult is the result of one simulated day of the control nodes under a fault: what
// clients observed, and any violations.
type ClusterResult struct {
	Acknowledged int // writes of the frequently written key
	ClaimsWon    int
	LateClaims   int // claims whose generation was already closed
	LeaseTerms   int // newly granted leases
	Replacements int // machines replaced by an operator
	Checkpoints  int
	Joins        int // machines admitted without an operator
	// SlowestJoinUS is the longest time from a machine's start until all slots were recovered
	// with it.
	SlowestJoinUS int64
	// RecoveryUS is the time from the end of the faults to the next acknowledged change.
	RecoveryUS int64
	Violations []string
	Notes      []string
}

// recoveryBoundUS limits the time from the last fault of a day until service is back.
const recoveryBoundUS = 10_000_000

// RunCluster runs one day of the given duration.
func RunCluster(seed int64, fault Fault, durationUS int64) ClusterResult {
	world := NewWorld(seed)
	cluster := NewCluster(world, 4)
	cluster.Start()
	history := NewHistory(world, "plan")
	for i := 0; i < 3; i++ {
		NewRegisterClient(cluster, fmt.Sprint("operator", i), history, 60).Start()
	}
	// Keys that are rarely written and often read reveal faults that surface late.
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
		world.Violation("not back", "no change was acknowledged within 10 s of the last fault")
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

// checkpoints returns the number of checkpoints that the nodes began.
func (c *Cluster) checkpoints() (total int) {
	for _, node := range c.Nodes {
		total += node.Checkpoints
	}
	return total
}
