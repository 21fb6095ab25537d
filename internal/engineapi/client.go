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
	maxAnswerBytes      = 16 << 20
	idleConnTimeout     = 10 * time.Second
	maxIdleConnsPerHost = 2
)

// Client asks engines, the store and the platform for short answers.
type Client struct{ http *http.Client }

// NewClient makes a client.
func NewClient() *Client {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerHost, IdleConnTimeout: idleConnTimeout}
	return &Client{http: &http.Client{Transport: transport}}
}

// Get reads a JSON answer into out, within timeoutUS microseconds. Of the errors that wrap
// another, that of a connection is among the causes.
func (c *Client) Get(ctx context.Context, addr, path string, timeoutUS int64, out any) error {
	return c.do(ctx, timeoutUS, exchange{method: http.MethodGet, addr: addr, path: path, out: out})
}

// Post sends a JSON body and reads a JSON answer into out, which may be nil, within
// timeoutUS microseconds.
func (c *Client) Post(ctx context.Context, addr, path string, timeoutUS int64, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return c.do(ctx, timeoutUS, exchange{method: http.MethodPost, addr: addr, path: path, body: body, out: out})
}

// exchange is a question and where its answer goes.
type exchange struct {
	method, addr, path string
	body               []byte
	out                any // nil if the answer does not matter
}

func (c *Client) do(ctx context.Context, timeoutUS int64, e exchange) error {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(timeoutUS)*time.Microsecond)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, e.method, "http://"+e.addr+e.path, bytes.NewReader(e.body))
	if err != nil {
		return trace.BadParameter("%s is no address: %v; check the platform's list", e.addr, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return trace.Wrap(err, "%s%s did not answer", e.addr, e.path)
	}
	defer response.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return trace.Wrap(err, "%s%s broke off", e.addr, e.path)
	}
	if response.StatusCode/100 != 2 {
		return trace.BadParameter("%s%s answered %d: %.200s", e.addr, e.path, response.StatusCode, answer)
	}
	if e.out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, e.out); err != nil {
		return trace.BadParameter("%s%s sent no proper JSON: %v", e.addr, e.path, err)
	}
	return nil
}
