package proxy

import (
	"context"

	"violetthread/internal/clock"
)

const (
	revocationSlackUS = 400_000 // subtracted from the revocation bound, for the time that a request itself takes
	minConfigAgeUS    = 500_000 // lower bound, however short the revocation bound is
	unboundedUS       = 1 << 49 // less than unknownAgeUS, so that an unknown configuration is always too old
)

// maxConfigAgeUS returns the age beyond which a configuration must not be used: a key in it may
// have been revoked, and a revocation must be in force everywhere within the revocation bound.
func (s *server) maxConfigAgeUS() int64 {
	if !s.settings.Bounds.RevocationGlobal {
		return unboundedUS
	}
	return max(s.settings.Bounds.RevocationUS-revocationSlackUS, minConfigAgeUS)
}

// updateReadiness updates the readiness of this proxy, starts listening for callers once it is
// ready, and updates its share of the retry allowance.
func (s *server) updateReadiness(context.Context) {
	v := s.view.Load()
	now := clock.Now()
	if v.table == nil || v.age(now) > s.maxConfigAgeUS() {
		s.daemon.SetReady("the configuration is missing or too old")
		return
	}
	if !s.enginesSeen.Load() {
		s.daemon.SetReady("no engine is known yet")
		return
	}
	if err := s.listenOnce(); err != nil {
		s.daemon.SetReady(err.Error())
		return
	}
	s.daemon.SetReady("")
	s.setRetryAllowance(v.proxies)
}

// listenOnce opens the port for callers, unless it is already open or the proxy is stopping.
func (s *server) listenOnce() error {
	if s.httpServer.Load() != nil || s.daemon.Stopping() {
		return nil
	}
	return s.listen()
}

// setRetryAllowance sets this proxy's share of the retry allowance, which this many proxies divide
// among them.
func (s *server) setRetryAllowance(proxies int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryAllowance = float64(s.settings.Bounds.RetryAllowance) * retryShare / float64(proxies)
}
