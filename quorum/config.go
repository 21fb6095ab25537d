package quorum

// Config sets a node's identity, sizes and durations (in microseconds). Slots and
// LeaseDurationUS must be the same at all voters of a fleet; everything else except Name and
// Incarnation should be.
type Config struct {
	// Name identifies this voter in the voter set.
	Name string
	// Incarnation is the number drawn when this node's disk was first used.
	Incarnation uint64
	// Slots is the number of logs that the keys are spread over; 16 by default. It can't be
	// changed later.
	Slots int
	// HeartbeatIntervalUS is the time between a leader's heartbeats; 0.1 s by default. A longer
	// interval sends fewer messages and detects failures later.
	HeartbeatIntervalUS int64
	// LeaseDurationUS is how long a leader's lease lasts; 1 s by default. It bounds how long a
	// slot is without a leader after a failure.
	LeaseDurationUS int64
	// LeaseMarginUS is how long before the lease ends its leader stops using it; 0.15 s by
	// default. It allows for clock drift between nodes.
	LeaseMarginUS int64
	// ChunkBytes limits the entries in one snapshot chunk; 256 KiB by default.
	ChunkBytes int
	// MaxStateBytes limits the live state; changes beyond it are refused with StatusFull. 96
	// MiB by default. Claims are refused from three quarters of it.
	MaxStateBytes int
	// GenerationDurationUS is how long a claim generation is the newest before the next one
	// opens; 120 s by default. With 0 there are no generations, and claims never expire.
	GenerationDurationUS int64
	// OpenGenerations is how many generations accept claims at a time; 5 by default.
	OpenGenerations int
}

// DefaultConfig returns the default settings of the daemons.
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
