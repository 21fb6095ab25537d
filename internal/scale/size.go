package scale

import "math"

// Size is how large a fleet is, and how much happens in it.
type Size struct {
	Proxies    int   `json:"proxies" validate:"min=1,max=1000" help:"simulated proxies"`
	Engines    int   `json:"engines" validate:"min=1,max=4000" help:"simulated engines"`
	Events     int   `json:"events" validate:"min=0,max=1000000" help:"cache events of all engines together, a second"`
	Blocks     int   `json:"blocks" validate:"min=0,max=4000000" help:"blocks that all engines keep"`
	Tenants    int   `json:"tenants" validate:"min=1,max=20000" help:"tenants in the configuration; one route to ten of them"`
	UnderWay   int   `json:"under_way" validate:"min=0,max=10000" help:"requests under way at each proxy"`
	Changes    int   `json:"changes" validate:"min=0,max=100" help:"changes of the configuration while it measures"`
	MapChanges int   `json:"map_changes" validate:"min=0,max=100" help:"changes of the platform's list while it measures"`
	Stagger    int64 `json:"stagger_us" validate:"min=0,max=1000000" help:"between the starts of two simulated proxies; 0 leaves each time to take its first answer"`
	Seconds    int64 `json:"seconds" validate:"min=1,max=60" help:"how long it measures"`
}

// Roles of a run, as Settings.Role has them.
const (
	roleDesign   = "design"   // fitted
	roleDiagonal = "diagonal" // fitted
	roleHeldOut  = "held-out" // compared with what is predicted for it
	roleLimit    = "limit"    // beyond what the nodes can bear: not all has to work
)

// Settings of a run.
type Settings struct {
	Size
	Label    string   `json:"label" validate:"required,name" help:"what the run is called"`
	Role     string   `json:"role" validate:"oneof=design diagonal held-out limit" help:"design and diagonal runs are fitted; held-out and limit runs are not"`
	List     string   `json:"list" validate:"required,ipport" help:"IP:port on loopback for the platform's list"`
	Wires    []string `json:"wires" validate:"min=1,max=9,dive,ipport" help:"wire addresses of the control nodes"`
	Controls []string `json:"controls" validate:"min=1,max=9,dive,ipport" help:"operators' addresses of the control nodes"`
	Fronts   []string `json:"fronts" validate:"max=9,dive,ipport" help:"readiness addresses of the real proxies"`
	// Pids are in the order of Controls and Fronts.
	ControlPids []string `json:"control_pids" validate:"min=1,max=9,dive,number" help:"process ids of the control nodes"`
	FrontPids   []string `json:"front_pids" validate:"max=9,dive,number" help:"process ids of the real proxies"`
	Out         string   `json:"out" validate:"required" help:"file that the sample is appended to"`
}

// Defaults of a run.
func Defaults() Settings {
	return Settings{
		Role:  roleDesign,
		Label: "one",
		List:  "127.0.0.1:7699",
		Size: Size{
			Proxies:    20,
			Engines:    40,
			Events:     1000,
			Blocks:     10_000,
			Tenants:    200,
			UnderWay:   20,
			Changes:    2,
			MapChanges: 1,
			Seconds:    6,
		},
	}
}

// Drivers are what costs follow from: a Size, with rates for each second.
type Drivers struct {
	Proxies     float64 `json:"proxies"` // real ones included
	Controls    float64 `json:"controls"`
	Engines     float64 `json:"engines"`
	Events      float64 `json:"events"`
	Blocks      float64 `json:"blocks"`
	Tenants     float64 `json:"tenants"`
	ConfigBytes float64 `json:"config_bytes"` // of the register, deflated
	UnderWay    float64 `json:"under_way"`
	Changes     float64 `json:"changes"`
	MapChanges  float64 `json:"map_changes"`
}

// Drivers of a size, with this many real proxies and control nodes; the configuration's bytes
// are measured.
func (s Size) Drivers(realProxies, controls int, configBytes float64) Drivers {
	seconds := float64(s.Seconds)
	return Drivers{
		Proxies:     float64(s.Proxies + realProxies),
		Controls:    float64(controls),
		Engines:     float64(s.Engines),
		Events:      float64(s.Events),
		Blocks:      float64(s.Blocks),
		Tenants:     float64(s.Tenants),
		ConfigBytes: configBytes,
		UnderWay:    float64(s.UnderWay),
		Changes:     float64(s.Changes) / seconds,
		MapChanges:  float64(s.MapChanges) / seconds,
	}
}

// distinct is how many engines have one of these requests, if they are spread evenly.
func distinct(engines, requests float64) float64 {
	if engines < 1 {
		return 0
	}
	return engines * (1 - math.Pow(1-1/engines, requests))
}

// Loads is how many engines a proxy has something under way at.
func (d Drivers) Loads() float64 { return distinct(d.Engines, d.UnderWay) }

// OtherLoads is how many engines' loads of other proxies a proxy is told.
func (d Drivers) OtherLoads() float64 { return distinct(d.Engines, d.UnderWay*(d.Proxies-1)) }

// Followers is how many proxies follow one control node.
func (d Drivers) Followers() float64 { return d.Proxies / d.Controls }
