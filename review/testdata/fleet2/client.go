package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// request is a client's request and what became of it.
type request struct {
	at     time.Duration
	id     string
	proxy  int
	status int // 0: no answer
}

// lastRequest numbers the requests of all clients.
var lastRequest atomic.Int64

// clients sends requests at a fixed rate to proxies by turns, each on a connection of its own. A request for
// which no proxy takes a connection counts as sent.
type clients struct {
	fleet   *fleet
	path    string
	header  map[string]string
	proxies []int
	mu      sync.Mutex
	sent    []*request
	running sync.WaitGroup
}

func (c *clients) run(rate float64, duration time.Duration) {
	interval := time.Duration(float64(time.Second) / rate)
	begin := time.Now()
	for i := 0; time.Since(begin) < duration; i++ {
		time.Sleep(time.Until(begin.Add(time.Duration(i) * interval)))
		r := &request{at: c.fleet.since(), id: fmt.Sprintf("%08x%08x", processID, lastRequest.Add(1)), proxy: c.proxies[i%len(c.proxies)]}
		c.mu.Lock()
		c.sent = append(c.sent, r)
		c.mu.Unlock()
		c.running.Add(1)
		go func() {
			defer c.running.Done()
			status := c.send(r)
			c.mu.Lock()
			r.status = status
			c.mu.Unlock()
		}()
	}
	c.running.Wait()
}

func (c *clients) send(r *request) int {
	message, err := http.NewRequest(http.MethodPost, "http://"+c.fleet.address(r.proxy, c.fleet.frontendPort)+c.path, bytes.NewReader([]byte("body of "+r.id)))
	if err != nil {
		return 0
	}
	message.Host = "a.example"
	message.Header.Set("X-Violetthread-Attempt-Id", r.id)
	message.Header.Set("X-Violetthread-Deadline-Remaining", "4000")
	for name, value := range c.header {
		message.Header.Set(name, value)
	}
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(message)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// statuses counts the answers.
func (c *clients) statuses() map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[int]int{}
	for _, r := range c.sent {
		counts[r.status]++
	}
	return counts
}
