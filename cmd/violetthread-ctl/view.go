package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"

	"github.com/integrii/flaggy"

	"violetthread/internal/app/control"
)

const maxPage = 8 << 20 // bytes read of one node's page

// row is one line of a view, by the names of its columns. Programs get it as it is.
type row map[string]any

// view is a table: what is shown for people, and its rows for programs.
type view struct {
	columns []string
	rows    []row
}

// viewCommands declares the views.
func (t *tool) viewCommands() []*flaggy.Subcommand {
	var asJSON bool
	declare := func(name, about string, read func(context.Context) (view, error)) *flaggy.Subcommand {
		c := t.add(name, about, func(ctx context.Context) error {
			v, err := read(ctx)
			if err != nil {
				return err
			}
			return v.write(t.out, asJSON)
		})
		c.Bool(&asJSON, "j", "json", "print JSON for programs")
		return c
	}
	return []*flaggy.Subcommand{
		declare("engines", "list engines: owner, fencing token, weights, capacity, what was learnt of transfers", t.engines),
		declare("shards", "list which index node holds each shard", t.shards),
		declare("proxies", "list proxies: how fresh their plan is, and their counts", t.proxies),
		declare("rollout", "tell how far the weights that the plan names have come", t.rollout),
	}
}

// fleet reads the members.
func (t *tool) fleet(ctx context.Context) (fleet control.FleetStatus, err error) {
	return fleet, t.control().GetJSON(ctx, fleetPath, &fleet)
}

// page reads a page of one node.
func (t *tool) page(addr, path string) ([]byte, error) {
	client := &http.Client{Timeout: requestTimeout}
	answer, err := client.Get("http://" + addr + path)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	return io.ReadAll(io.LimitReader(answer.Body, maxPage))
}

// write prints a table for people or one JSON array for programs.
func (v view) write(out io.Writer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		return e.Encode(v.rows)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(v.columns, "\t"))
	for _, r := range v.rows {
		fmt.Fprintln(w, strings.Join(r.cells(v.columns), "\t"))
	}
	return w.Flush()
}

// cells is the row as text; a problem stands behind the columns.
func (r row) cells(columns []string) []string {
	var cells []string
	for _, c := range columns {
		if r[c] == nil {
			cells = append(cells, "-")
		} else {
			cells = append(cells, fmt.Sprint(r[c]))
		}
	}
	if problem := r["problem"]; problem != nil {
		cells = append(cells, fmt.Sprint(problem))
	}
	return cells
}

// by orders rows by the text of a column.
func by(column string) func(a, b row) int {
	return func(a, b row) int { return strings.Compare(fmt.Sprint(a[column]), fmt.Sprint(b[column])) }
}
