// Command compliance checks a plan against the fleet as it is.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"

	"violetthread/internal/app/control"
	"violetthread/internal/daemon"
	"violetthread/internal/engineapi"
	"violetthread/plan"
	"violetthread/plancheck"
)

// Exit codes: 0 no findings, 1 findings, 2 could not check.
func main() {
	var at, platform, file, without string
	var asJSON, offline bool
	p := flaggy.NewParser("compliance")
	p.Description = "Checks a plan against the fleet as it is. Exit code 0: no findings, 1: findings, 2: could not check."
	p.Version, p.ShowCompletion = daemon.Version, false
	p.String(&at, "a", "at", "IP:port of registrars' HTTP sides, with commas")
	p.String(&platform, "p", "platform", "IP:port of the platform's list of engines")
	p.String(&without, "w", "without", "check as if this voter were taken away")
	p.Bool(&asJSON, "j", "json", "print findings as JSON")
	p.Bool(&offline, "o", "offline", "check the structure only, without a fleet")
	p.AddPositionalValue(&file, "FILE", 1, false, "the plan as JSON; without it the plan in force is checked")
	if err := p.ParseArgs(os.Args[1:]); err != nil {
		daemon.Exit("compliance", err)
	}
	g := gatherer{c: engineapi.NewClient(), at: strings.Split(at, ","), platform: platform}
	fs, err := g.check(file, offline, without)
	if err != nil {
		daemon.Exit("compliance", err)
	}
	if asJSON {
		b, _ := json.MarshalIndent(fs, "", "  ")
		fmt.Println(string(b))
	} else {
		for _, f := range fs {
			fmt.Println(f)
		}
		if len(fs) == 0 {
			fmt.Println("no findings")
		}
	}
	if len(fs) > 0 {
		os.Exit(1)
	}
}

type gatherer struct {
	c        *engineapi.Client
	at       []string
	platform string
}

const patience = 2_000_000

// ask reads from the first registrar that answers.
func (g gatherer) ask(path string, out any) error {
	var last error
	for _, a := range g.at {
		if last = g.c.Get(context.Background(), a, path, patience, out); last == nil {
			return nil
		}
	}
	return trace.Wrap(last, "no registrar answered; give --at the HTTP side of one that runs")
}

func (g gatherer) check(file string, offline bool, without string) ([]plancheck.Finding, error) {
	var raw []byte
	var now json.RawMessage
	var err error
	if file != "" {
		if raw, err = os.ReadFile(file); err != nil {
			return nil, trace.BadParameter("%v; give an existing file", err)
		}
	} else if offline {
		return nil, trace.BadParameter("give the plan's file with --offline")
	}
	if !offline {
		// A fleet without a plan yet is still checked against the file.
		if err := g.ask("/v1/plan", &now); err != nil && (file == "" || !strings.Contains(err.Error(), "no-plan")) {
			return nil, err
		}
	}
	if file == "" {
		raw = now
	}
	p, bad := plan.Parse(raw)
	fs := []plancheck.Finding{}
	for _, f := range bad {
		fs = append(fs, plancheck.Finding{Severity: "error", Path: f.Path, Text: f.Text, Remedy: f.Remedy})
	}
	if len(bad) > 0 || offline {
		return fs, nil
	}
	f, err := g.fleet(p)
	if err != nil {
		return nil, err
	}
	if len(now) > 0 {
		var o plan.Plan
		if json.Unmarshal(now, &o) == nil {
			f.Current = &o
		}
	}
	f.WithoutVoter = without
	return append(fs, plancheck.Check(p, f)...), nil
}

func (g gatherer) fleet(p *plan.Plan) (f plancheck.Fleet, err error) {
	f.Up, f.BackEnds = map[string]bool{}, map[string]bool{}
	var fl control.FleetStatus
	if err := g.ask("/v1/fleet", &fl); err != nil {
		return f, err
	}
	f.VotersRecovered = fl.ChangeAllowed
	for _, v := range fl.Voters {
		f.Voters = append(f.Voters, v.Name)
		f.Up[v.Name] = listens(v.Addr)
	}
	type owned struct {
		Name, Weights string
		Room          int
	}
	own := map[string]owned{}
	for _, n := range fl.Nodes {
		switch n.Role {
		case "remisier":
			f.Proxies = append(f.Proxies, n.Name)
		case "custodian":
			var es []owned
			if g.c.Get(context.Background(), n.HTTP, "/v1/engines", patience, &es) == nil {
				for _, e := range es {
					own[e.Name] = e
				}
			}
		}
	}
	if g.platform == "" {
		return f, trace.BadParameter("give --platform the IP:port of the platform's list")
	}
	var l engineapi.EngineList
	if err := g.c.Get(context.Background(), g.platform, "/v1/engines", patience, &l); err != nil {
		return f, trace.Wrap(err, "the platform did not answer; check --platform")
	}
	for _, e := range l.Engines {
		if e.Kind == "store" {
			continue
		}
		o, ok := own[e.Name]
		f.Engines = append(f.Engines, plancheck.Engine{Name: e.Name, Zone: e.Zone, Weights: o.Weights, Leaving: e.Leaving, Owned: ok, Capacity: o.Room})
	}
	for _, e := range p.Routes {
		f.BackEnds[e.Backend] = listens(e.Backend)
	}
	return f, nil
}

func listens(addr string) bool {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}
