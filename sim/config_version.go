package sim

// Times by which the directory beside a control node and the proxies keep up with the
// registers (internal/app/directory, internal/app/proxy). Theirs run in goroutines by
// real time; the rule is the same: an answer's age counts from before its question was
// sent, and what is vouched for never goes back.
const (
	directoryRefreshIntervalUS = 150_000
	proxyPollIntervalUS        = 150_000
	proxyPollTimeoutUS         = 700_000
	maxDirectoryAgeUS          = 1_000_000 // a directory whose answer is older is not asked first
	directoryAvoidUS           = 1_500_000 // for so long
	// MaxServeAgeUS is the age of the configuration up to which a proxy serves.
	MaxServeAgeUS = 1_600_000
	// ApplyBoundUS is when a change is in force everywhere, after its acknowledgement.
	ApplyBoundUS = 2_000_000
)

// confirmedVersion is what one hop vouches for: a version was in force at a time by its own
// clock.
type confirmedVersion struct {
	known       bool
	revision    uint64
	version     uint64
	confirmedAt int64
}

// update takes a newer one in.
func (v *confirmedVersion) update(newer confirmedVersion) {
	switch {
	case !newer.known || v.known && newer.revision < v.revision:
	case v.known && newer.revision == v.revision:
		v.confirmedAt = max(v.confirmedAt, newer.confirmedAt)
	default:
		*v = newer
	}
}
