package main

import (
	"context"
	"slices"
	"strings"

	"violetthread/membership"
)

// proxies lists the gateways with the age of their plan and their counters. The columns from
// plan_rev on are metrics of the gateway.
func (t *tool) proxies(ctx context.Context) (view, error) {
	v := view{columns: []string{"proxy", "site", "ready", "plan_rev", "plan_age_us", "running", "hints", "tickets_total", "refused_total", "unknown_total", "retries_total"}}
	fleet, err := t.fleet(ctx)
	if err != nil {
		return v, err
	}
	for _, n := range fleet.Nodes {
		if n.Role != membership.RoleGateway {
			continue
		}
		r := row{"proxy": n.Name, "site": n.Zone, "ready": n.Ready}
		page, err := t.page(n.HTTP, "/metrics")
		if err != nil {
			r["problem"] = "does not answer: " + err.Error()
		}
		r.addMetrics(string(page), v.columns)
		v.rows = append(v.rows, r)
	}
	return v, nil
}

// addMetrics sets the columns that have the name of a metric, to its first value on the page.
func (r row) addMetrics(page string, columns []string) {
	for _, line := range strings.Split(page, "\n") {
		name, value, ok := strings.Cut(strings.TrimPrefix(line, "violetthread_"), " ")
		if ok && slices.Contains(columns, name) && r[name] == nil {
			r[name] = value
		}
	}
}
