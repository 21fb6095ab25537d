// Package client is the Go client of the product's own interface, for callers. All of it
// but this file is generated from schema/caller.yaml by scripts/schema; docs/caller-api.md
// says what the calls mean.
//
// A Client may be used from any goroutine. Errors of its methods are those of net/http; an
// answer that was not taken in is a frame with a reason and a remedy.
package client

import (
	"context"
	"net/http"
)

// Names of the frames that end an answer.
const (
	FrameDone    = "done"    // ran once, to its end
	FrameRefused = "refused" // never ran and never will
	FrameUnknown = "unknown" // it may have run
)

// WithKey sends a group's key with every call.
func WithKey(key string) ClientOption {
	return WithRequestEditorFn(func(_ context.Context, request *http.Request) error {
		request.Header.Set("Authorization", "Bearer "+key)
		return nil
	})
}

// Last reports whether no frame may follow. An answer without such a frame is incomplete
// and counts as unknown.
func (f Frame) Last() bool {
	return f.Frame == FrameDone || f.Frame == FrameRefused || f.Frame == FrameUnknown
}
