package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"violetthread/index"
	"violetthread/internal/app/control"
	"violetthread/recording"
)

// row is one line of a view: the same for people and for programs.
type row map[string]any

// fleet asks a registrar for the members.
func (t *tool) fleet() (f control.FleetStatus, err error) {
	r, b, err := t.do(http.MethodGet, "/v1/fleet", nil)
	if err != nil {
		return f, err
	}
	if r.StatusCode != http.StatusOK || json.Unmarshal(b, &f) != nil {
		return f, trace.BadParameter("the registrar answered %d; try another with --at", r.StatusCode)
	}
	return f, nil
}

// ask gets a member's page; one that does not answer is a row that says so.
func (t *tool) ask(addr, path string) ([]byte, error) {
	r, err := t.http.Get("http://" + addr + path)
	if err != nil {
		return nil, err
	}
	defer r.Body.Close()
	return io.ReadAll(io.LimitReader(r.Body, 8<<20))
}

// engines lists every engine as its owner sees it.
func (t *tool) engines() (cols []string, rows []row, err error) {
	cols = []string{"engine", "site", "owner", "epoch", "weights", "room", "running", "queue", "kept", "leaving", "report_age_us", "links"}
	f, err := t.fleet()
	if err != nil {
		return nil, nil, err
	}
	for _, n := range f.Nodes {
		if n.Role != "custodian" {
			continue
		}
		b, err := t.ask(n.HTTP, "/v1/engines")
		var es []index.EngineStatus
		if err == nil {
			err = json.Unmarshal(b, &es)
		}
		if err != nil {
			rows = append(rows, row{"engine": "?", "owner": n.Name, "problem": "does not answer: " + err.Error()})
		}
		for _, e := range es {
			bad := 0
			for _, w := range e.TransferScores {
				if w < 450 {
					bad++
				}
			}
			rows = append(rows, row{"engine": e.Name, "site": e.Zone, "owner": n.Name, "epoch": e.FencingToken, "weights": e.Weights, "room": e.Capacity, "running": e.Running,
				"queue": e.QueueLength, "kept": e.Holdings, "leaving": e.Leaving, "store": e.Store, "report_age_us": e.ReportAge, "links": fmt.Sprintf("%d learnt, %d unused", len(e.TransferScores), bad)})
		}
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(fmt.Sprint(a["engine"]), fmt.Sprint(b["engine"])) })
	return cols, rows, nil
}

// shards lists who holds the shards of the index.
func (t *tool) shards() (cols []string, rows []row, err error) {
	f, err := t.fleet()
	if err != nil {
		return nil, nil, err
	}
	for i := 0; i < index.Shards; i++ {
		r := row{"shard": i, "owner": "nobody"}
		for _, n := range f.Nodes {
			if slices.Contains(n.SingletonRoles, index.ShardRole(i)) {
				r["owner"], r["site"] = n.Name, n.Zone
			}
		}
		rows = append(rows, r)
	}
	return []string{"shard", "owner", "site"}, rows, nil
}

// proxies lists how fresh each proxy is and what it does.
func (t *tool) proxies() (cols []string, rows []row, err error) {
	cols = []string{"proxy", "site", "ready", "plan_rev", "plan_age_us", "running", "hints", "tickets_total", "refused_total", "unknown_total", "retries_total"}
	f, err := t.fleet()
	if err != nil {
		return nil, nil, err
	}
	for _, n := range f.Nodes {
		if n.Role != "remisier" {
			continue
		}
		r := row{"proxy": n.Name, "site": n.Zone, "ready": n.Ready}
		b, err := t.ask(n.HTTP, "/metrics")
		if err != nil {
			r["problem"] = "does not answer: " + err.Error()
		}
		for _, l := range strings.Split(string(b), "\n") {
			k, v, ok := strings.Cut(strings.TrimPrefix(l, "violetthread_"), " ")
			if ok && slices.Contains(cols, k) && r[k] == nil {
				r[k] = v
			}
		}
		rows = append(rows, r)
	}
	return cols, rows, nil
}

// rollout tells how far the weights that the plan names have come.
func (t *tool) rollout() (cols []string, rows []row, err error) {
	r, b, err := t.do(http.MethodGet, "/v1/plan", nil)
	if err != nil {
		return nil, nil, err
	}
	var p struct {
		Weights string `json:"weights"`
	}
	if r.StatusCode != http.StatusOK || json.Unmarshal(b, &p) != nil {
		return nil, nil, trace.NotFound("no plan is in force; put one with dealer plan put")
	}
	_, es, err := t.engines()
	if err != nil {
		return nil, nil, err
	}
	on := map[string][]string{}
	for _, e := range es {
		if w, ok := e["weights"].(string); ok && w != "" && e["store"] != true {
			on[w] = append(on[w], fmt.Sprint(e["engine"]))
		}
	}
	if on[p.Weights] == nil {
		on[p.Weights] = []string{}
	}
	for w, l := range on {
		rows = append(rows, row{"weights": w, "wanted": w == p.Weights, "engines": len(l), "names": strings.Join(l, " ")})
	}
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(fmt.Sprint(a["weights"]), fmt.Sprint(b["weights"])) })
	return []string{"weights", "wanted", "engines", "names"}, rows, nil
}

// show prints a view: a table for people, one JSON array for programs.
func (t *tool) show(cols []string, rows []row, err error) error {
	if err != nil {
		return err
	}
	if t.json {
		e := json.NewEncoder(os.Stdout)
		e.SetIndent("", "  ")
		return e.Encode(rows)
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(cols, "\t"))
	for _, r := range rows {
		var l []string
		for _, c := range cols {
			if r[c] == nil {
				l = append(l, "-")
			} else {
				l = append(l, fmt.Sprint(r[c]))
			}
		}
		if p := r["problem"]; p != nil {
			l = append(l, fmt.Sprint(p))
		}
		fmt.Fprintln(w, strings.Join(l, "\t"))
	}
	return w.Flush()
}

// tape prints a tape's events and decisions for people, and goes on with what is
// appended while follow is given.
func (t *tool) tape() error {
	f, err := os.Open(t.file)
	if err != nil {
		return trace.Wrap(err, "can't read the tape; give a file that a daemon wrote with --tape")
	}
	defer f.Close()
	var first int64
	for b, n := bufio.NewReaderSize(f, 1<<20), 0; ; {
		x, err := b.ReadBytes('\n')
		if err == io.EOF {
			if !t.follow {
				return nil
			}
			if _, err := f.Seek(-int64(len(x)), io.SeekCurrent); err != nil {
				return trace.Wrap(err)
			}
			b.Reset(f)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		if err != nil {
			return trace.Wrap(err)
		}
		if n++; n == 1 {
			fmt.Print(string(x))
			continue
		}
		var l recording.Event
		if err := json.Unmarshal(x, &l); err != nil {
			return trace.BadParameter("line %d is broken: %v; the tape was changed or its disk is failing", n, err)
		}
		if first == 0 {
			first = l.TimeUS
		}
		if s := string(l.Output); s != "" && s != "{}" && s != "null" || t.all {
			fmt.Printf("%10.3fs %-9s %.200s\n%22s%.400s\n", float64(l.TimeUS-first)/1e6, l.Type, l.Input, "-> ", s)
		}
	}
}
