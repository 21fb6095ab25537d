package callers

import (
	"fmt"
	"math/rand"

	"github.com/samber/lo"
)

const (
	blockBytes     = 1024 // bytes of prompt in a block
	promptAlphabet = "abcdefghijklmnopqrstuvwxyz     "
)

// request is one drawn request.
type request struct {
	Result          // its state before the request is sent
	prompt   string // starts with the group's prefix if the kind shares it
	resendTo string // proxy that is sent a second copy; empty for none
}

// requestSource draws requests at random. The order of its draws must not change: the same
// settings, seed included, give the same requests.
type requestSource struct {
	settings Settings
	scenario scenario
	random   *rand.Rand
	prefixes map[string]string // prompt prefix by group
	drawn    int               // number of requests drawn so far
}

func newRequestSource(settings Settings) *requestSource {
	s := &requestSource{
		settings: settings,
		scenario: scenarios[settings.Scenario],
		random:   rand.New(rand.NewSource(settings.Seed)),
		prefixes: map[string]string{},
	}
	for _, group := range s.scenario.groups {
		s.prefixes[group.name] = s.text(group.sharedBlocks * blockBytes)
	}
	return s
}

// next draws a request.
func (s *requestSource) next() request {
	group := pickWeighted(s.random, s.scenario.groups, func(g group) int { return g.weight })
	kind := pickWeighted(s.random, s.scenario.kinds, func(k kind) int { return k.weight })
	proxy := s.proxy()
	if s.settings.Skew && group.name == s.scenario.groups[0].name {
		proxy = s.settings.Proxies[0]
	}
	prompt := s.text(kind.ownBytes)
	if kind.sharesPrefix {
		prompt = s.prefixes[group.name] + prompt
	}
	drawn := request{
		Result: Result{
			Group:    group.name,
			Kind:     kind.name,
			ID:       fmt.Sprintf("%s-%d-%d", s.settings.Scenario, s.settings.Seed, s.drawn),
			Proxy:    proxy,
			OnceOnly: kind.onceOnly,
			DueUS:    kind.dueUS,
			HangsUp:  s.chance(s.settings.HangUpPermille),
		},
		prompt: prompt,
	}
	s.drawn++
	resent := kind.onceOnly && s.chance(s.settings.ResendPermille)
	if other := s.proxy(); resent {
		drawn.resendTo = other
	}
	return drawn
}

// interarrivalUS draws the time to the next request, as in a Poisson process.
func (s *requestSource) interarrivalUS() int64 {
	return int64(s.random.ExpFloat64() * 1e6 / float64(s.settings.Rate))
}

func (s *requestSource) proxy() string {
	return s.settings.Proxies[s.random.Intn(len(s.settings.Proxies))]
}

func (s *requestSource) chance(permille int64) bool { return s.random.Int63n(1000) < permille }

func (s *requestSource) text(bytes int) string {
	text := make([]byte, bytes)
	for i := range text {
		text[i] = promptAlphabet[s.random.Intn(len(promptAlphabet))]
	}
	return string(text)
}

func pickWeighted[T any](random *rand.Rand, values []T, weight func(T) int) T {
	n := random.Intn(lo.SumBy(values, weight))
	for _, value := range values {
		if n -= weight(value); n < 0 {
			return value
		}
	}
	return values[0]
}
