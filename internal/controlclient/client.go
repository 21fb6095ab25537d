// Package controlclient asks control nodes over their HTTP API (docs/operating.md), for the
// programs that operators run. A read goes to one node after another until one answers. A
// change goes to the next node only if the one before refused the connection, so that no
// change is sent twice: of one that got no answer nobody knows whether it is in force.
//
// A Client may be used by several goroutines.
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

// ErrNoAddress means that there is no control node to ask.
var ErrNoAddress = errors.New("no control node to ask; give --at the IP:port of a control node's HTTP side")

// ErrOutcomeUnknown means that a change was sent and nothing is known of it.
var ErrOutcomeUnknown = errors.New("no answer; the change may or may not be in force: read the plan before sending it again")

// ReasonNoPlan is the StatusError.Reason while no plan is in force.
const ReasonNoPlan = "no-plan"

// StatusError is an answer other than 200.
type StatusError struct {
	Status   int            // HTTP status
	Reason   string         // short name of the cause; empty if the answer names none
	Remedy   string         // what to do
	Revision uint64         // of the plan in force, 0 if the answer names none
	Findings []plan.Finding // what is wrong with a plan that was sent
	Body     string         // the answer as it came
}

// Error lists the reason, the remedy and every finding, a line each.
func (e *StatusError) Error() string {
	if e.Reason == "" {
		return fmt.Sprintf("the control node answered: %.300s", e.Body)
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

// Response is the answer to a request that succeeded.
type Response struct {
	Body []byte
	ETag string // without quotes, empty if there is none
}

// Client asks the control nodes of one fleet.
type Client struct {
	addresses []string
	http      *http.Client
}

// New makes a client for control nodes at these IP:port, tried in this order. timeout
// bounds one request to one of them.
func New(addresses []string, timeout time.Duration) *Client {
	return &Client{addresses: addresses, http: &http.Client{Timeout: timeout}}
}

// Get reads a path from the first control node that answers. An answer other than 200 is a
// *StatusError.
func (c *Client) Get(ctx context.Context, path string) (Response, error) {
	return c.send(ctx, request{method: http.MethodGet, path: path})
}

// GetJSON reads a path from the first control node that answers, into out.
func (c *Client) GetJSON(ctx context.Context, path string, out any) error {
	response, err := c.Get(ctx, path)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(response.Body, out); err != nil {
		return trace.BadParameter("%s sent no proper JSON: %v; try another control node with --at", path, err)
	}
	return nil
}

// Change sends a change once. With ifRevision it is made only if what it changes has that
// revision. ErrOutcomeUnknown means that it may have been made.
func (c *Client) Change(ctx context.Context, method, path string, body []byte, ifRevision string) (Response, error) {
	return c.send(ctx, request{method: method, path: path, body: body, ifRevision: ifRevision})
}

type request struct {
	method, path string
	body         []byte
	ifRevision   string
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
	return Response{}, trace.ConnectionProblem(last, "no control node can be reached; check --at and that they run")
}

// unreachableError means that the request had no effect at this address, so that the next
// one may be asked.
type unreachableError struct{ err error }

func (e *unreachableError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *unreachableError) Unwrap() error { return e.err }

func isUnreachable(err error) bool {
	var unreachable *unreachableError
	return errors.As(err, &unreachable)
}

func (c *Client) sendTo(ctx context.Context, address string, r request) (Response, error) {
	q, err := http.NewRequestWithContext(ctx, r.method, "http://"+address+r.path, bytes.NewReader(r.body))
	if err != nil {
		return Response{}, trace.BadParameter("%s is no IP:port; mend --at", address)
	}
	if r.ifRevision != "" {
		q.Header.Set("If-Match", `"`+r.ifRevision+`"`)
	}
	answer, err := c.http.Do(q)
	if err != nil {
		if r.method == http.MethodGet || errors.Is(err, syscall.ECONNREFUSED) {
			return Response{}, &unreachableError{err}
		}
		return Response{}, trace.Wrap(ErrOutcomeUnknown, err.Error())
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return Response{}, trace.ConnectionProblem(err, "the answer broke off; read the plan before sending a change again")
	}
	if answer.StatusCode != http.StatusOK {
		return Response{}, newStatusError(answer.StatusCode, body)
	}
	return Response{Body: body, ETag: strings.Trim(answer.Header.Get("ETag"), `"`)}, nil
}

func newStatusError(status int, body []byte) *StatusError {
	e := &StatusError{Status: status, Body: string(body)}
	var answer struct {
		Revision uint64         `json:"rev"`
		Reason   string         `json:"reason"`
		Remedy   string         `json:"remedy"`
		Findings []plan.Finding `json:"findings"`
	}
	if json.Unmarshal(body, &answer) == nil {
		e.Revision, e.Reason, e.Remedy, e.Findings = answer.Revision, answer.Reason, answer.Remedy, answer.Findings
	}
	return e
}
