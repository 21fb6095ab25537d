package placement

// Load is the load of an engine from requests in flight, with its recent failures.
type Load struct {
	Requests      int
	PrefillTokens int64 // prompt tokens whose prefill has not finished, weighted by prefillWork
	MemoryTokens  int64 // tokens in the engine's memory for the requests

	// Failures is the number of recent failed attempts; older ones and those before a success
	// count less (see failureScore).
	Failures float64
}

// engineState is the load and the failures of an engine as known to this proxy.
type engineState struct {
	own          Load  // from requests of this proxy
	prefillSince int64 // estimated time at which the prefill of the current prompt started
	others       Load  // from requests of the other proxies, as last reported
	ejectedUntil int64 // the engine is not selected before this time
	failures     failureScore
	waiting      int   // length of the engine's queue, as it last reported
	reportedAt   int64 // time of that report, 0 for none
}

// maxEjectionDoublings bounds the growth of ejections to sixteen times their base duration.
const maxEjectionDoublings = 4

// queuedTokens estimates the prefill backlog of an engine in tokens: what it was sent, less what
// it is expected to have processed since the prefill of the current prompt started. At least the
// fraction minLeft remains, since the progress is only an estimate.
func (s *engineState) queuedTokens(now int64, usPerToken, minLeft float64) float64 {
	sent := float64(s.own.PrefillTokens + s.others.PrefillTokens)
	return max(sent-float64(now-s.prefillSince)/usPerToken, sent*minLeft)
}

// setOtherLoad records the load that the other proxies have at an engine as of at.
func (s *engineState) setOtherLoad(at int64, load Load) {
	wasIdle := s.own.PrefillTokens+s.others.PrefillTokens == 0
	if wasIdle || load.PrefillTokens < s.others.PrefillTokens { // a prefill ended, and the next one starts
		s.prefillSince = max(s.prefillSince, at)
	}
	s.others = load
}

// SentAt returns the time passed to RequestSent, in monotonic microseconds.
func (c *Choice) SentAt() int64 { return c.sentAt }

// RequestSent adds a request sent to the chosen engine to the engine's load.
func (p *Picker) RequestSent(now int64, c *Choice) {
	c.sentAt = now
	for _, key := range c.NewBlocks {
		p.BlockPrefillStarted(now, key, EngineHolderID(c.Engine.ID))
	}
	if s := p.states[c.Engine.ID]; s != nil {
		if s.own.PrefillTokens+s.others.PrefillTokens == 0 {
			s.prefillSince = now
		}
		s.own.Requests++
		s.own.PrefillTokens += int64(c.PrefillWork)
		s.own.MemoryTokens += int64(c.MemoryTokens)
	}
}

// ResponseStarted records the first content of a response: the prefill has finished, and the
// attempt counts as a success of the engine. The prefill model learns from the time it took.
func (p *Picker) ResponseStarted(now int64, c *Choice) {
	s := p.states[c.Engine.ID]
	if s == nil {
		return
	}
	s.own.PrefillTokens = max(0, s.own.PrefillTokens-int64(c.PrefillWork))
	s.prefillSince = now
	s.failures.recordSuccess(now)
	if c.MemoryTokens > 0 && p.Policy.Uses(LearnedSpeed) {
		us := float64(now - c.sentAt - c.transferUS)
		p.prefillModelFor(c.Engine.Pool).learn(c.queuedTokens+float64(c.PrefillWork), us, p.Cost.PrefillTokensPerMS)
	}
}

// AttemptEnded removes an attempt from the engine's load; started reports whether
// ResponseStarted was called for it.
func (p *Picker) AttemptEnded(c *Choice, started bool) {
	s := p.states[c.Engine.ID]
	if s == nil {
		return
	}
	s.own.Requests = max(0, s.own.Requests-1)
	s.own.MemoryTokens = max(0, s.own.MemoryTokens-int64(c.MemoryTokens))
	if !started {
		s.own.PrefillTokens = max(0, s.own.PrefillTokens-int64(c.PrefillWork))
	}
}

// OwnLoads returns the load and the recent failures of this proxy's requests at each engine at
// the time now, by EngineHolderID. Engines with neither are left out.
func (p *Picker) OwnLoads(now int64) map[uint64]Load {
	loads := map[uint64]Load{}
	for id, s := range p.states {
		load := s.own
		load.Failures = s.failures.at(now)
		if load.Requests > 0 || load.Failures > 0 {
			loads[EngineHolderID(id)] = load
		}
	}
	return loads
}

// SetOtherLoads records the loads that the other proxies have as of at, by EngineHolderID. The
// load of an engine that is not listed is set to zero, or left unchanged if changedOnly is set.
func (p *Picker) SetOtherLoads(at int64, loads map[uint64]Load, changedOnly bool) {
	if !p.Policy.Uses(OtherLoads) {
		return
	}
	for holder, e := range p.byHolder {
		load, named := loads[holder]
		if named || !changedOnly {
			p.states[e.ID].setOtherLoad(at, load)
		}
	}
}

// ReportLoad records the number of requests waiting at an engine, as reported in a response.
func (p *Picker) ReportLoad(now int64, id string, waiting int) {
	if s := p.states[id]; s != nil && p.Policy.Uses(ReportedLoads) {
		s.waiting, s.reportedAt = waiting, now
	}
}

// Eject excludes an engine that failed or rejected a request from selection for us microseconds.
// After a failure the duration doubles with each further point of the failure score, up to
// sixteen times.
func (p *Picker) Eject(now int64, id string, us int64, failed bool) {
	s := p.states[id]
	if s == nil || !p.Policy.Uses(Ejection) {
		return
	}
	if failed {
		s.failures.recordFailure(now)
		us <<= min(int(s.failures.at(now))-1, maxEjectionDoublings)
	}
	s.ejectedUntil = max(s.ejectedUntil, now+us)
}
