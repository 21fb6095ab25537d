// Package client is the Go client of the product's own interface, for callers. Except for this
// file, it is generated from schema/caller.yaml by scripts/schema. docs/caller-api.md
// describes the calls.
//
// A Client is safe for concurrent use. Its methods return the errors of net/http; a call that
// is not accepted is answered with a frame that has a reason and a remedy.
package client

import (
	"context"
	"net/http"
)

// Names of the frames that end a response.
const (
	FrameDone    = "done"    // the request ran once, to its end
	FrameRefused = "refused" // the request never ran and never will
	FrameUnknown = "unknown" // the request may have run
)

// WithKey makes the client send a group's key with every call.
func WithKey(key string) ClientOption {
	return WithRequestEditorFn(func(_ context.Context, request *http.Request) error {
		request.Header.Set("Authorization", "Bearer "+key)
		return nil
	})
}

// Last reports whether the frame ends its response. A response without such a frame is
// incomplete, and its outcome counts as unknown.
func (f Frame) Last() bool {
	return f.Frame == FrameDone || f.Frame == FrameRefused || f.Frame == FrameUnknown
}
