package route

// Bounds are the limits that an operator's policy sets for a whole fleet (docs/design.md §3).
// Fields that end in US are microseconds. The code reads GraceUS, ConfigApplyUS, RevocationUS,
// RevocationGlobal, VersionApplyUS, FleetApplyUS, LeaseUS, RetryWindowUS, RetryRatio and
// RetryAllowance; docs/platform.md describes how the others are met.
type Bounds struct {
	SeedStaleUS           int64   // a list of seed nodes may be out of date by this much
	AddressReuseUS        int64   // time until an engine's address may be reassigned to another pool
	ContactUS             int64   // uninterrupted contact after which a node counts as connected
	AckUS                 int64   // time to acknowledge a valid configuration change
	SyncUS                int64   // a node that returns still counts as failed for this long
	DrainUS               int64   // time after which a draining engine receives no request
	GraceUS               int64   // time between the order to stop gracefully and a forced stop
	LossSlackUS           int64   // a connection may end this long after a request's last byte
	ConfigApplyUS         int64   // time until a configuration takes effect on all nodes
	DowngradeUS           int64   // a request this late is not handled under an older configuration
	ExtensionUS           int64   // longest extension of ConfigApplyUS while the core has no leader
	RevocationUS          int64   // time until all nodes reject a revoked API key
	VersionApplyUS        int64   // time until no request starts on older weights, within one period without faults
	FleetApplyUS          int64   // the same over all such periods together; 0 for no such bound
	RetryWindowUS         int64   // window over which retries are counted
	RecoveryUS            int64   // time to return to service after the last fault
	TransitUS             int64   // time of an event from engine to caller
	LeaseUS               int64   // minimum time between update requests of two leaders to one engine
	UnfreezeUS            int64   // update requests this soon after a suspended machine resumes are tolerated
	RetryRatio            float64 // retries per request
	RetryAllowance        int64   // retries on top of that, per window, for the whole fleet
	RevocationGlobal      bool    // RevocationUS also holds for nodes that are disconnected
	EnginesEnforceFencing bool    // engines themselves reject a fencing token lower than one they have seen
}

// DefaultBounds are used for bounds that are not set. RevocationGlobal and
// EnginesEnforceFencing default to the values that require the most of this software, the retry
// bounds to few retries.
func DefaultBounds() Bounds {
	const millisecond, second = 1000, 1_000_000
	return Bounds{
		SeedStaleUS:      3 * second,
		AddressReuseUS:   2 * second,
		ContactUS:        3 * second,
		AckUS:            4 * second,
		SyncUS:           4 * second,
		DrainUS:          3 * second,
		GraceUS:          8 * second,
		LossSlackUS:      200 * millisecond,
		ConfigApplyUS:    2 * second,
		DowngradeUS:      250 * millisecond,
		ExtensionUS:      5 * second,
		RevocationUS:     5 * second,
		VersionApplyUS:   12 * second,
		RetryWindowUS:    10 * second,
		RecoveryUS:       12 * second,
		TransitUS:        120 * millisecond,
		LeaseUS:          3 * second,
		UnfreezeUS:       300 * millisecond,
		RetryRatio:       0.1,
		RetryAllowance:   10,
		RevocationGlobal: true,
	}
}

// VersionLimits returns the bounds on how long outdated weights may be used.
func (b Bounds) VersionLimits() VersionLimits {
	return VersionLimits{PerTermUS: b.VersionApplyUS, TotalUS: b.FleetApplyUS}
}
