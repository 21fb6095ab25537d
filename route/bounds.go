package route

// Bounds are the figures that an operator's rules set for a whole fleet. Times
// are microseconds (design §3).
type Bounds struct {
	SeedStaleUS       int64   // a list of nodes may be this much behind
	AddressReuseUS    int64   // until an engine's address may be another pool's
	ContactUS         int64   // unbroken calm after which a node counts as in touch
	AckUS             int64   // a proper change is acknowledged within this
	SyncUS            int64   // a node counts as lost this long after it returns
	DrainUS           int64   // no request reaches a leaving engine later than this
	GraceUS           int64   // from a polite stop to the end by force
	LossSlackUS       int64   // a connection may end this late after a request's last byte
	ConfigApplyUS     int64   // a configuration is in force everywhere
	DowngradeUS       int64   // a request this late is not handled by an older one
	ExtensionUS       int64   // an unsettled core stretches ConfigApplyUS by this at most
	RevocationUS      int64   // a key that was taken away is dead
	VersionApplyUS    int64   // no request begins on older weights
	RetryWindowUS     int64   // over which further tries are counted
	RecoveryUS        int64   // after a closing fault
	TransitUS         int64   // an event's way from engine to caller
	LeaseUS           int64   // between orders of two holders to one engine
	UnfreezeUS        int64   // orders this soon after a thaw are forgiven
	RetryRatio        float64 // further tries for each request
	RetryAllowance    int64   // further tries on top of that, in each window
	RevocationGlobal  bool    // RevocationUS holds for nodes out of touch, too
	EnginesCheckFence bool    // engines refuse a lower fence themselves
}

// DefaultBounds are used for figures that nobody set. The two that say who
// enforces something are set to what asks the most of us, and further tries to
// few.
func DefaultBounds() Bounds {
	const ms, s = 1000, 1_000_000
	return Bounds{
		SeedStaleUS: 3 * s, AddressReuseUS: 2 * s, ContactUS: 3 * s, AckUS: 4 * s, SyncUS: 4 * s,
		DrainUS: 3 * s, GraceUS: 8 * s, LossSlackUS: 200 * ms, ConfigApplyUS: 2 * s, DowngradeUS: 250 * ms,
		ExtensionUS: 5 * s, RevocationUS: 5 * s, VersionApplyUS: 12 * s, RetryWindowUS: 10 * s, RecoveryUS: 12 * s,
		TransitUS: 120 * ms, LeaseUS: 3 * s, UnfreezeUS: 300 * ms, RetryRatio: 0.1, RetryAllowance: 10,
		RevocationGlobal: true,
	}
}
