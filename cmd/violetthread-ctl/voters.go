package main

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"
)

const voterSetPath = "/v1/roster"

// voterChange is one change of the voter set: a voter is removed, added or replaced.
type voterChange struct {
	Old  string `json:"old"`  // name of the voter to remove
	Addr string `json:"addr"` // wire IP:port of the empty control node to add
	Step uint64 `json:"step"` // of the voter set to which the change applies
}

// voterCommands declares the command that changes the voter set, also under its deprecated
// name.
func (t *tool) voterCommands() []*flaggy.Subcommand {
	var change voterChange
	var step string
	run := func(ctx context.Context) error { return t.changeVoters(ctx, change, step) }
	const description = "change which control nodes vote, one step at a time"
	commands := []*flaggy.Subcommand{t.add("voters", description, run), t.addDeprecated("roster", "voters", run)}
	for _, c := range commands {
		c.String(&change.Old, "o", "old", "name of the voter to remove")
		c.String(&change.Addr, "n", "new", "wire IP:port of an empty control node to add")
		c.String(&step, "r", "if-step", "the voter set's step, as violetthread-ctl fleet shows it")
	}
	return commands
}

func (t *tool) changeVoters(ctx context.Context, change voterChange, step string) error {
	var err error
	change.Step, err = strconv.ParseUint(step, 10, 64)
	if err != nil || change.Old == "" && change.Addr == "" {
		return trace.BadParameter("give --if-step the step that violetthread-ctl fleet shows, and --old, --new or both")
	}
	body, err := json.Marshal(change)
	if err != nil {
		return err
	}
	response, err := t.control().Change(ctx, http.MethodPost, voterSetPath, body, "")
	if err != nil {
		return err
	}
	_, _ = t.out.Write(response.Body)
	return nil
}
