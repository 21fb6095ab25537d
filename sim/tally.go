package sim

// Tally counts the events of a fleet day.
type Tally struct {
	// Requests that callers sent, and their outcomes. A Lost request found no running gateway
	// or lost it, and got no answer.
	Sent, Done, Rejected, Unknown, Lost int
	// Runs that engines started, the blocks of their prompts, how many of these were reused,
	// how many of the reused ones were transferred, and transfers that were waited for in
	// vain.
	Runs, Blocks, Reused, Transferred, TransfersInVain int
	FirstUS                                            int64 // time to the first piece, summed over runs
	// Arrived, Retries and Attempts are the gateways' own counters.
	Arrived, Retries, Attempts uint64
	// Changes by operators and the platform.
	PlansAcknowledged, KeysRevoked, WeightsChanged, EnginesDrained, IsolationChanges int
	// The longest time for which a revoked key, a leaving engine and old weights were still in
	// use.
	SlowestRevocationUS, SlowestDrainUS, SlowestWeightUpdateUS int64
}
