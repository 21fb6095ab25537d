package placement

// Load is what is under way at an engine.
type Load struct {
	Requests      int
	PrefillTokens int64 // prompt tokens not read yet, as prefillWork counts them
	MemoryTokens  int64 // that its memory holds for the requests

	// Failures is how many attempts failed there lately, older ones and those before a
	// success counted for less.
	Failures float64
}

// engineState is what this proxy knows of an engine by itself.
type engineState struct {
	own          Load  // this proxy's requests there
	prefillSince int64 // when the engine began to read the prompt that it reads, as far as known
	others       Load  // those of the other proxies, as last reported
	ejectedUntil int64 // not selected until then
	failures     failureScore
	waiting      int   // requests that wait, as the engine reported last
	reportedAt   int64 // when it did, 0 for never
}

const maxEjectionDoubling = 4

// queuedTokens is how many tokens an engine still has to read, as far as known. It has gone on
// with the prompt that it reads; a part stays, since that is an estimate.
func (s *engineState) queuedTokens(now int64, usPerToken, minLeft float64) float64 {
	sent := float64(s.own.PrefillTokens + s.others.PrefillTokens)
	return max(sent-float64(now-s.prefillSince)/usPerToken, sent*minLeft)
}

// setOthers takes in what the other proxies have under way at an engine as of at.
func (s *engineState) setOthers(at int64, load Load) {
	began := s.own.PrefillTokens+s.others.PrefillTokens == 0
	if began || load.PrefillTokens < s.others.PrefillTokens { // a prompt was read, the next one begins
		s.prefillSince = max(s.prefillSince, at)
	}
	s.others = load
}

// SentAt is when RequestSent counted the request, in monotonic microseconds.
func (c *Choice) SentAt() int64 { return c.sentAt }

// RequestSent counts a request that goes to the chosen engine.
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

// ResponseStarted takes in the first content of an answer: the prompt is read by now, and the
// engine works.
func (p *Picker) ResponseStarted(now int64, c *Choice) {
	s := p.states[c.Engine.ID]
	if s == nil {
		return
	}
	s.own.PrefillTokens = max(0, s.own.PrefillTokens-int64(c.PrefillWork))
	s.prefillSince = now
	s.failures.succeeded(now)
	if c.MemoryTokens > 0 && p.Policy.Uses(LearnedSpeed) {
		us := float64(now - c.sentAt - c.transferUS)
		p.prefillModelOf(c.Engine.Pool).learn(c.queuedTokens+float64(c.PrefillWork), us, p.Cost.PrefillTokensPerMS)
	}
}

// AttemptEnded takes in the end of an attempt; started tells whether ResponseStarted was
// called.
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

// OwnLoads lists what this proxy has under way at the time now and what failed lately, by
// EngineHolderID.
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

// SetOtherLoads takes in what the other proxies have under way as of at, by EngineHolderID.
// Engines that are not named have nothing, or what they had if changedOnly is set.
func (p *Picker) SetOtherLoads(at int64, loads map[uint64]Load, changedOnly bool) {
	if !p.Policy.Uses(OtherLoads) {
		return
	}
	for holder, e := range p.byHolder {
		load, named := loads[holder]
		if named || !changedOnly {
			p.states[e.ID].setOthers(at, load)
		}
	}
}

// ReportLoad takes in how many requests wait at an engine, as it reported in an answer.
func (p *Picker) ReportLoad(now int64, id string, waiting int) {
	if s := p.states[id]; s != nil && p.Policy.Uses(ReportedLoads) {
		s.waiting, s.reportedAt = waiting, now
	}
}

// Eject keeps an engine from being selected for us microseconds: it rejected a request or it
// failed. With each failure in a row the time doubles, up to sixteenfold.
func (p *Picker) Eject(now int64, id string, us int64, failed bool) {
	s := p.states[id]
	if s == nil || !p.Policy.Uses(Ejection) {
		return
	}
	if failed {
		s.failures.failed(now)
		us <<= min(int(s.failures.at(now))-1, maxEjectionDoubling)
	}
	s.ejectedUntil = max(s.ejectedUntil, now+us)
}
