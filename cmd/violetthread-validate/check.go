package main

import (
	"context"
	"encoding/json"
	"errors"
	"os"
	"time"

	"github.com/gravitational/trace"

	"violetthread/internal/controlclient"
	"violetthread/internal/engineapi"
	"violetthread/plan"
	"violetthread/plancheck"
)

const (
	timeoutUS = 2_000_000 // for one request, in microseconds
	timeout   = timeoutUS * time.Microsecond
)

// checker reads the state of the fleet and checks a plan against it.
type checker struct {
	nodes    []*controlclient.Client // one for each control node
	pages    *engineapi.Client       // for index nodes and the platform
	platform string
}

func newChecker(addresses []string, platform string) *checker {
	c := &checker{pages: engineapi.NewClient(), platform: platform}
	for _, address := range addresses {
		c.nodes = append(c.nodes, controlclient.New([]string{address}, timeout))
	}
	return c
}

// read reads a path from the first control node that responds with status 200.
func (c *checker) read(ctx context.Context, path string, out any) error {
	var lastErr error
	for _, node := range c.nodes {
		if lastErr = node.GetJSON(ctx, path, out); lastErr == nil {
			return nil
		}
	}
	return trace.Wrap(lastErr, "no control node answered; give --at the HTTP side of one that runs")
}

// check returns the findings, or an error if the check could not be completed.
func (c *checker) check(ctx context.Context, o options) ([]plancheck.Finding, error) {
	text, current, err := c.plans(ctx, o)
	if err != nil {
		return nil, err
	}
	proposed, planFindings := plan.Parse(text)
	findings := []plancheck.Finding{}
	for _, f := range planFindings {
		findings = append(findings, plancheck.Finding{Severity: "error", Path: f.Path, Text: f.Text, Remedy: f.Remedy})
	}
	if len(planFindings) > 0 || o.offline {
		return findings, nil
	}
	fleet, err := c.fleet(ctx, proposed)
	if err != nil {
		return nil, err
	}
	fleet.Current, fleet.WithoutVoter = decodePlan(current), o.without
	return append(findings, plancheck.Check(proposed, fleet)...), nil
}

// plans returns the text of the plan to check and the text of the plan in force, which is nil
// if there is none or the check is offline.
func (c *checker) plans(ctx context.Context, o options) (text []byte, current json.RawMessage, err error) {
	if o.file == "" && o.offline {
		return nil, nil, trace.BadParameter("give the plan's file with --offline")
	}
	if o.file != "" {
		if text, err = os.ReadFile(o.file); err != nil {
			return nil, nil, trace.BadParameter("%v; give an existing file", err)
		}
	}
	if o.offline {
		return text, nil, nil
	}
	// A file can be checked against a fleet that has no plan yet.
	if err := c.read(ctx, "/v1/plan", &current); err != nil && (o.file == "" || !isNoPlan(err)) {
		return nil, nil, err
	}
	if o.file == "" {
		text = current
	}
	return text, current, nil
}

func isNoPlan(err error) bool {
	var status *controlclient.StatusError
	return errors.As(err, &status) && status.Reason == controlclient.ReasonNoPlan
}

// decodePlan decodes a plan. It returns nil if the text is empty or can't be decoded.
func decodePlan(text json.RawMessage) *plan.Plan {
	var p plan.Plan
	if len(text) == 0 || json.Unmarshal(text, &p) != nil {
		return nil
	}
	return &p
}
