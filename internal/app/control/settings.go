package control

import (
	"violetthread/internal/daemon"
	"violetthread/wal"
)

// Settings of a control node. Settings files and flags use the names in the json tags.
type Settings struct {
	daemon.NodeSettings
	// Bootstrap is true at the very first start of a fleet: the seeds form the first voter set
	// once all of them respond. Default false. A node whose disk was removed from the voter set
	// does not bootstrap again.
	Bootstrap bool `json:"found" help:"true at the very first start of a fleet: agree with the seeds on who votes"`
	// LogSegments is the number of preallocated segments of the write-ahead log. Default
	// 32. Together with LogSegmentBytes it limits the control state to a quarter of the log.
	LogSegments int `json:"ring_files" validate:"min=8,max=1024" help:"segment files of the write-ahead log"`
	// GenerationDurationUS is how long a generation of claims is the newest, in microseconds.
	// Default 120 s. A longer duration lets a claim be repeated later, but keeps more claims.
	GenerationDurationUS int64 `json:"generation_us" old:"era_us" validate:"min=1000000,max=86400000000" help:"microseconds that a generation of claims is the newest"`
	// OpenGenerations is the number of generations whose claims are accepted. Default 5.
	OpenGenerations int `json:"generations" old:"eras" validate:"min=2,max=64" help:"generations open at a time; a once-only request of an older one is not run"`
	// Disk wraps the folder of the log, so that tests can inject disk failures. Nil, the default,
	// wraps nothing. It can't be set in a settings file or by a flag.
	Disk func(wal.FS) wal.FS
	// OperationTimeoutUS limits Node.Execute, which runs operators' requests, in microseconds.
	// Default 4 s.
	OperationTimeoutUS int64 `json:"patience_us" validate:"min=100000,max=60000000" help:"longest wait for an operator's change to be committed, in microseconds"`
	// LeaseDurationUS is the lease of a slot's leader, in microseconds, the same at every
	// control node of a fleet. Default 1 s. A shorter lease gives a slot a new leader sooner after
	// its leader fails, but costs more heartbeats.
	LeaseDurationUS int64 `json:"term_us" validate:"min=300000,max=10000000" help:"lease of a slot's leader in microseconds, the same at every control node of a fleet"`
	// LogSegmentBytes is the size of each segment, in bytes. Default 8 MiB.
	LogSegmentBytes int64 `json:"ring_bytes" validate:"min=65536,max=1073741824" help:"bytes of each segment file"`
}

// Defaults of the settings.
func Defaults() Settings {
	return Settings{
		NodeSettings:         daemon.NodeSettings{DrainUS: 1_000_000},
		LogSegments:          32,
		LogSegmentBytes:      8 << 20,
		LeaseDurationUS:      1_000_000,
		GenerationDurationUS: 120_000_000,
		OpenGenerations:      5,
		OperationTimeoutUS:   4_000_000,
	}
}
