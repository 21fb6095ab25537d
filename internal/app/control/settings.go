package control

import (
	"violetthread/internal/daemon"
	"violetthread/wal"
)

// Settings of a control node. The names that a settings file and flags use are those of
// the json tags.
type Settings struct {
	daemon.NodeSettings
	// Bootstrap is true at the very first start of a fleet: the seeds agree on a voter set
	// among themselves once all of them answer. Default false. A node whose disk lost its
	// seat never bootstraps again.
	Bootstrap bool `json:"found" help:"true at the very first start of a fleet: agree with the seeds on who votes"`
	// LogSegments is the number of preallocated segments of the write-ahead log. Default
	// 32. With LogSegmentBytes it bounds the control state at a quarter of the log.
	LogSegments int `json:"ring_files" validate:"min=8,max=1024" help:"segment files of the write-ahead log"`
	// GenerationDurationUS is how long a generation of claims is the newest, in microseconds.
	// Default 120 s. A longer one lets a claim be repeated later, and keeps more claims.
	GenerationDurationUS int64 `json:"generation_us" old:"era_us" validate:"min=1000000,max=86400000000" help:"microseconds that a generation of claims is the newest"`
	// OpenGenerations is the number of generations whose claims are accepted. Default 5.
	OpenGenerations int `json:"generations" old:"eras" validate:"min=2,max=64" help:"generations open at a time; a once-only request of an older one is not run"`
	// Disk wraps the folder that the log lies in, for failures of disks in tests. Nil, the
	// default, wraps nothing. It has no name in a settings file and no flag.
	Disk func(wal.FS) wal.FS
	// OperationTimeoutUS bounds Node.Execute, the way operators' requests take, in
	// microseconds. Default 4 s.
	OperationTimeoutUS int64 `json:"patience_us" validate:"min=100000,max=60000000" help:"longest wait for an operator's change to be committed, in microseconds"`
	// LeaseDurationUS is the lease of a slot's leader, in microseconds, the same at every
	// control node of a fleet. Default 1 s. A shorter one moves a slot sooner after its
	// leader is lost, and costs more heartbeats.
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
