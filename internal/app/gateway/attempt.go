package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"

	"violetthread/attempt"
	"violetthread/dispatch"
	"violetthread/internal/callerapi"
	"violetthread/internal/clock"
	"violetthread/internal/engineapi"
)

const (
	maxFrameBytes     = 1 << 20 // of a line of an engine's response
	frameBufferBytes  = 4096
	maxRejectionBytes = 4096
)

// attemptError is the result of an attempt that did not complete.
type attemptError struct {
	state attempt.State // NotStarted or Interrupted
	cause string
}

func (e *attemptError) Error() string { return e.cause }

// Reasons why an engine's response was not forwarded to its end.
var (
	errEngineMalformed = &attemptError{attempt.Interrupted, callerapi.ReasonEngineMalformed}
	errEngineLost      = &attemptError{attempt.Interrupted, callerapi.ReasonEngineLost}
	errCut             = &attemptError{attempt.Interrupted, "cut"} // by the dispatcher, or the caller has disconnected
)

// runAttempt sends one attempt to an engine, forwards the response to the caller, and reports
// the progress to the dispatcher.
func (g *gateway) runAttempt(ctx context.Context, c *call, action dispatch.Action) {
	response, err := g.sendAttempt(ctx, action)
	if err == nil {
		defer response.Body.Close()
		err = g.streamRun(c, action, response.Body)
	}
	var failed *attemptError
	switch {
	case err == nil:
		g.recordProgress(action, attempt.Completed, "")
	case errors.As(err, &failed):
		g.recordProgress(action, failed.state, failed.cause)
	default:
		g.recordProgress(action, attempt.Interrupted, err.Error())
	}
}

func (g *gateway) recordProgress(action dispatch.Action, state attempt.State, cause string) {
	g.step(func(now int64) []dispatch.Action {
		return g.dispatcher.AttemptProgressed(now, action.Ref, action.AttemptID, state, cause)
	})
}

// sendAttempt sends an attempt and returns the engine's response if the engine accepted the
// run. Errors are of type *attemptError. An attempt certainly never started if nothing of it
// was sent, or if the engine says so.
func (g *gateway) sendAttempt(ctx context.Context, action dispatch.Action) (*http.Response, error) {
	body, err := json.Marshal(newRunRequest(action))
	if err != nil {
		return nil, &attemptError{attempt.NotStarted, "unencodable"}
	}
	var connected atomic.Bool // once set, bytes may have been sent
	request, err := newTracedRequest(ctx, http.MethodPost, "http://"+action.Grant.Addr+"/v1/run", body, &connected)
	if err != nil {
		return nil, &attemptError{attempt.NotStarted, "bad-address"}
	}
	request.Header.Set("Content-Type", "application/json")
	if clock.Now() > action.StartBefore {
		return nil, &attemptError{attempt.NotStarted, "woke-late"}
	}
	response, err := g.backends.Do(request)
	switch {
	case err != nil && !connected.Load():
		return nil, &attemptError{attempt.NotStarted, attempt.Unreachable}
	case err != nil:
		return nil, errEngineLost
	case response.StatusCode != http.StatusOK:
		defer response.Body.Close()
		return nil, rejectionOf(response)
	}
	return response, nil
}

// newRunRequest returns the request that an attempt sends to its engine.
func newRunRequest(action dispatch.Action) engineapi.RunRequest {
	request := engineapi.RunRequest{
		Attempt:      action.AttemptID,
		RequestID:    action.RequestID,
		Group:        action.Group,
		Kind:         action.Kind,
		Domain:       action.Domain,
		Weights:      action.Weights,
		FencingToken: action.Grant.FencingToken,
		NodeID:       action.Grant.NodeID,
		Prompt:       action.Prompt,
		Blocks:       engineapi.FormatKeys(action.PrefixKeys),
		DueUS:        action.Deadline - clock.Now(),
	}
	if action.TransferBlock >= 0 {
		request.Transfer = &engineapi.Transfer{Block: action.TransferBlock, From: action.TransferAddr, WaitUS: action.TransferWaitUS}
	}
	return request
}

// newTracedRequest returns a request that is sent at most once, and that sets connected before
// any of its bytes may have been sent. The body can't be rewound, which keeps net/http from
// sending the request again.
func newTracedRequest(ctx context.Context, method, url string, body []byte, connected *atomic.Bool) (*http.Request, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, method, url, io.NopCloser(bytes.NewReader(body)))
	if err != nil {
		return nil, err
	}
	request.ContentLength = int64(len(body))
	return request, nil
}

// rejectionOf returns the error of an attempt that the engine answered with a status other
// than 200.
func rejectionOf(response *http.Response) error {
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxRejectionBytes))
	var rejected engineapi.Rejection
	if json.Unmarshal(body, &rejected) == nil && rejected.Reason != "" {
		return &attemptError{attempt.NotStarted, rejected.Reason}
	}
	return &attemptError{attempt.Interrupted, "engine-error-" + strconv.Itoa(response.StatusCode)}
}

// streamRun forwards the pieces of a run to the caller. It returns nil only if the run was
// complete.
func (g *gateway) streamRun(c *call, action dispatch.Action, body io.Reader) error {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, frameBufferBytes), maxFrameBytes)
	began, pieces := false, 0
	for scanner.Scan() {
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		var frame engineapi.RunFrame
		if err := json.Unmarshal(scanner.Bytes(), &frame); err != nil {
			return errEngineMalformed
		}
		switch {
		case frame.Began && !began && frame.Piece == nil && !frame.Done:
			began = true
			g.recordProgress(action, attempt.Started, "")
		case !began || frame.Began:
			return errEngineMalformed
		case frame.Piece != nil && !frame.Done:
			if pieces == 0 && !g.allowFirstByte(action) {
				return errCut
			}
			pieces++
			if !c.writeFrame(callerapi.Frame{Frame: callerapi.FramePiece, Text: frame.Piece}, false) {
				return errCut
			}
		case frame.Done && frame.Piece == nil && frame.Pieces == pieces:
			return nil
		default:
			return errEngineMalformed
		}
	}
	return errEngineLost
}

// allowFirstByte reports whether the attempt is still the one whose output goes to the caller.
func (g *gateway) allowFirstByte(action dispatch.Action) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.AllowFirstByte(clock.Now(), action.Ref, action.AttemptID)
}
