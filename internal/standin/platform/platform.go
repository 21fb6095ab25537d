// Package platform is a stand-in for what runs the machines: it lists engines,
// marks the ones that are leaving and asks nodes whether they are ready.
package platform

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/gravitational/trace"

	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
	"violetthread/internal/taskgroup"
)

// Settings of the stand-in platform.
type Settings struct {
	daemon.NodeSettings
	Engines []string `json:"engines" help:"name=IP:port@site of each engine, with commas"`
	Store   string   `json:"store" help:"name=IP:port@site of the store"`
	Nodes   []string `json:"nodes" help:"IP:port of the HTTP side of each node to ask for readiness"`
}

// Defaults of the settings.
func Defaults() Settings { return Settings{NodeSettings: daemon.NodeSettings{DrainUS: 0}} }

type platform struct {
	mu      sync.Mutex
	engines []engineapi.ListedEngine
	since   map[string]int64
	ready   map[string]bool
}

func parseEngine(s, kind string) (engineapi.ListedEngine, error) {
	n, rest, ok := strings.Cut(s, "=")
	a, site, ok2 := strings.Cut(rest, "@")
	if !ok || !ok2 {
		return engineapi.ListedEngine{}, trace.BadParameter("%q is not name=IP:port@site; write it so", s)
	}
	return engineapi.ListedEngine{Name: n, Addr: a, Zone: site, Kind: kind}, nil
}

// Run runs the stand-in until it is told to stop.
func Run(s Settings) error {
	d, err := New(s)
	if err != nil {
		return err
	}
	return d.Run()
}

// New makes one, ready to Run.
func New(s Settings) (*daemon.Daemon, error) {
	p := &platform{since: map[string]int64{}, ready: map[string]bool{}}
	for _, x := range s.Engines {
		l, err := parseEngine(x, "engine")
		if err != nil {
			return nil, err
		}
		p.engines = append(p.engines, l)
	}
	if s.Store != "" {
		l, err := parseEngine(s.Store, "store")
		if err != nil {
			return nil, err
		}
		p.engines = append(p.engines, l)
	}
	d := daemon.New("platform", s.Name, s.HTTPAddr, s.DrainUS)
	d.Handle("/v1/engines", p.serveEngines)
	d.Handle("/v1/mark", p.serveUpdate)
	d.Handle("/v1/ready", func(w http.ResponseWriter, _ *http.Request) {
		p.mu.Lock()
		defer p.mu.Unlock()
		daemon.WriteJSON(w, 200, p.ready)
	})
	c := engineapi.NewClient()
	d.Group.Go("ready", func(ctx context.Context) {
		taskgroup.Every(ctx, clock.Duration(500_000), func(ctx context.Context) {
			for _, n := range s.Nodes {
				ok := c.Get(ctx, n, "/readyz", 300_000, nil) == nil
				p.mu.Lock()
				p.ready[n] = ok
				p.mu.Unlock()
			}
		})
	})
	d.SetReady("")
	return d, nil
}

func (p *platform) serveEngines(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	daemon.WriteJSON(w, 200, engineapi.EngineList{Engines: p.engines})
}

// Mark is the body of POST /v1/mark: what became of an engine.
type EngineUpdate struct {
	Name    string `json:"name"`
	Leaving bool   `json:"leaving"`
	Gone    bool   `json:"gone"`
	Addr    string `json:"addr"` // with Site: list it anew
	Zone    string `json:"site"`
}

func (p *platform) serveUpdate(w http.ResponseWriter, q *http.Request) {
	var m EngineUpdate
	if json.NewDecoder(q.Body).Decode(&m) != nil || m.Name == "" {
		daemon.WriteJSON(w, 400, daemon.ErrorResponse{Reason: "malformed", Remedy: "send name and leaving, gone, or addr and site"})
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []engineapi.ListedEngine
	found := false
	for _, l := range p.engines {
		if l.Name == m.Name {
			found = true
			if m.Gone {
				continue
			}
			l.Leaving = m.Leaving
			if m.Addr != "" {
				l.Addr = m.Addr
			}
			if m.Zone != "" {
				l.Zone = m.Zone
			}
		}
		out = append(out, l)
	}
	if !found && m.Addr != "" {
		out = append(out, engineapi.ListedEngine{Name: m.Name, Addr: m.Addr, Zone: m.Zone, Kind: "engine", Leaving: m.Leaving})
	}
	p.engines = out
	daemon.WriteJSON(w, 200, engineapi.EngineList{Engines: out})
}
