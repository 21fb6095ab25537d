package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"violetthread/index"
	"violetthread/internal/controlclient"
	"violetthread/membership"
)

// minUsedScore is the lowest transfer score, in thousandths, at which a link is used.
const minUsedScore = 450

// engines lists every engine as reported by the index node that owns it.
func (t *tool) engines(ctx context.Context) (view, error) {
	v := view{columns: []string{"engine", "site", "owner", "epoch", "weights", "room", "running", "queue", "kept", "leaving", "report_age_us", "links"}}
	fleet, err := t.fleet(ctx)
	if err != nil {
		return v, err
	}
	for _, n := range fleet.Nodes {
		if n.Role == membership.RoleIndexNode {
			v.rows = append(v.rows, t.enginesOf(n.Name, n.HTTP)...)
		}
	}
	slices.SortFunc(v.rows, compareBy("engine"))
	return v, nil
}

func (t *tool) enginesOf(indexNode, addr string) (rows []row) {
	var engines []index.EngineStatus
	page, err := t.page(addr, "/v1/engines")
	if err == nil {
		err = json.Unmarshal(page, &engines)
	}
	if err != nil {
		rows = append(rows, row{"engine": "?", "owner": indexNode, "problem": "does not answer: " + err.Error()})
	}
	for _, e := range engines {
		rows = append(rows, engineRow(indexNode, e))
	}
	return rows
}

func engineRow(indexNode string, e index.EngineStatus) row {
	unused := 0
	for _, score := range e.TransferScores {
		if score < minUsedScore {
			unused++
		}
	}
	return row{
		"engine": e.Name, "site": e.Zone, "owner": indexNode, "epoch": e.FencingToken,
		"weights": e.Weights, "room": e.Capacity, "running": e.Running, "queue": e.QueueLength,
		"kept": e.Holdings, "leaving": e.Leaving, "store": e.Store, "report_age_us": e.ReportAge,
		"links": fmt.Sprintf("%d learnt, %d unused", len(e.TransferScores), unused),
	}
}

// shards lists each shard of the index with the index node that owns it.
func (t *tool) shards(ctx context.Context) (view, error) {
	v := view{columns: []string{"shard", "owner", "site"}}
	fleet, err := t.fleet(ctx)
	if err != nil {
		return v, err
	}
	for i := range index.Shards {
		r := row{"shard": i, "owner": "nobody"}
		for _, n := range fleet.Nodes {
			if slices.Contains(n.SingletonRoles, index.ShardRole(i)) {
				r["owner"], r["site"] = n.Name, n.Zone
			}
		}
		v.rows = append(v.rows, r)
	}
	return v, nil
}

// rollout lists the engines by the weights that they run, and the weights that the plan
// requires.
func (t *tool) rollout(ctx context.Context) (view, error) {
	v := view{columns: []string{"weights", "wanted", "engines", "names"}}
	planned, err := t.plannedWeights(ctx)
	if err != nil {
		return v, err
	}
	engines, err := t.engines(ctx)
	if err != nil {
		return v, err
	}
	running := map[string][]string{planned: {}}
	for _, e := range engines.rows {
		if weights, ok := e["weights"].(string); ok && weights != "" && e["store"] != true {
			running[weights] = append(running[weights], fmt.Sprint(e["engine"]))
		}
	}
	for weights, names := range running {
		v.rows = append(v.rows, row{"weights": weights, "wanted": weights == planned, "engines": len(names), "names": strings.Join(names, " ")})
	}
	slices.SortFunc(v.rows, compareBy("weights"))
	return v, nil
}

func (t *tool) plannedWeights(ctx context.Context) (string, error) {
	var plan struct {
		Weights string `json:"weights"`
	}
	err := t.control().GetJSON(ctx, planPath, &plan)
	var status *controlclient.StatusError
	if errors.As(err, &status) && status.Status == http.StatusNotFound {
		return "", trace.NotFound("no plan is in force; put one with violetthread-ctl plan put")
	}
	return plan.Weights, err
}
