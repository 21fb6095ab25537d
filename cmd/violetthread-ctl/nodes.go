package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/integrii/flaggy"
)

const (
	fleetPath     = "/v1/fleet"
	readyPath     = "/readyz"
	readyTimeout  = time.Second           // of one question
	readyInterval = 50 * time.Millisecond // between two questions
)

// fleetCommand declares what prints the members.
func (t *tool) fleetCommand() *flaggy.Subcommand {
	return t.add("fleet", "print leaders, terms and members", func(ctx context.Context) error { return t.print(ctx, fleetPath) })
}

// waitCommand declares what waits until nodes are ready.
func (t *tool) waitCommand() *flaggy.Subcommand {
	var nodes string
	seconds := 60
	c := t.add("wait", "wait until every node given is ready", func(ctx context.Context) error {
		return t.waitReady(ctx, strings.Split(nodes, ","), time.Duration(seconds)*time.Second)
	})
	c.AddPositionalValue(&nodes, "NODES", 1, true, "IP:port of HTTP sides, with commas")
	c.Int(&seconds, "t", "seconds", "give up after this long")
	return c
}

func (t *tool) waitReady(ctx context.Context, nodes []string, limit time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	client := &http.Client{Timeout: readyTimeout}
	for _, node := range nodes {
		for {
			reason := notReady(client, node)
			if reason == "" {
				break
			}
			if !pause(ctx, readyInterval) {
				return trace.LimitExceeded("%s is not ready: %s; look at its log", node, reason)
			}
		}
	}
	fmt.Fprintln(t.out, "ready")
	return nil
}

// notReady is why a node is not ready, empty if it is.
func notReady(client *http.Client, node string) string {
	answer, err := client.Get("http://" + node + readyPath)
	if err != nil {
		return "it does not answer"
	}
	defer answer.Body.Close()
	if answer.StatusCode == http.StatusOK {
		return ""
	}
	reason, _ := io.ReadAll(answer.Body)
	return strings.TrimSpace(string(reason))
}

// pause waits, and reports false once ctx has ended.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
