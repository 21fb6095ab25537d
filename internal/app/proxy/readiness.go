package proxy

import (
	"context"

	"violetthread/internal/clock"
)

const (
	revocationSlackUS = 400_000 // kept back of the bound on revoked keys, for a request's own way
	minConfigAgeUS    = 500_000 // however short that bound is
	unboundedUS       = 1 << 49
)

// maxConfigAgeUS is the age beyond which a configuration may not be acted on: a key that it
// has may have been revoked, and that must be in force everywhere by then.
func (s *server) maxConfigAgeUS() int64 {
	if !s.settings.Bounds.RevocationGlobal {
		return unboundedUS
	}
	return max(s.settings.Bounds.RevocationUS-revocationSlackUS, minConfigAgeUS)
}

// updateReadiness says whether this proxy is ready, listens for callers once it is, and takes
// its share of the retry allowance.
func (s *server) updateReadiness(context.Context) {
	v := s.view.Load()
	now := clock.Now()
	if v.table == nil || v.age(now) > s.maxConfigAgeUS() {
		s.daemon.SetReady("the configuration is not known to be in force")
		return
	}
	if !s.seenEngines.Load() {
		s.daemon.SetReady("no engine is known yet")
		return
	}
	if s.httpServer.Load() == nil && !s.daemon.Stopping() {
		if err := s.listen(v.table.Limits); err != nil {
			s.daemon.SetReady(err.Error())
			return
		}
	}
	s.daemon.SetReady("")
	s.mu.Lock()
	s.retryAllowance = float64(s.settings.Bounds.RetryAllowance) * retryShare / float64(v.proxies)
	s.mu.Unlock()
}
