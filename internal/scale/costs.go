package scale

// feature is something that a cost may grow with, worked out from the drivers.
type feature struct {
	name string
	of   func(Drivers) float64
}

const questionRate = 4 // questions a second of a proxy without changes: each is held for 0.25 s

func (d Drivers) questions() float64 { return questionRate + d.Changes + d.MapChanges }

// polls is how often a second a control node asks all engines for cache events: 0.15 s after an
// answer, which is held for 0.9 s at most until there is an event. Simulated engines have two
// events at a time.
func (d Drivers) polls() float64 {
	gap := 1.05
	if d.Events > 0 {
		gap = min(gap, max(0.15, 2*d.Engines/d.Events))
	}
	return d.Engines / gap
}

var (
	constant           = feature{"base", func(Drivers) float64 { return 1 }}
	followers          = feature{"askers", Drivers.Followers}
	engines            = feature{"engines", func(d Drivers) float64 { return d.Engines }}
	events             = feature{"events/s", func(d Drivers) float64 { return d.Events }}
	polls              = feature{"engine polls/s", Drivers.polls}
	blocks             = feature{"blocks", func(d Drivers) float64 { return d.Blocks }}
	configBytes        = feature{"config bytes", func(d Drivers) float64 { return d.ConfigBytes }}
	loads              = feature{"own loads x asks/s", func(d Drivers) float64 { return d.Loads() * d.questions() }}
	otherLoads         = feature{"told loads x asks/s", func(d Drivers) float64 { return d.OtherLoads() * d.questions() }}
	mapChanges         = feature{"engines x map changes/s", func(d Drivers) float64 { return d.Engines * d.MapChanges }}
	configChanges      = feature{"config bytes x changes/s", func(d Drivers) float64 { return d.ConfigBytes * d.Changes }}
	followerEvents     = feature{"askers x events/s", func(d Drivers) float64 { return d.Followers() * d.Events }}
	followerOtherLoads = feature{"askers x told loads x asks/s", func(d Drivers) float64 { return d.Followers() * d.OtherLoads() * d.questions() }}
	followerLoads      = feature{"askers x own loads x asks/s", func(d Drivers) float64 { return d.Followers() * d.Loads() * d.questions() }}
	followerLoadSums   = feature{"askers x proxies x own loads x asks/s", func(d Drivers) float64 { return d.Followers() * d.Proxies * d.Loads() * d.questions() }}
	followerMaps       = feature{"askers x engines x map changes/s", func(d Drivers) float64 { return d.Followers() * d.Engines * d.MapChanges }}
	followerConfigs    = feature{"askers x config bytes x changes/s", func(d Drivers) float64 { return d.Followers() * d.ConfigBytes * d.Changes }}
	followerBlocks     = feature{"askers x blocks", func(d Drivers) float64 { return d.Followers() * d.Blocks }}
	peers              = feature{"askers x other control nodes", func(d Drivers) float64 { return d.Followers() * (d.Controls - 1) }}
	peerLoads          = feature{"askers x own loads x other control nodes", func(d Drivers) float64 { return d.Followers() * d.Loads() * (d.Controls - 1) }}
	peerConfigs        = feature{"config bytes x changes/s x other control nodes", func(d Drivers) float64 { return d.ConfigBytes * d.Changes * (d.Controls - 1) }}
)

// configSize is fitted first: other costs grow with it.
const configSizeMetric = "config.bytes"

// metric is a cost, and what it may grow with.
type metric struct {
	name, unit string
	features   []feature
}

var fittedMetrics = []metric{
	{configSizeMetric, "B", []feature{constant, {"tenants", func(d Drivers) float64 { return d.Tenants }}}},
	{"front.cpu_us_s", "us/s", []feature{constant, otherLoads, events, mapChanges, configChanges}},
	{"front.in_bytes_s", "B/s", []feature{constant, otherLoads, events, mapChanges, configChanges}},
	{"front.peak_mb", "MB", []feature{constant, otherLoads, engines, blocks, configBytes}},
	{"hollow.in_bytes_s", "B/s", []feature{constant, otherLoads, events, mapChanges, configChanges}},
	{"hollow.out_bytes_s", "B/s", []feature{constant, loads}},
	{"hollow.asks_s", "1/s", []feature{constant, {"config changes/s", func(d Drivers) float64 { return d.Changes }}, {"map changes/s", func(d Drivers) float64 { return d.MapChanges }}}},
	{"control.cpu_us_s", "us/s", []feature{constant, followers, polls, events, followerEvents, followerOtherLoads, followerLoadSums, followerMaps, configChanges, followerConfigs}},
	{"control.peak_mb", "MB", []feature{constant, engines, events, blocks, configBytes, followers, followerBlocks, followerOtherLoads}},
	{"control.out_bytes_s", "B/s", []feature{constant, followers, followerOtherLoads, followerEvents, followerMaps, followerConfigs, peerLoads, peerConfigs}},
	{"control.in_bytes_s", "B/s", []feature{constant, followers, followerLoads, peerLoads, peerConfigs}},
	{"control.peer_out_bytes_s", "B/s", []feature{constant, peers, peerLoads, peerConfigs}},
	{"control.engines_in_bytes_s", "B/s", []feature{constant, polls, events}},
	{"control.list_in_bytes_s", "B/s", []feature{constant, engines}},
	{"change.known_ms", "ms", []feature{constant, followers, configBytes, {"askers x config bytes", func(d Drivers) float64 { return d.Followers() * d.ConfigBytes }}}},
}
