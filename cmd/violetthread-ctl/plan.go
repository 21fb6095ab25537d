package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"

	"violetthread/internal/controlclient"
	"violetthread/plan"
)

const planPath = "/v1/plan"

// planCommand declares what reads and changes the plan.
func (t *tool) planCommand() *flaggy.Subcommand {
	var file, revision string
	change := func(method string) func(context.Context) error {
		return func(ctx context.Context) error { return t.changePlan(ctx, method, file, revision) }
	}
	get := t.add("get", "print the plan in force, to the byte; its revision goes to stderr", t.getPlan)
	put := t.add("put", "put a whole plan in force", change(http.MethodPut))
	patch := t.add("patch", "merge a partial plan (RFC 7396) into the one in force", change(http.MethodPatch))
	check := t.add("check", "list what is wrong with a plan file, without a fleet", func(context.Context) error { return t.checkPlan(file) })
	for _, c := range []*flaggy.Subcommand{put, patch, check} {
		c.AddPositionalValue(&file, "FILE", 1, true, "the plan as JSON; /dev/stdin for standard input")
	}
	for _, c := range []*flaggy.Subcommand{put, patch} {
		c.String(&revision, "r", "if-rev", "change only if the plan has this revision")
	}
	group := t.add("plan", "read or change the plan", nil)
	for _, c := range []*flaggy.Subcommand{get, put, patch, check} {
		group.AttachSubcommand(c, 1)
	}
	return group
}

func (t *tool) getPlan(ctx context.Context) error { return t.print(ctx, planPath) }

// print writes an answer of a control node as it came, and its revision beside it.
func (t *tool) print(ctx context.Context, path string) error {
	response, err := t.control().Get(ctx, path)
	if err != nil {
		return err
	}
	_, _ = t.out.Write(response.Body)
	if response.ETag != "" {
		fmt.Fprintln(t.notes, "rev", response.ETag)
	}
	return nil
}

func (t *tool) changePlan(ctx context.Context, method, file, revision string) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	response, err := t.control().Change(ctx, method, planPath, text, revision)
	if err != nil {
		return err
	}
	var answer struct {
		Revision uint64 `json:"rev"`
	}
	if err := json.Unmarshal(response.Body, &answer); err != nil {
		return &controlclient.StatusError{Status: http.StatusOK, Body: string(response.Body)}
	}
	fmt.Fprintln(t.out, "rev", answer.Revision)
	return nil
}

func (t *tool) checkPlan(file string) error {
	text, err := readFile(file)
	if err != nil {
		return err
	}
	_, findings := plan.Parse(text)
	for _, f := range findings {
		fmt.Fprintln(t.out, f)
	}
	if len(findings) > 0 {
		t.exitCode = 1
		return nil
	}
	fmt.Fprintln(t.out, "no findings")
	return nil
}

// digestCommand declares what names a key as plans do.
func (t *tool) digestCommand() *flaggy.Subcommand {
	return t.add("digest", "print how a plan names a key; the key is read from standard input", func(context.Context) error {
		key, _ := bufio.NewReader(os.Stdin).ReadString('\n')
		fmt.Fprintln(t.out, plan.KeyDigest(strings.TrimRight(key, "\r\n")))
		return nil
	})
}

func readFile(path string) ([]byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.BadParameter("%v; give an existing file, or /dev/stdin", err)
	}
	return text, nil
}
