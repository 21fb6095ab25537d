package probe

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"violetthread/cacheindex"
	"violetthread/internal/callerapi"
	"violetthread/internal/clock"
	"violetthread/internal/engineapi"
	"violetthread/internal/standin/callers"
)

const (
	reportTimeoutUS  = 2_000_000
	directDueUS      = 5_000_000
	maxIdleConns     = 4     // kept to a proxy or engine
	firstPieceSuffix = `#0"` // of the line with the first piece of a stand-in engine
	probeDomain      = "commons"
)

// LatencyProbe sends the same request directly to an engine, through a proxy, and through a
// proxy under a once-only kind, which needs a claim.
type LatencyProbe struct {
	// Proxy is the gateway that requests go through.
	Proxy string `json:"proxy" validate:"required,ipport" help:"IP:port of a gateway"`
	// Engine is asked directly, under fencing token 1: it rejects that once a fleet has used it.
	Engine string `json:"engine" validate:"required,ipport" help:"IP:port of an engine that is on nobody's list, named spare"`
	// Group is a group of the example plans.
	Group string `json:"group" validate:"required" help:"group whose example key is used"`
	// Kind needs no claim.
	Kind string `json:"kind" validate:"required" help:"a kind that is not once-only"`
	// OnceOnlyKind needs a claim.
	OnceOnlyKind string `json:"once" validate:"required" help:"a once-only kind with as many pieces"`
	// Pairs is how often each of the three is sent.
	Pairs int `json:"pairs" validate:"min=5,max=100000" help:"pairs to send"`
}

// LatencyDefaults are the defaults.
func LatencyDefaults() LatencyProbe {
	return LatencyProbe{Group: "dealing-desk", Kind: "plain", OnceOnlyKind: "instruction-tag", Pairs: 200}
}

// route is a way to an engine.
type route int

const (
	routeDirect route = iota
	routeProxy
	routeProxyOnceOnly
	routeCount
)

// Run sends the requests, each route first as often as the others, and prints medians.
func (p LatencyProbe) Run(out io.Writer) error {
	s, err := p.newSession()
	if err != nil {
		return err
	}
	var times [routeCount][]int64
	var byProxy, byClaim []int64
	for i := range p.Pairs {
		var us [routeCount]int64
		for offset := range routeCount {
			route := (offset + route(i)) % routeCount
			if us[route], err = s.measure(route, i); err != nil {
				return err
			}
			times[route] = append(times[route], us[route])
		}
		byProxy = append(byProxy, us[routeProxy]-us[routeDirect])
		byClaim = append(byClaim, us[routeProxyOnceOnly]-us[routeProxy])
	}
	fmt.Fprintf(out, "first piece, medians of %d: direct %d us, by proxy %d us, once-only by proxy %d us\n",
		p.Pairs, median(times[routeDirect]), median(times[routeProxy]), median(times[routeProxyOnceOnly]))
	fmt.Fprintf(out, "paired differences, medians: proxy adds %d us, a claim adds %d us\n", median(byProxy), median(byClaim))
	return nil
}

// latencySession is one run of a LatencyProbe.
type latencySession struct {
	probe   LatencyProbe
	http    *http.Client
	nodeID  uint64 // of the engine
	weights string // of the engine
	started int64  // makes request ids different from those of other runs
}

func (p LatencyProbe) newSession() (*latencySession, error) {
	var report engineapi.Report
	if err := engineapi.NewClient().Get(context.Background(), p.Engine, "/v1/report?inc=0&after=0", reportTimeoutUS, &report); err != nil {
		return nil, err
	}
	return &latencySession{
		probe:   p,
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
		nodeID:  cacheindex.NodeID(report.Name, report.Incarnation),
		weights: report.Weights,
		started: clock.Now(),
	}, nil
}

// measure sends request number i over a route and returns the time to its first piece.
func (s *latencySession) measure(over route, i int) (us int64, err error) {
	prompt := fmt.Sprintf("probe %d", i)
	if over == routeDirect {
		return s.firstPiece("http://"+s.probe.Engine+"/v1/run", "", engineapi.RunRequest{
			Attempt:      fmt.Sprint("probe", s.started, i),
			RequestID:    fmt.Sprint("p", i),
			Group:        s.probe.Group,
			Kind:         s.probe.OnceOnlyKind,
			Domain:       probeDomain,
			Weights:      s.weights,
			FencingToken: 1,
			NodeID:       s.nodeID,
			Prompt:       prompt,
			DueUS:        directDueUS,
		})
	}
	kind := s.probe.Kind
	if over == routeProxyOnceOnly {
		kind = s.probe.OnceOnlyKind
	}
	return s.firstPiece("http://"+s.probe.Proxy+"/v1/tickets", callers.CallerKey(s.probe.Group), callerapi.Request{
		Kind:   kind,
		ID:     fmt.Sprintf("%s-%d-%d", kind, s.started, i),
		Prompt: prompt,
	})
}

// firstPiece sends a body, reads the whole answer, and returns the time to its first piece.
func (s *latencySession) firstPiece(url, key string, body any) (us int64, err error) {
	text, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	began := clock.Now()
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	response, err := s.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		answer, _ := io.ReadAll(response.Body)
		return 0, trace.BadParameter("%s answered %d: %.200s", url, response.StatusCode, answer)
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if us == 0 && strings.Contains(lines.Text(), firstPieceSuffix) {
			us = clock.Now() - began
		}
	}
	if us == 0 {
		return 0, trace.BadParameter("%s sent no piece", url)
	}
	return us, lines.Err()
}

// median of at least one value.
func median(values []int64) int64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
