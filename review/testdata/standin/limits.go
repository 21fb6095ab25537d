package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// How the case "limits" is played.
const (
	firstHeaderBytes  = 16384 // max-header-bytes of the protocol's page
	raisedHeaderBytes = 65536
	// longHeadParts make a head of some 30,000 bytes: the parts of a long prompt.
	longHeadParts = 1500
	limitTries    = 40 // at each frontend
	// configApply and contactWindow are bounds of the settings.
	configApply   = 2 * time.Second
	contactWindow = 3 * time.Second
)

// playLimits: the operator raises max-header-bytes. Clients then send requests whose heads are within
// the new limit. Without trouble the first configuration has that limit already.
func playLimits(ctx context.Context, f *fleet, trouble bool) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sent := &sentBodies{bodies: map[string][]byte{}}
	var engines []*engine
	for i := range 2 {
		e := &engine{record: f.record, id: fmt.Sprintf("i-%d", i+1), service: serviceName, version: 1, sent: sent}
		if err := e.start(ctx, "127.0.0.1"); err != nil {
			return err
		}
		engines = append(engines, e)
	}
	var err error
	if f.platform, err = startPlatform(ctx, "127.0.0.1", func() []*engine { return engines }); err != nil {
		return err
	}
	for range 3 {
		f.addControl()
	}
	proxies := []*node{f.addProxy(), f.addProxy()}
	if err := f.startAll(); err != nil {
		return err
	}
	first := config(1)
	setHeaderLimit(first, firstHeaderBytes)
	if !trouble {
		setHeaderLimit(first, raisedHeaderBytes)
	}
	if err := f.configure(ctx, first); err != nil {
		return err
	}
	time.Sleep(contactWindow)
	second := config(2)
	setHeaderLimit(second, raisedHeaderBytes)
	if trouble {
		body, err := json.Marshal(second)
		if err != nil {
			return err
		}
		status, text, err := f.operator(ctx, http.MethodPut, "/configuration", "1", body)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("the second configuration: %d %s %v", status, text, err)
		}
		f.record.note("configuration 2 acknowledged: max-header-bytes %d", raisedHeaderBytes)
	}
	time.Sleep(configApply + contactWindow)
	return f.sendLongHeads(ctx, proxies, sent)
}

func setHeaderLimit(config map[string]any, headerBytes int) {
	config["limits"].(map[string]any)["max-header-bytes"] = headerBytes
}

// sendLongHeads sends requests with short and with long heads, and judges the answers.
func (f *fleet) sendLongHeads(ctx context.Context, proxies []*node, sent *sentBodies) error {
	short, long, denied := 0, 0, 0
	for i := range limitTries * len(proxies) {
		n := proxies[i%len(proxies)]
		c := newClient(f.record, sent, n.frontendAddr())
		status, head, err := c.tryHead(ctx, 2)
		if err != nil || status != http.StatusOK {
			return fmt.Errorf("a request with a head of %d bytes at %s: %d %v", head, n.name, status, err)
		}
		short++
		status, head, err = c.tryHead(ctx, longHeadParts)
		f.record.note("%s answered %d to a request with a head of %d bytes, error %v", n.name, status, head, err)
		long++
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			denied++
		}
	}
	f.record.note("%d requests with short heads, %d with long ones, %d of these ended with a 4xx", short, long, denied)
	if allowed := 5 + (short+long)/500; denied > allowed {
		f.record.broke("DENIED: %d of %d requests were ended with a 4xx later than config-apply-ms after the configuration that allows them; %d may be", denied, short+long, allowed)
	}
	return nil
}

// tryHead sends a request that names so many parts of its prompt, and returns the status and the size
// of its head.
func (c *client) tryHead(ctx context.Context, parts int) (status, head int, err error) {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	id := newID()
	body := []byte("ticket")
	c.sent.put(id, body)
	q, err := c.request(ctx, id, "/ticket/short", body, 4*time.Second)
	if err != nil {
		return 0, 0, err
	}
	names := make([]string, 0, parts)
	for i := range parts - 1 {
		names = append(names, fmt.Sprintf("5c1e07a2%06x:16", i))
	}
	q.Header.Set("X-Violetthread-Prompt-Prefix", strings.Join(append(names, id[:8]+":16"), ","))
	q.Header.Set("X-Violetthread-Token-Counts", fmt.Sprintf("%d,80", 16*parts))
	for name, values := range q.Header {
		head += len(name) + len(values[0]) + 4
	}
	answer, err := c.http.Do(q)
	if err != nil {
		return 0, head, err
	}
	defer answer.Body.Close()
	return answer.StatusCode, head, nil
}
