package callers

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"violetthread/client"
	"violetthread/internal/clock"
	"violetthread/internal/daemon"
	"violetthread/internal/taskgroup"
)

// maxIdleConns is how many connections to a proxy are kept for reuse.
const maxIdleConns = 256

type loadGenerator struct {
	settings Settings
	http     *http.Client

	mu         sync.Mutex // guards what follows
	results    []Result
	generation uint64 // newest one that a proxy answered with
}

// Run plays a load, which takes Settings.Seconds and the time of the last answers, and judges
// it. It fails when an engine does not show its runs, unless Settings.Faults is set, or when
// the report can't be written.
func Run(settings Settings) (*Report, error) {
	g := &loadGenerator{settings: settings, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}}}
	group := taskgroup.New(context.Background(), daemon.NewLogger("violetthread-standin", "callers"))
	defer group.Stop()
	source := newRequestSource(settings)
	g.fetchGeneration()
	end := clock.Now() + settings.Seconds*1_000_000
	var callers sync.WaitGroup
	for clock.Now() < end {
		drawn := source.next()
		drawn.Generation = g.observeGeneration(0)
		g.start(group, &callers, drawn)
		taskgroup.Sleep(group.Context(), source.pauseUS())
	}
	callers.Wait()
	return g.report()
}

// start lets a caller send a request, and a second one resend it if that was drawn.
func (g *loadGenerator) start(group *taskgroup.Group, callers *sync.WaitGroup, drawn request) {
	callers.Add(1)
	group.Go("caller", func(ctx context.Context) {
		defer callers.Done()
		if drawn.resendTo != "" {
			g.startResend(group, callers, drawn)
		}
		g.send(ctx, drawn.Result, drawn.prompt)
	})
}

func (g *loadGenerator) startResend(group *taskgroup.Group, callers *sync.WaitGroup, drawn request) {
	drawn.Proxy, drawn.Resent, drawn.HangsUp = drawn.resendTo, true, false
	callers.Add(1)
	group.Go("caller.resend", func(ctx context.Context) {
		defer callers.Done()
		g.send(ctx, drawn.Result, drawn.prompt)
	})
}

// send sends a request, and once more to another proxy when the first one is draining or
// refuses connections: it took nothing in.
func (g *loadGenerator) send(ctx context.Context, unsent Result, prompt string) {
	began := clock.Now()
	result := unsent
	g.exchange(ctx, &result, prompt, began)
	unavailable := result.Status == http.StatusServiceUnavailable || result.Reason == reasonConnectionRefused
	if unavailable && len(g.settings.Proxies) > 1 {
		result = unsent
		result.Proxy, result.FailedOver = g.otherProxy(unsent), true
		g.exchange(ctx, &result, prompt, began)
	}
	result.TotalUS = clock.Now() - began
	g.mu.Lock()
	g.results = append(g.results, result)
	g.mu.Unlock()
}

// otherProxy picks another one than the request's, spread by the length of the request's id.
func (g *loadGenerator) otherProxy(unsent Result) string {
	proxies := g.settings.Proxies
	step := 1 + len(unsent.ID)%(len(proxies)-1)
	return proxies[(slices.Index(proxies, unsent.Proxy)+step)%len(proxies)]
}

// observeGeneration takes in a generation of claims that a proxy answered with, and returns
// the newest of all. New requests carry it; a resend carries that of the first sending.
func (g *loadGenerator) observeGeneration(generation uint64) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.generation = max(g.generation, generation)
	return g.generation
}

// fetchGeneration asks one proxy after the other for the generation, until one answers.
func (g *loadGenerator) fetchGeneration() {
	for _, proxy := range g.settings.Proxies {
		if generation := g.generationAt(proxy); generation > 0 {
			g.observeGeneration(generation)
			return
		}
	}
}

// generationAt is the generation that a proxy knows, 0 if it does not answer.
func (g *loadGenerator) generationAt(proxy string) uint64 {
	caller, err := g.client(proxy, "")
	if err != nil {
		return 0
	}
	response, err := caller.AskEra(context.Background())
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var answer client.Era
	if json.NewDecoder(response.Body).Decode(&answer) != nil {
		return 0
	}
	return answer.Era
}

func (g *loadGenerator) client(proxy, key string) (*client.Client, error) {
	return client.NewClient("http://"+proxy, client.WithHTTPClient(g.http), client.WithKey(key))
}
