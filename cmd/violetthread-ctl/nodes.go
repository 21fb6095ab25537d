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
	readyTimeout  = time.Second           // for one request
	readyInterval = 50 * time.Millisecond // between two requests
)

// fleetCommand declares the command that prints the fleet's status.
func (t *tool) fleetCommand() *flaggy.Subcommand {
	return t.add("fleet", "print leaders, terms and members", func(ctx context.Context) error { return t.print(ctx, fleetPath) })
}

// waitCommand declares the command that waits until nodes are ready.
func (t *tool) waitCommand() *flaggy.Subcommand {
	var nodes string
	seconds := 60
	c := t.add("wait", "wait until all given nodes are ready", func(ctx context.Context) error {
		return t.waitReady(ctx, strings.Split(nodes, ","), time.Duration(seconds)*time.Second)
	})
	c.AddPositionalValue(&nodes, "NODES", 1, true, "IP:port of the nodes' HTTP sides, separated by commas")
	c.Int(&seconds, "t", "seconds", "timeout in seconds")
	return c
}

func (t *tool) waitReady(ctx context.Context, nodes []string, limit time.Duration) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	client := &http.Client{Timeout: readyTimeout}
	for _, node := range nodes {
		for {
			reason := notReadyReason(client, node)
			if reason == "" {
				break
			}
			if !sleep(ctx, readyInterval) {
				return trace.LimitExceeded("%s is not ready: %s; look at its log", node, reason)
			}
		}
	}
	fmt.Fprintln(t.out, "ready")
	return nil
}

// notReadyReason returns the reason why a node is not ready, "" if it is ready.
func notReadyReason(client *http.Client, node string) string {
	response, err := client.Get("http://" + node + readyPath)
	if err != nil {
		return "it does not answer"
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusOK {
		return ""
	}
	reason, _ := io.ReadAll(response.Body)
	return strings.TrimSpace(string(reason))
}

// sleep waits for d or until ctx ends, and returns false if ctx has ended.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
