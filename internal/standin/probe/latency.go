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
	directDeadlineUS = 5_000_000
	maxIdleConns     = 4     // per proxy or engine
	firstPieceSuffix = `#0"` // in the line with the first piece of a simulated engine
	probeDomain      = "commons"
)

// LatencyProbe measures the time to the first piece of the same request sent directly to an
// engine, through a proxy, and through a proxy with a once-only kind, which needs a claim.
type LatencyProbe struct {
	// Proxy is the gateway that forwards the requests.
	Proxy string `json:"proxy" validate:"required,ipport" help:"IP:port of a gateway"`
	// Engine is sent requests directly, with fencing token 1. An engine that a fleet has used
	// rejects that token, so it must not be on the platform's list.
	Engine string `json:"engine" validate:"required,ipport" help:"IP:port of an engine that is on nobody's list, named spare"`
	// Group is a group of the example plans; its key is derived from its name.
	Group string `json:"group" validate:"required" help:"group whose example key is used"`
	// Kind is a kind that needs no claim.
	Kind string `json:"kind" validate:"required" help:"a kind that is not once-only"`
	// OnceOnlyKind is a kind that needs a claim.
	OnceOnlyKind string `json:"once" validate:"required" help:"a once-only kind with as many pieces"`
	// Pairs is the number of times that each of the three requests is sent.
	Pairs int `json:"pairs" validate:"min=5,max=100000" help:"pairs to send"`
}

// LatencyDefaults returns the default settings.
func LatencyDefaults() LatencyProbe {
	return LatencyProbe{Group: "dealing-desk", Kind: "plain", OnceOnlyKind: "instruction-tag", Pairs: 200}
}

// path is how a request reaches an engine.
type path int

const (
	pathDirect path = iota
	pathProxy
	pathProxyOnceOnly
	pathCount
)

// Run sends the requests and prints medians. Which path comes first rotates, so that the order
// favors none.
func (p LatencyProbe) Run(out io.Writer) error {
	s, err := p.newSession()
	if err != nil {
		return err
	}
	var times [pathCount][]int64
	var proxyOverhead, claimOverhead []int64
	for i := range p.Pairs {
		var us [pathCount]int64
		for offset := range pathCount {
			measured := (offset + path(i)) % pathCount
			if us[measured], err = s.measure(measured, i); err != nil {
				return err
			}
			times[measured] = append(times[measured], us[measured])
		}
		proxyOverhead = append(proxyOverhead, us[pathProxy]-us[pathDirect])
		claimOverhead = append(claimOverhead, us[pathProxyOnceOnly]-us[pathProxy])
	}
	fmt.Fprintf(out, "first piece, medians of %d: direct %d us, by proxy %d us, once-only by proxy %d us\n",
		p.Pairs, median(times[pathDirect]), median(times[pathProxy]), median(times[pathProxyOnceOnly]))
	fmt.Fprintf(out, "paired differences, medians: proxy adds %d us, a claim adds %d us\n", median(proxyOverhead), median(claimOverhead))
	return nil
}

// latencySession is one run of a LatencyProbe.
type latencySession struct {
	probe   LatencyProbe
	http    *http.Client
	nodeID  uint64 // of the engine
	weights string // of the engine
	started int64  // part of the request ids, so that they differ from those of other sessions
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

// measure sends request number i over a path and returns the time to its first piece.
func (s *latencySession) measure(over path, i int) (us int64, err error) {
	prompt := fmt.Sprintf("probe %d", i)
	if over == pathDirect {
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
			DueUS:        directDeadlineUS,
		})
	}
	kind := s.probe.Kind
	if over == pathProxyOnceOnly {
		kind = s.probe.OnceOnlyKind
	}
	return s.firstPiece("http://"+s.probe.Proxy+"/v1/tickets", callers.CallerKey(s.probe.Group), callerapi.Request{
		Kind:   kind,
		ID:     fmt.Sprintf("%s-%d-%d", kind, s.started, i),
		Prompt: prompt,
	})
}

// firstPiece sends a request with this body, reads the response to its end, and returns the
// time to its first piece.
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
		body, _ := io.ReadAll(response.Body)
		return 0, trace.BadParameter("%s answered %d: %.200s", url, response.StatusCode, body)
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

// median returns the median, of an even number of values the upper one. There must be at least
// one value.
func median(values []int64) int64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}
