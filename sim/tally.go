package sim

// Tally counts what a day came to.
type Tally struct {
	Sent, Done, Rejected, Unknown, Lost                          int
	Runs, Blocks, Reused, Transferred, TransfersInVain           int
	FirstUS                                                      int64 // summed over runs
	Arrived, Retries, Attempts                                   uint64
	PlansAcknowledged, KeysRevoked, WeightsNamed, EnginesDrained int
	IsolationChanges                                             int
	SlowestRevocationUS, SlowestDrainUS, SlowestWeightUpdateUS   int64
}
