package quorum

// Ready holds the effects of one input, as etcd's raft does. The caller appends Records in
// order and, once they are synced, calls Node.RecordsSynced with the running count; sends
// Messages, in order, at any time and without waiting for the sync; and hands Results to
// those who proposed the operations.
type Ready struct {
	Messages []Envelope
	Records  []Record
	Results  []Result
	Events   []Event
	// VoterSet is a voter set newly in force, or nil.
	VoterSet *VoterSet
}
