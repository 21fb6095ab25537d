package quorum

// Config sets a node's identity, sizes and times. Durations are in microseconds. All voters
// of a fleet must agree on Slots and LeaseDurationUS, and should agree on all else but the name
// and the incarnation.
type Config struct {
	// Name is this voter's name in the voter set.
	Name string
	// Incarnation is the number drawn when this node's disk was first used.
	Incarnation uint64
	// Slots is how many logs the keys are spread over; 16 by default, never changed later.
	Slots int
	// HeartbeatIntervalUS is the time between a leader's heartbeats; 0.1 s by default. Longer
	// ones save messages and make failures be noticed later.
	HeartbeatIntervalUS int64
	// LeaseDurationUS is how long a leader's lease lasts; 1 s by default. It bounds how long a
	// slot stays without a leader after a failure.
	LeaseDurationUS int64
	// LeaseMarginUS is how long before its lease ends a leader stops; 0.15 s by default. It
	// covers the drift between clocks.
	LeaseMarginUS int64
	// ChunkBytes bounds the entries of one chunk of a snapshot; 256 KiB by default.
	ChunkBytes int
	// MaxStateBytes is the live state beyond which changes are refused with StatusFull;
	// 96 MiB by default. Claims are refused from three quarters of it.
	MaxStateBytes int
	// GenerationDurationUS is how long a generation of claims is the newest; 120 s by default.
	// With 0 there are no generations, and claims stay for ever.
	GenerationDurationUS int64
	// OpenGenerations is how many generations take claims at a time; 5 by default.
	OpenGenerations int
}

// DefaultConfig returns the values that the daemons start from.
func DefaultConfig(name string, incarnation uint64) Config {
	return Config{
		Name:                 name,
		Incarnation:          incarnation,
		Slots:                16,
		HeartbeatIntervalUS:  100_000,
		LeaseDurationUS:      1_000_000,
		LeaseMarginUS:        150_000,
		ChunkBytes:           256 << 10,
		MaxStateBytes:        96 << 20,
		GenerationDurationUS: 120_000_000,
		OpenGenerations:      5,
	}
}
