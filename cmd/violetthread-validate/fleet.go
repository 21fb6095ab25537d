package main

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"

	"violetthread/internal/app/control"
	"violetthread/internal/engineapi"
	"violetthread/membership"
	"violetthread/plan"
	"violetthread/plancheck"
)

const dialTimeout = time.Second

// ownedEngine is an index node's status of an engine that it owns.
type ownedEngine struct {
	Name     string
	Weights  string
	Capacity int `json:"room"`
}

// fleet reads the state of the fleet that the checks need.
func (c *checker) fleet(ctx context.Context, p *plan.Plan) (fleet plancheck.Fleet, err error) {
	fleet.Up, fleet.BackEnds = map[string]bool{}, map[string]bool{}
	var status control.FleetStatus
	if err := c.read(ctx, "/v1/fleet", &status); err != nil {
		return fleet, err
	}
	fleet.VotersRecovered = status.ChangeAllowed
	for _, v := range status.Voters {
		fleet.Voters = append(fleet.Voters, v.Name)
		fleet.Up[v.Name] = acceptsConnections(v.Addr)
	}
	for _, n := range status.Nodes {
		if n.Role == membership.RoleGateway {
			fleet.Proxies = append(fleet.Proxies, n.Name)
		}
	}
	if fleet.Engines, err = c.engines(ctx, c.ownedEngines(ctx, status.Nodes)); err != nil {
		return fleet, err
	}
	for _, route := range p.Routes {
		fleet.BackEnds[route.Backend] = acceptsConnections(route.Backend)
	}
	return fleet, nil
}

// ownedEngines reads the engines of all index nodes, by name. An index node that does not
// answer is treated as owning none.
func (c *checker) ownedEngines(ctx context.Context, nodes []control.NodeStatus) map[string]ownedEngine {
	owned := map[string]ownedEngine{}
	for _, n := range nodes {
		if n.Role != membership.RoleIndexNode {
			continue
		}
		var engines []ownedEngine
		if c.pages.Get(ctx, n.HTTP, "/v1/engines", timeoutUS, &engines) == nil {
			for _, e := range engines {
				owned[e.Name] = e
			}
		}
	}
	return owned
}

// engines returns the engines on the platform's list, without stores.
func (c *checker) engines(ctx context.Context, owned map[string]ownedEngine) (engines []plancheck.Engine, err error) {
	if c.platform == "" {
		return nil, trace.BadParameter("give --platform the IP:port of the platform's list")
	}
	var list engineapi.EngineList
	if err := c.pages.Get(ctx, c.platform, "/v1/engines", timeoutUS, &list); err != nil {
		return nil, trace.Wrap(err, "the platform did not answer; check --platform")
	}
	for _, e := range list.Engines {
		if e.Kind == "store" {
			continue
		}
		o, ok := owned[e.Name]
		engines = append(engines, plancheck.Engine{Name: e.Name, Zone: e.Zone, Weights: o.Weights, Leaving: e.Leaving, Owned: ok, Capacity: o.Capacity})
	}
	return engines, nil
}

// acceptsConnections reports whether a TCP connection to an IP:port can be opened.
func acceptsConnections(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
