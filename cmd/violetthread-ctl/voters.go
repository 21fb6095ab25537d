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

// voterChange is one change of the voter set: a control node goes, comes, or both.
type voterChange struct {
	Old  string `json:"old"`  // name of the voter that goes
	Addr string `json:"addr"` // wire IP:port of the empty control node that comes
	Step uint64 `json:"step"` // of the voter set that is changed
}

// voterCommands declares the change of the voter set, and its former name.
func (t *tool) voterCommands() []*flaggy.Subcommand {
	var change voterChange
	var step string
	run := func(ctx context.Context) error { return t.changeVoters(ctx, change, step) }
	const about = "change which control nodes vote, one step at a time"
	commands := []*flaggy.Subcommand{t.add("voters", about, run), t.addFormer("roster", "voters", run)}
	for _, c := range commands {
		c.String(&change.Old, "o", "old", "name of the voter that goes")
		c.String(&change.Addr, "n", "new", "wire IP:port of an empty control node that comes")
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
