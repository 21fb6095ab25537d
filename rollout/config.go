package rollout

// LeaseMarginUS is added to the bound between update requests of two leaders, in microseconds,
// to get the duration of the leader's lease and the time that a new leader waits.
const LeaseMarginUS = 500_000

// Config limits the pace of a rollout. Durations are microseconds.
type Config struct {
	// ApplyWithinUS is the time from the announcement of a version until every engine must
	// run it. No default; a shorter time updates more engines concurrently.
	ApplyWithinUS int64
	// DrainDurationUS is how long proxies send an engine no new requests before it is sent its
	// update request. Default 350 ms; a longer time interrupts fewer requests.
	DrainDurationUS int64
	// ExpectedDurationUS is the expected duration of one engine's update, used until the first
	// update has been measured. Default 2.6 s; see maxConcurrent.
	ExpectedDurationUS int64
	// MinConcurrent is the number of concurrent updates per pool when there is enough time.
	// Default 2.
	MinConcurrent int
	// MaxConcurrentPermille is the maximum share of a pool's engines that are updated
	// concurrently, in thousandths. Default 300; the other engines have to carry the load.
	MaxConcurrentPermille int
	// LeaseDurationUS is the time within which no two leaders may both send an update request
	// to one engine. Default: the bound passed to DefaultConfig plus LeaseMarginUS.
	LeaseDurationUS int64
	// RetryAfterUS is the time after which an unanswered update request is repeated. Default:
	// longer than LeaseDurationUS, and at least 4 s.
	RetryAfterUS int64
	// SlowAfterUS is how long an update counts towards the concurrent updates of its pool.
	// Default 6 s; with a longer time a stuck engine delays the others for longer.
	SlowAfterUS int64
}

// DefaultConfig returns the configuration that the daemons use. Every engine must run a new
// version within applyWithin; within lease no two leaders may both send an update request to
// one engine.
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
