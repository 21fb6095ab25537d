package rollout

// LeaseMarginUS is how much longer, in microseconds, than the bound between update requests
// of two leaders the leader asks its lease for, and a new leader waits.
const LeaseMarginUS = 500_000

// Config bounds a rollout. Durations are microseconds.
type Config struct {
	// ApplyWithinUS is the time from the announcement of a version until every engine has to
	// run it. No default; a shorter one updates more engines at a time.
	ApplyWithinUS int64
	// DrainDurationUS is how long proxies send an engine nothing new before its request goes
	// out. Default 350 ms; a longer one leaves fewer requests to be cut off.
	DrainDurationUS int64
	// ExpectedDurationUS is what one engine's update is expected to take before any was seen.
	// Default 2.6 s; see maxConcurrent.
	ExpectedDurationUS int64
	// MinConcurrent is how many updates of a pool run at a time when there is time enough.
	// Default 2.
	MinConcurrent int
	// MaxConcurrentPermille is the thousandths of a pool's engines that may be updated at a
	// time. Default 300; the rest has to carry the load.
	MaxConcurrentPermille int
	// LeaseDurationUS is the time within which two leaders must not both send one engine a
	// request. Default: the bound given, and LeaseMarginUS.
	LeaseDurationUS int64
	// RetryAfterUS is how long after a request without an answer it is sent again. Default:
	// longer than LeaseDurationUS, and 4 s at least.
	RetryAfterUS int64
	// SlowAfterUS is how long an update counts against the others of its pool. Default 6 s; a
	// longer one lets a stuck engine delay others.
	SlowAfterUS int64
}

// DefaultConfig is the daemons' configuration for a bound, and for the lease within which
// two leaders must not both send one engine a request.
func DefaultConfig(applyWithin, lease int64) Config {
	return Config{
		ApplyWithinUS:         applyWithin,
		DrainDurationUS:       350_000,
		ExpectedDurationUS:    2_600_000,
		MinConcurrent:         2,
		MaxConcurrentPermille: 300,
		LeaseDurationUS:       lease + LeaseMarginUS,
		RetryAfterUS:          max(4_000_000, lease+1_000_000),
		SlowAfterUS:           6_000_000,
	}
}
