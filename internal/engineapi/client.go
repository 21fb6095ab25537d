package engineapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/gravitational/trace"
)

const (
	maxResponseBytes    = 16 << 20
	idleConnTimeout     = 10 * time.Second
	maxIdleConnsPerHost = 2
)

// Client sends requests with short responses to engines, the store and the platform.
type Client struct{ http *http.Client }

// NewClient returns a client with its own pool of connections.
func NewClient() *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout}
	return &Client{http: &http.Client{Transport: transport}}
}

// Get sends a GET request and decodes the JSON response into out, within timeoutUS
// microseconds. The error wraps that of the connection, if there is one.
func (c *Client) Get(ctx context.Context, addr, path string, timeoutUS int64, out any) error {
	return c.do(ctx, timeoutUS, exchange{method: http.MethodGet, addr: addr, path: path, out: out})
}

// Post sends a POST request with a JSON body and decodes the JSON response into out, which may
// be nil, within timeoutUS microseconds.
func (c *Client) Post(ctx context.Context, addr, path string, timeoutUS int64, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return c.do(ctx, timeoutUS, exchange{method: http.MethodPost, addr: addr, path: path, body: body, out: out})
}

// exchange is a request and the destination of its response.
type exchange struct {
	method, addr, path string
	body               []byte
	out                any // nil if the response body is ignored
}

func (c *Client) do(ctx context.Context, timeoutUS int64, e exchange) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(timeoutUS)*time.Microsecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, e.method, "http://"+e.addr+e.path, bytes.NewReader(e.body))
	if err != nil {
		return trace.BadParameter("%s is not a valid address: %v; check the platform's list of engines", e.addr, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return trace.Wrap(err, "no response from %s%s", e.addr, e.path)
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return trace.Wrap(err, "response of %s%s was cut off", e.addr, e.path)
	}
	if response.StatusCode/100 != 2 {
		return trace.BadParameter("%s%s responded with status %d: %.200s", e.addr, e.path, response.StatusCode, responseBody)
	}
	if e.out == nil {
		return nil
	}
	if err := json.Unmarshal(responseBody, e.out); err != nil {
		return trace.BadParameter("invalid JSON in the response of %s%s: %v", e.addr, e.path, err)
	}
	return nil
}
