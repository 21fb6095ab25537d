package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// Figures of the case limits.
const (
	smallHeaderBytes = 16384 // max-header-bytes of the first configuration; the figure of the pages' example
	largeHeaderBytes = 65536 // and of the second one
	prefixBytes      = 30000 // of the longest header that clients send
)

// headerLimits: the operator raises max-header-bytes. Long after the change has been acknowledged, clients send
// requests whose headers are inside the new limit and beyond the old one. Without trouble the first
// configuration has the higher limit.
func headerLimits(f *fleet, trouble bool) (outcome, error) {
	cores := []int{firstCore, firstCore + 1, firstCore + 2}
	proxies := []int{firstProxy, firstProxy + 1}
	for _, machine := range cores {
		if err := f.start("control", machine, true, cores...); err != nil {
			return outcome{}, err
		}
	}
	for i := range 2 {
		if _, err := f.startEngine(fmt.Sprintf("i-%d", i+1), firstEngine+i, 1, false); err != nil {
			return outcome{}, err
		}
	}
	withLimit := func(version, limit int) map[string]any {
		c := configuration(version, "idempotent", "/a/")
		c["limits"] = map[string]any{"max-header-bytes": limit, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}
		return c
	}
	first := smallHeaderBytes
	if !trouble {
		first = largeHeaderBytes
	}
	f.note("configuration 1 has max-header-bytes %d", first)
	if err := f.order(cores, http.MethodPut, "/configuration", "0", withLimit(1, first), 20*time.Second); err != nil {
		return outcome{}, err
	}
	for _, machine := range proxies {
		if err := f.start("proxy", machine, true, cores...); err != nil {
			return outcome{}, err
		}
	}
	if err := f.awaitReady(20*time.Second, proxies...); err != nil {
		return outcome{}, err
	}
	time.Sleep(4 * time.Second) // until all are in touch
	c := &clients{fleet: f, path: "/a/x", proxies: proxies, header: map[string]string{}}
	c.run(20, 2*time.Second)
	f.note("requests with short headers: answers by status %v", c.statuses())
	if trouble {
		f.note("configuration 2 has max-header-bytes %d", largeHeaderBytes)
		if err := f.order(cores, http.MethodPut, "/configuration", "1", withLimit(2, largeHeaderBytes), 10*time.Second); err != nil {
			return outcome{}, err
		}
	}
	time.Sleep(6 * time.Second) // config-apply-ms is 2 s
	var parts []string
	for length := 0; length < prefixBytes; length += 14 {
		parts = append(parts, fmt.Sprintf("%08x:%04d", len(parts)+1, 16))
	}
	long := &clients{fleet: f, path: "/a/x", proxies: proxies, header: map[string]string{"X-Violetthread-Prompt-Prefix": strings.Join(parts, ",")}}
	long.run(20, 5*time.Second)
	f.note("requests with a header of %d bytes: answers by status %v", len(strings.Join(parts, ",")), long.statuses())
	denied, all := 0, len(c.sent)+len(long.sent)
	for _, r := range append(c.sent, long.sent...) {
		f.note("%s sent at %.3f to proxy %d: %d", r.id, r.at.Seconds(), r.proxy, r.status)
		if r.status >= 300 && r.status < 500 && r.status != 408 && r.status != 421 && r.status != 429 {
			denied++
		}
	}
	allowed := 5 + float64(all)/500
	return outcome{float64(denied) > allowed, fmt.Sprintf("%d of %d proper requests were denied with a 3xx or 4xx; the bound is 5 + one in 500 = %.1f", denied, all, allowed)}, nil
}
