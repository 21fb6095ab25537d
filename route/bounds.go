package route

// Bounds are the figures that an operator's rules set for a whole fleet (docs/design.md §3).
// Fields that end in US are microseconds. Used are GraceUS, ConfigApplyUS, RevocationUS,
// RevocationGlobal, VersionApplyUS, FleetApplyUS, LeaseUS, RetryWindowUS, RetryRatio and RetryAllowance;
// docs/platform.md says how the others are kept.
type Bounds struct {
	SeedStaleUS           int64   // a list of seed nodes may be this much out of date
	AddressReuseUS        int64   // until an engine's address may be given to another pool's
	ContactUS             int64   // unbroken contact after which a node counts as in touch
	AckUS                 int64   // a valid change is acknowledged within this
	SyncUS                int64   // a node counts as lost this long after it returns
	DrainUS               int64   // no request reaches a leaving engine later than this
	GraceUS               int64   // from a graceful stop to the end by force
	LossSlackUS           int64   // a connection may end this late after a request's last byte
	ConfigApplyUS         int64   // a configuration is in force everywhere
	DowngradeUS           int64   // a request this late is not handled under an older configuration
	ExtensionUS           int64   // a core without a leader stretches ConfigApplyUS by this at most
	RevocationUS          int64   // a revoked key is refused everywhere
	VersionApplyUS        int64   // no request begins on older weights, in one stretch without trouble
	FleetApplyUS          int64   // the same over all such stretches together; 0 for no such bound
	RetryWindowUS         int64   // window over which retries are counted
	RecoveryUS            int64   // back in service after the last fault
	TransitUS             int64   // an event's way from engine to caller
	LeaseUS               int64   // between update requests of two leaders to one engine
	UnfreezeUS            int64   // update requests this soon after a suspended machine resumes are forgiven
	RetryRatio            float64 // retries for each request
	RetryAllowance        int64   // retries on top of that, in each window of the whole fleet
	RevocationGlobal      bool    // RevocationUS holds for nodes out of touch, too
	EnginesEnforceFencing bool    // engines refuse a lower fencing token themselves
}

// DefaultBounds are used for figures that nobody set. The two that say who enforces something
// default to what asks the most of this software, and the retry figures to few retries.
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

// VersionLimits are the bounds on new weights.
func (b Bounds) VersionLimits() VersionLimits {
	return VersionLimits{PerTermUS: b.VersionApplyUS, TotalUS: b.FleetApplyUS}
}
