package scale

// feature is something that a cost may grow with, worked out from the drivers.
type feature struct {
	name string
	of   func(Drivers) float64
}

const askRate = 4 // questions a second of a calm proxy: each is held for 0.25 s

func (d Drivers) asks() float64 { return askRate + d.Changes + d.MapChanges }

// polls is how often a second a control node asks all engines for news: 0.15 s after an
// answer, which is held for 0.9 s at most until there is an event. Hollow engines have
// two events at a time.
func (d Drivers) polls() float64 {
	gap := 1.05
	if d.Events > 0 {
		gap = min(gap, max(0.15, 2*d.Engines/d.Events))
	}
	return d.Engines / gap
}

var (
	base1    = feature{"base", func(Drivers) float64 { return 1 }}
	askers   = feature{"askers", Drivers.Askers}
	engines  = feature{"engines", func(d Drivers) float64 { return d.Engines }}
	events   = feature{"events/s", func(d Drivers) float64 { return d.Events }}
	polls    = feature{"engine polls/s", Drivers.polls}
	blocks   = feature{"blocks", func(d Drivers) float64 { return d.Blocks }}
	cfgBytes = feature{"config bytes", func(d Drivers) float64 { return d.ConfigBytes }}
	loads    = feature{"own loads x asks/s", func(d Drivers) float64 { return d.Loads() * d.asks() }}
	told     = feature{"told loads x asks/s", func(d Drivers) float64 { return d.Told() * d.asks() }}
	maps     = feature{"engines x map changes/s", func(d Drivers) float64 { return d.Engines * d.MapChanges }}
	cfgs     = feature{"config bytes x changes/s", func(d Drivers) float64 { return d.ConfigBytes * d.Changes }}
	aNews    = feature{"askers x events/s", func(d Drivers) float64 { return d.Askers() * d.Events }}
	aTold    = feature{"askers x told loads x asks/s", func(d Drivers) float64 { return d.Askers() * d.Told() * d.asks() }}
	aLoads   = feature{"askers x own loads x asks/s", func(d Drivers) float64 { return d.Askers() * d.Loads() * d.asks() }}
	aSums    = feature{"askers x proxies x own loads x asks/s", func(d Drivers) float64 { return d.Askers() * d.Proxies * d.Loads() * d.asks() }}
	aMaps    = feature{"askers x engines x map changes/s", func(d Drivers) float64 { return d.Askers() * d.Engines * d.MapChanges }}
	aCfgs    = feature{"askers x config bytes x changes/s", func(d Drivers) float64 { return d.Askers() * d.ConfigBytes * d.Changes }}
	aBlocks  = feature{"askers x blocks", func(d Drivers) float64 { return d.Askers() * d.Blocks }}
	peers    = feature{"askers x other control nodes", func(d Drivers) float64 { return d.Askers() * (d.Controls - 1) }}
	pLoads   = feature{"askers x own loads x other control nodes", func(d Drivers) float64 { return d.Askers() * d.Loads() * (d.Controls - 1) }}
	peerCfgs = feature{"config bytes x changes/s x other control nodes", func(d Drivers) float64 { return d.ConfigBytes * d.Changes * (d.Controls - 1) }}
)

// configSize is fitted first: other costs grow with it.
const configSize = "config.bytes"

// metric is a cost, and what it may grow with.
type metric struct {
	name, unit string
	features   []feature
}

var metricsFitted = []metric{
	{configSize, "B", []feature{base1, {"tenants", func(d Drivers) float64 { return d.Tenants }}}},
	{"front.cpu_us_s", "us/s", []feature{base1, told, events, maps, cfgs}},
	{"front.in_bytes_s", "B/s", []feature{base1, told, events, maps, cfgs}},
	{"front.peak_mb", "MB", []feature{base1, told, engines, blocks, cfgBytes}},
	{"hollow.in_bytes_s", "B/s", []feature{base1, told, events, maps, cfgs}},
	{"hollow.out_bytes_s", "B/s", []feature{base1, loads}},
	{"hollow.asks_s", "1/s", []feature{base1, {"config changes/s", func(d Drivers) float64 { return d.Changes }}, {"map changes/s", func(d Drivers) float64 { return d.MapChanges }}}},
	{"control.cpu_us_s", "us/s", []feature{base1, askers, polls, events, aNews, aTold, aSums, aMaps, cfgs, aCfgs}},
	{"control.peak_mb", "MB", []feature{base1, engines, events, blocks, cfgBytes, askers, aBlocks, aTold}},
	{"control.out_bytes_s", "B/s", []feature{base1, askers, aTold, aNews, aMaps, aCfgs, pLoads, peerCfgs}},
	{"control.in_bytes_s", "B/s", []feature{base1, askers, aLoads, pLoads, peerCfgs}},
	{"control.peer_out_bytes_s", "B/s", []feature{base1, peers, pLoads, peerCfgs}},
	{"control.engines_in_bytes_s", "B/s", []feature{base1, polls, events}},
	{"control.list_in_bytes_s", "B/s", []feature{base1, engines}},
	{"change.known_ms", "ms", []feature{base1, askers, cfgBytes, {"askers x config bytes", func(d Drivers) float64 { return d.Askers() * d.ConfigBytes }}}},
}
