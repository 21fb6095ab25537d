package sim

// Intervals and limits by which a control node's directory and the proxies follow the
// registers. The real ones (internal/app/directory, internal/app/proxy) run in goroutines by
// real time and cannot be simulated. The rules are the same: an answer's age counts from
// before its question was sent, and a confirmed version never goes back.
const (
	directoryRefreshIntervalUS = 150_000
	proxyPollIntervalUS        = 150_000
	proxyPollTimeoutUS         = 700_000
	maxDirectoryAgeUS          = 1_000_000 // a directory whose answer is older is avoided
	directoryAvoidUS           = 1_500_000 // for this long
	// MaxServeAgeUS is the largest age of the configuration at which a proxy still serves.
	MaxServeAgeUS = 1_600_000
	// ApplyBoundUS limits the time from a change's acknowledgement until it is in force
	// everywhere.
	ApplyBoundUS = 2_000_000
)

// confirmedVersion is a version and the time, by the holder's own clock, at which it was known
// to be in force.
type confirmedVersion struct {
	known       bool
	revision    uint64
	version     uint64
	confirmedAt int64
}

// update applies a newer confirmation and ignores an older one.
func (v *confirmedVersion) update(newer confirmedVersion) {
	switch {
	case !newer.known || v.known && newer.revision < v.revision:
	case v.known && newer.revision == v.revision:
		v.confirmedAt = max(v.confirmedAt, newer.confirmedAt)
	default:
		*v = newer
	}
}
