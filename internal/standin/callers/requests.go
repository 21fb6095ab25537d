package callers

import (
	"fmt"
	"math/rand"

	"github.com/samber/lo"
)

const (
	blockBytes    = 1024 // of prompt
	promptLetters = "abcdefghijklmnopqrstuvwxyz     "
)

// request is one drawn request.
type request struct {
	Result          // as it is before the request is sent
	prompt   string // with the group's prefix, if the kind shares it
	resendTo string // a proxy that is sent the request as well; empty for none
}

// requestSource draws requests. The order of its draws is part of what a seed means: the
// same settings give the same requests.
type requestSource struct {
	settings Settings
	scenario scenario
	random   *rand.Rand
	prefixes map[string]string // of prompts, by group
	drawn    int
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

// pauseUS draws the time between two requests of a Poisson process.
func (s *requestSource) pauseUS() int64 {
	return int64(s.random.ExpFloat64() * 1e6 / float64(s.settings.Rate))
}

func (s *requestSource) proxy() string {
	return s.settings.Proxies[s.random.Intn(len(s.settings.Proxies))]
}

func (s *requestSource) chance(permille int64) bool { return s.random.Int63n(1000) < permille }

func (s *requestSource) text(bytes int) string {
	text := make([]byte, bytes)
	for i := range text {
		text[i] = promptLetters[s.random.Intn(len(promptLetters))]
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
