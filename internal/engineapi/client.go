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

// Client asks engines, the store and the platform for short answers.
type Client struct{ http *http.Client }

const maxAnswer = 16 << 20

// NewClient makes a client.
func NewClient() *Client {
	return &Client{&http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, IdleConnTimeout: 10 * time.Second}}}
}

// Get reads a JSON answer into out within us microseconds.
func (c *Client) Get(ctx context.Context, addr, path string, us int64, out any) error {
	return c.do(ctx, http.MethodGet, addr, path, us, nil, out)
}

// Post sends a JSON body; out may be nil.
func (c *Client) Post(ctx context.Context, addr, path string, us int64, in, out any) error {
	b, err := json.Marshal(in)
	if err != nil {
		return err
	}
	return c.do(ctx, http.MethodPost, addr, path, us, b, out)
}

func (c *Client) do(ctx context.Context, method, addr, path string, us int64, body []byte, out any) error {
	ctx, stop := context.WithTimeout(ctx, time.Duration(us)*time.Microsecond)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return trace.BadParameter("%s is no address: %v; check the platform's list", addr, err)
	}
	q.Header.Set("Content-Type", "application/json")
	r, err := c.http.Do(q)
	if err != nil {
		return trace.Wrap(err, "%s%s did not answer", addr, path)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(io.LimitReader(r.Body, maxAnswer))
	if err != nil {
		return trace.Wrap(err, "%s%s broke off", addr, path)
	}
	if r.StatusCode/100 != 2 {
		return trace.BadParameter("%s%s answered %d: %.200s", addr, path, r.StatusCode, b)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(b, out); err != nil {
		return trace.BadParameter("%s%s sent no proper JSON: %v", addr, path, err)
	}
	return nil
}
