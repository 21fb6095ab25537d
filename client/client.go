// Package client is the Go client for callers. All of it but this file is
// generated from schema/caller.yaml by scripts/schema; docs/caller-api.md tells what
// the calls mean.
package client

import (
	"context"
	"net/http"
)

// WithKey sends a group's key with every call.
func WithKey(key string) ClientOption {
	return WithRequestEditorFn(func(_ context.Context, q *http.Request) error {
		q.Header.Set("Authorization", "Bearer "+key)
		return nil
	})
}

// Last reports whether no frame may follow: without such a one an answer is
// incomplete and counts as unknown.
func (f Frame) Last() bool { return f.Frame == "done" || f.Frame == "refused" || f.Frame == "unknown" }
