// Package controlclient is the client of the control nodes' HTTP API (docs/operating.md), for the
// programs that operators run. A read is sent to one node after another until one responds. A
// change is sent to the next node only if the previous one refused the connection, so that no
// change is sent twice: without a response, it is unknown whether a change took effect.
//
// A Client is safe for concurrent use.
package controlclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"violetthread/plan"
)

// ErrNoAddress means that no address of a control node was given.
var ErrNoAddress = errors.New("no address of a control node; set --at to the IP:port of a control node's HTTP API")

// ErrOutcomeUnknown means that a change was sent and its outcome is unknown.
var ErrOutcomeUnknown = errors.New("no response; the change may or may not be in force: read the plan before sending it again")

// ReasonNoPlan is the StatusError.Reason while no plan is in force.
const ReasonNoPlan = "no-plan"

// StatusError is a response with a status other than 200.
type StatusError struct {
	Status   int            // HTTP status
	Reason   string         // short code of the cause; empty if the response has none
	Remedy   string         // what to do about it
	Revision uint64         // of the current plan; 0 if the response has none
	Findings []plan.Finding // what is wrong with the plan that was sent
	Body     string         // the unparsed response body
}

// Error returns the reason and the remedy on one line, and each finding on a line of its own.
func (e *StatusError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("the control node responded: %.300s", e.Body)
	}
	lines := []string{e.Reason + ": " + e.Remedy}
	if e.Revision > 0 {
		lines[0] += fmt.Sprintf(" (the plan has revision %d)", e.Revision)
	}
	for _, f := range e.Findings {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Response is the response to a request that succeeded.
type Response struct {
	Body []byte
	ETag string // without quotes; empty if there is none
}

// Client sends requests to the control nodes of one fleet.
type Client struct {
	addresses []string
	http      *http.Client
}

// New creates a client for the control nodes at these addresses (IP:port), which are tried in this
// order. timeout limits a single request to one of them.
func New(addresses []string, timeout time.Duration) *Client {
	return &Client{addresses: addresses, http: &http.Client{Timeout: timeout}}
}

// Get reads a path from the first control node that responds. A response with a status other than
// 200 is returned as a *StatusError.
func (c *Client) Get(ctx context.Context, path string) (Response, error) {
	return c.send(ctx, request{method: http.MethodGet, path: path})
}

// GetJSON reads a path from the first control node that responds, and unmarshals it into out.
func (c *Client) GetJSON(ctx context.Context, path string, out any) error {
	response, err := c.Get(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return trace.BadParameter("%s returned invalid JSON: %v; try another control node with --at", path, err)
	}
	return nil
}

// Change sends a change, and does not send it again once a node has accepted the connection. If
// expectedRevision is not empty, the change is made only if the resource still has that revision.
// ErrOutcomeUnknown means that it may have been made.
func (c *Client) Change(ctx context.Context, method, path string, body []byte, expectedRevision string) (Response, error) {
	return c.send(ctx, request{method: method, path: path, body: body, expectedRevision: expectedRevision})
}

type request struct {
	method, path     string
	body             []byte
	expectedRevision string
}

func (c *Client) send(ctx context.Context, r request) (Response, error) {
	if len(c.addresses) == 0 {
		return Response{}, ErrNoAddress
	}
	var last error
	for _, address := range c.addresses {
		response, err := c.sendTo(ctx, address, r)
		if err == nil || !isUnreachable(err) {
			return response, err
		}
		last = err
	}
	return Response{}, trace.ConnectionProblem(last, "no control node can be reached; check --at and that the control nodes are running")
}

// unreachableError means that the request had no effect at this address, so that it may be sent to
// the next one.
type unreachableError struct{ err error }

func (e *unreachableError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.err }

func isUnreachable(err error) bool {
	var unreachable *unreachableError
	return errors.As(err, &unreachable)
}

func (c *Client) sendTo(ctx context.Context, address string, r request) (Response, error) {
	httpRequest, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return Response{}, trace.BadParameter("%s is not a valid IP:port; correct --at", address)
	}
	if r.expectedRevision != "" {
		httpRequest.Header.Set("If-Match", `"`+r.expectedRevision+`"`)
	}
	response, err := c.http.Do(httpRequest)
	if err != nil {
		if r.method == http.MethodGet || errors.Is(err, syscall.ECONNREFUSED) {
			return Response{}, &unreachableError{err}
		}
		return Response{}, trace.Wrap(ErrOutcomeUnknown, err.Error())
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return Response{}, trace.ConnectionProblem(err, "the response was cut off; read the plan before sending a change again")
	}
	if response.StatusCode != http.StatusOK {
		return Response{}, newStatusError(response.StatusCode, body)
	}
	return Response{Body: body, ETag: strings.Trim(response.Header.Get("ETag"), `"`)}, nil
}

func newStatusError(status int, body []byte) *StatusError {
	e := &StatusError{Status: status, Body: string(body)}
	var response struct {
		Revision uint64         `json:"rev"`
		Reason   string         `json:"reason"`
		Remedy   string         `json:"remedy"`
		Findings []plan.Finding `json:"findings"`
	}
	if json.Unmarshal(body, &response) == nil {
		e.Revision, e.Reason, e.Remedy, e.Findings = response.Revision, response.Reason, response.Remedy, response.Findings
	}
	return e
}
