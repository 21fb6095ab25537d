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

const maxPageBytes = 8 << 20 // of one node's response

// row is one line of a view, by column name. The JSON output contains it unchanged, including
// values that are not columns.
type row map[string]any

// view is a table. columns are the columns of the text output.
type view struct {
	columns []string
	rows    []row
}

// viewCommands declares the commands that print views.
func (t *tool) viewCommands() []*flaggy.Subcommand {
	var asJSON bool
	declare := func(name, description string, read func(context.Context) (view, error)) *flaggy.Subcommand {
		c := t.add(name, description, func(ctx context.Context) error {
			v, err := read(ctx)
			if err != nil {
				return err
			}
			return v.write(t.out, asJSON)
		})
		c.Bool(&asJSON, "j", "json", "print JSON")
		return c
	}
	return []*flaggy.Subcommand{
		declare("engines", "list engines: owner, fencing token, weights, capacity, transfer scores", t.engines),
		declare("shards", "list the shards and the index nodes that own them", t.shards),
		declare("proxies", "list proxies: age of their plan, and their counters", t.proxies),
		declare("rollout", "show how many engines run the weights that the plan requires", t.rollout),
	}
}

// fleet reads the fleet's status from a control node.
func (t *tool) fleet(ctx context.Context) (fleet control.FleetStatus, err error) {
	return fleet, t.control().GetJSON(ctx, fleetPath, &fleet)
}

// page reads an HTTP page of one node.
func (t *tool) page(addr, path string) ([]byte, error) {
	client := &http.Client{Timeout: requestTimeout}
	response, err := client.Get("http://" + addr + path)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	return io.ReadAll(io.LimitReader(response.Body, maxPageBytes))
}

// write prints the view as a text table or as one JSON array.
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

// cells returns the row as text; a problem follows the columns.
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

// compareBy returns a function that compares rows by the text of a column.
func compareBy(column string) func(a, b row) int {
	return func(a, b row) int { return strings.Compare(fmt.Sprint(a[column]), fmt.Sprint(b[column])) }
}
