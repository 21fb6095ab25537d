package platform

import (
	"strings"

	"github.com/gravitational/trace"

	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
)

// Values of ListedEngine.Kind in the protocol.
const (
	kindEngine = "engine"
	kindStore  = "store"
)

// Settings of the simulated platform.
type Settings struct {
	daemon.NodeSettings
	// Engines is the initial list of engines, in this order.
	Engines []string `json:"engines" help:"name=IP:port@site of each engine, with commas"`
	// Store is listed after the engines. If it is empty there is no store.
	Store string `json:"store" help:"name=IP:port@site of the store"`
	// Nodes are polled for readiness; /v1/ready serves the results.
	Nodes []string `json:"nodes" help:"IP:port of the HTTP side of each node to ask for readiness"`
}

// Defaults returns the settings of a platform that lists no engines and stops without waiting
// for requests in progress.
func Defaults() Settings { return Settings{NodeSettings: daemon.NodeSettings{DrainUS: 0}} }

// initialEngines parses the list of engines that the platform starts with, the store last.
func (s Settings) initialEngines() (engines []engineapi.ListedEngine, err error) {
	for _, text := range s.Engines {
		engine, err := parseEngine(text, kindEngine)
		if err != nil {
			return nil, err
		}
		engines = append(engines, engine)
	}
	if s.Store == "" {
		return engines, nil
	}
	store, err := parseEngine(s.Store, kindStore)
	if err != nil {
		return nil, err
	}
	return append(engines, store), nil
}

// parseEngine parses name=IP:port@site; the site is the zone.
func parseEngine(text, kind string) (engineapi.ListedEngine, error) {
	name, location, hasLocation := strings.Cut(text, "=")
	addr, zone, hasZone := strings.Cut(location, "@")
	if !hasLocation || !hasZone {
		return engineapi.ListedEngine{}, trace.BadParameter("invalid engine %q: expected name=IP:port@site", text)
	}
	return engineapi.ListedEngine{Name: name, Addr: addr, Zone: zone, Kind: kind}, nil
}
