package platform

import (
	"strings"

	"github.com/gravitational/trace"

	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
)

// Kinds of listed engines, as the protocol writes them.
const (
	kindEngine = "engine"
	kindStore  = "store"
)

// Settings of the stand-in platform.
type Settings struct {
	daemon.NodeSettings
	// Engines are listed in this order at the start.
	Engines []string `json:"engines" help:"name=IP:port@site of each engine, with commas"`
	// Store is listed after the engines; empty lists none.
	Store string `json:"store" help:"name=IP:port@site of the store"`
	// Nodes are asked whether they are ready; /v1/ready shows their answers.
	Nodes []string `json:"nodes" help:"IP:port of the HTTP side of each node to ask for readiness"`
}

// Defaults are the settings of a platform that lists nothing and stops at once.
func Defaults() Settings { return Settings{NodeSettings: daemon.NodeSettings{DrainUS: 0}} }

// list is what the platform lists at the start.
func (s Settings) list() (engines []engineapi.ListedEngine, err error) {
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

// parseEngine reads name=IP:port@zone.
func parseEngine(text, kind string) (engineapi.ListedEngine, error) {
	name, location, hasLocation := strings.Cut(text, "=")
	addr, zone, hasZone := strings.Cut(location, "@")
	if !hasLocation || !hasZone {
		return engineapi.ListedEngine{}, trace.BadParameter("%q is not name=IP:port@site; write it so", text)
	}
	return engineapi.ListedEngine{Name: name, Addr: addr, Zone: zone, Kind: kind}, nil
}
