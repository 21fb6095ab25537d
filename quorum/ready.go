package quorum

// Ready holds the effects of one input, like Ready of etcd's raft. The caller must append
// Records in order and, once they are synced, call Node.RecordsSynced with the total count;
// send Messages in order, at any time and without waiting for the sync; and return Results to
// the callers that proposed the operations.
type Ready struct {
	Messages []Envelope
	Records  []Record
	Results  []Result
	Events   []Event
	// VoterSet is the voter set that has just come into force, or nil.
	VoterSet *VoterSet
}
