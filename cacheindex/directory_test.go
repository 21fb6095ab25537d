package cacheindex

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
)

// TestDirectory runs the commands of testdata/directory against a directory: engines e1 and e2
// are in zone north, e3 is in zone east, and s is the store. The output of each command lists
// the updates that it adds to the log of each zone.
func TestDirectory(t *testing.T) {
	const incarnation = 5
	ids := map[string]uint64{"e1": 1, "e2": 2, "e3": 3, "s": 9}
	names := map[uint64]string{}
	for name, id := range ids {
		names[id] = name
	}
	zones := []string{"north", "east", "west"}
	var d *Directory
	next := map[string]uint64{}
	start := func() {
		d = NewDirectory(incarnation, 100)
		d.SetLocation(1, Location{Zone: "north"})
		d.SetLocation(2, Location{Zone: "north"})
		d.SetLocation(3, Location{Zone: "east"})
		d.SetLocation(9, Location{Zone: "north", Store: true})
		for _, zone := range zones {
			next[zone] = d.ZoneLog(zone).Since(0, 0, 10).Next
			d.PrefetchLog(zone)
		}
	}
	datadriven.RunTest(t, "testdata/directory", func(t *testing.T, command *datadriven.TestData) string {
		switch command.Cmd {
		case "new":
			start()
		case "load":
			d.Apply(Update{testKey(1), ids[command.CmdArgs[0].Key], OpAdd})
		case "drop":
			d.Apply(Update{testKey(1), ids[command.CmdArgs[0].Key], OpRemove})
		default:
			command.Fatalf(t, "unknown command %s", command.Cmd)
		}
		var out []string
		for _, zone := range zones {
			batch := d.ZoneLog(zone).Since(incarnation, next[zone], 10)
			next[zone] = batch.Next
			for _, update := range batch.Updates {
				op := map[UpdateOp]string{OpAdd: "load", OpRemove: "drop"}[update.Op]
				out = append(out, fmt.Sprintf("%s: %s %s", zone, op, names[update.Node]))
			}
		}
		if len(out) == 0 {
			return "nothing\n"
		}
		return strings.Join(out, "\n") + "\n"
	})
}
