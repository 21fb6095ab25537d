package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
	"violetthread/internal/taskgroup"
)

const (
	readinessPeriodUS  = 500_000 // between two polls of all nodes
	readinessTimeoutUS = 300_000 // for one node's response
)

type platform struct {
	client *engineapi.Client
	nodes  []string // addresses of the nodes whose readiness is polled

	mu      sync.Mutex // guards the fields below
	engines []engineapi.ListedEngine
	ready   map[string]bool // by node address: result of the last poll
}

// NewDaemon creates a platform that starts serving when its Run is called. It returns an error
// if an engine or the store in the settings does not have the form name=IP:port@site.
func NewDaemon(settings Settings) (*daemon.Daemon, error) {
	engines, err := settings.initialEngines()
	if err != nil {
		return nil, err
	}
	p := &platform{client: engineapi.NewClient(), nodes: settings.Nodes, engines: engines, ready: map[string]bool{}}
	d := daemon.New("platform", settings.Name, settings.HTTPAddr, settings.DrainUS)
	d.Handle("/v1/engines", p.serveEngines)
	d.Handle("/v1/mark", p.serveUpdate)
	d.Handle("/v1/ready", p.serveReadiness)
	d.Group.Go("readiness", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(readinessPeriodUS), p.checkReadiness)
	})
	d.SetReady("")
	return d, nil
}

// checkReadiness polls the nodes one after the other.
func (p *platform) checkReadiness(ctx context.Context) {
	for _, node := range p.nodes {
		ready := p.client.Get(ctx, node, "/readyz", readinessTimeoutUS, nil) == nil
		p.mu.Lock()
		p.ready[node] = ready
		p.mu.Unlock()
	}
}

func (p *platform) serveReadiness(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	daemon.WriteJSON(w, http.StatusOK, p.ready)
}

func (p *platform) serveEngines(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	daemon.WriteJSON(w, http.StatusOK, engineapi.EngineList{Engines: p.engines})
}

// EngineUpdate is the body of POST /v1/mark: a change to one listed engine, or a new engine.
type EngineUpdate struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
	Gone    bool   `json:"gone"` // the engine is removed from the list
	Addr    string `json:"addr"` // IP:port; an engine that is not listed yet is added if this is set
	Zone    string `json:"site"`
}

func (p *platform) serveUpdate(w http.ResponseWriter, request *http.Request) {
	var update EngineUpdate
	if json.NewDecoder(request.Body).Decode(&update) != nil || update.Name == "" {
		daemon.WriteJSON(w, http.StatusBadRequest, daemon.ErrorResponse{Reason: "malformed", Remedy: "send name and leaving, gone, or addr and site"})
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines = update.apply(p.engines)
	daemon.WriteJSON(w, http.StatusOK, engineapi.EngineList{Engines: p.engines})
}

// apply returns a new list with the update applied; engines is not modified.
func (u EngineUpdate) apply(engines []engineapi.ListedEngine) (updated []engineapi.ListedEngine) {
	found := false
	for _, engine := range engines {
		if engine.Name != u.Name {
			updated = append(updated, engine)
			continue
		}
		found = true
		if !u.Gone {
			updated = append(updated, u.applyTo(engine))
		}
	}
	if !found && u.Addr != "" {
		updated = append(updated, engineapi.ListedEngine{Name: u.Name, Addr: u.Addr, Zone: u.Zone, Kind: kindEngine, Leaving: u.Leaving})
	}
	return updated
}

func (u EngineUpdate) applyTo(engine engineapi.ListedEngine) engineapi.ListedEngine {
	engine.Leaving = u.Leaving
	if u.Addr != "" {
		engine.Addr = u.Addr
	}
	if u.Zone != "" {
		engine.Zone = u.Zone
	}
	return engine
}
