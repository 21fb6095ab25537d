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

// planCommand declares the commands that read and change the plan.
func (t *tool) planCommand() *flaggy.Subcommand {
	var file, revision string
	change := func(method string) func(context.Context) error {
		return func(ctx context.Context) error { return t.changePlan(ctx, method, file, revision) }
	}
	get := t.add("get", "print the plan in force byte for byte; its revision goes to stderr", t.getPlan)
	put := t.add("put", "replace the plan with the one in FILE", change(http.MethodPut))
	patch := t.add("patch", "apply a merge patch (RFC 7396) to the plan in force", change(http.MethodPatch))
	check := t.add("check", "validate a plan file without contacting a fleet", func(context.Context) error { return t.checkPlan(file) })
	for _, c := range []*flaggy.Subcommand{put, patch, check} {
		c.AddPositionalValue(&file, "FILE", 1, true, "the plan or patch as JSON; /dev/stdin for standard input")
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

// print writes the unchanged response of a control node, and its revision to stderr.
func (t *tool) print(ctx context.Context, path string) error {
	response, err := t.control().Get(ctx, path)
	if err != nil {
		return err
	}
	_, _ = t.out.Write(response.Body)
	if response.ETag != "" {
		fmt.Fprintln(t.stderr, "rev", response.ETag)
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
	var changed struct {
		Revision uint64 `json:"rev"`
	}
	if err := json.Unmarshal(response.Body, &changed); err != nil {
		return &controlclient.StatusError{Status: http.StatusOK, Body: string(response.Body)}
	}
	fmt.Fprintln(t.out, "rev", changed.Revision)
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

// digestCommand declares the command that prints the digest of a key.
func (t *tool) digestCommand() *flaggy.Subcommand {
	return t.add("digest", "print the digest by which a plan identifies a key; the key is read from standard input", func(context.Context) error {
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
