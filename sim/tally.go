package sim

// Tally counts what a day of a fleet came to.
type Tally struct {
	// Requests that callers sent, and how they ended; a Lost one found no gateway, or lost
	// it, and got no answer.
	Sent, Done, Rejected, Unknown, Lost int
	// Runs that engines took, the blocks of their prompts, how many of these were reused,
	// how many of the reused ones were transferred, and transfers that were waited for in
	// vain.
	Runs, Blocks, Reused, Transferred, TransfersInVain int
	FirstUS                                            int64 // until the first piece, summed over runs
	// Arrived, Retries and Attempts are the gateways' own counters.
	Arrived, Retries, Attempts uint64
	// What operators and the platform did.
	PlansAcknowledged, KeysRevoked, WeightsChanged, EnginesDrained, IsolationChanges int
	// The longest that a revoked key, a leaving engine and old weights were still used, in
	// microseconds.
	SlowestRevocationUS, SlowestDrainUS, SlowestWeightUpdateUS int64
}
