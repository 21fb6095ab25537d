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

// maxIdleConns is the maximum number of idle connections kept to each proxy.
const maxIdleConns = 256

type loadGenerator struct {
	settings Settings
	http     *http.Client

	mu         sync.Mutex // guards the fields below
	results    []Result
	generation uint64 // newest claim generation in any proxy's response
}

// Run sends new requests for Settings.Seconds, waits for the last responses, and returns the
// report with all violations found. It returns an error if an engine does not return its runs,
// unless Settings.Faults is set, or if the report can't be written.
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
		taskgroup.Sleep(group.Context(), source.interarrivalUS())
	}
	callers.Wait()
	return g.report()
}

// start sends a request in the background, and a second copy to another proxy if one was drawn.
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

// send sends a request and stores its result. If the proxy is draining or refuses the
// connection, it has not accepted the request, which is then sent to another proxy once.
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

// otherProxy picks a proxy other than the request's. The length of the request's id decides
// which, to spread the load.
func (g *loadGenerator) otherProxy(unsent Result) string {
	proxies := g.settings.Proxies
	step := 1 + len(unsent.ID)%(len(proxies)-1)
	return proxies[(slices.Index(proxies, unsent.Proxy)+step)%len(proxies)]
}

// observeGeneration records a claim generation from a proxy's response, and returns the newest
// one so far. New requests carry that; a second copy carries the generation of the first.
func (g *loadGenerator) observeGeneration(generation uint64) uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.generation = max(g.generation, generation)
	return g.generation
}

// fetchGeneration asks the proxies one after the other for the current generation, until one
// returns it.
func (g *loadGenerator) fetchGeneration() {
	for _, proxy := range g.settings.Proxies {
		if generation := g.currentGeneration(proxy); generation > 0 {
			g.observeGeneration(generation)
			return
		}
	}
}

// currentGeneration returns the generation that a proxy reports, or 0 if it reports none.
func (g *loadGenerator) currentGeneration(proxy string) uint64 {
	caller, err := g.client(proxy, "")
	if err != nil {
		return 0
	}
	response, err := caller.AskEra(context.Background())
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	var generation client.Era
	if json.NewDecoder(response.Body).Decode(&generation) != nil {
		return 0
	}
	return generation.Era
}

func (g *loadGenerator) client(proxy, key string) (*client.Client, error) {
	return client.NewClient("http://"+proxy, client.WithHTTPClient(g.http), client.WithKey(key))
}
