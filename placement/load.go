package placement

// Load is what is under way at an engine.
type Load struct {
	Requests      int
	PrefillTokens int64 // prompt tokens not read yet
	MemoryTokens  int64 // that its memory holds for the requests
}

// engineState is what this proxy knows of an engine by itself.
type engineState struct {
	own          Load  // this proxy's requests there
	others       Load  // those of the other proxies, as last reported
	ejectedUntil int64 // not selected until then
	failures     int   // in a row
	waiting      int   // requests that wait, as the engine reported last
	reportedAt   int64 // when it did, 0 for never
}

const (
	maxFailures         = 6 // beyond which they cost no more
	maxEjectionDoubling = 4
)

// RequestSent counts a request that goes to the chosen engine.
func (p *Picker) RequestSent(c *Choice) {
	if s := p.states[c.Engine.ID]; s != nil {
		s.own.Requests++
		s.own.PrefillTokens += int64(c.PrefillTokens)
		s.own.MemoryTokens += int64(c.MemoryTokens)
	}
}

// ResponseStarted takes in the first content of an answer: the prompt is read by now, and the
// engine works.
func (p *Picker) ResponseStarted(c *Choice) {
	if s := p.states[c.Engine.ID]; s != nil {
		s.own.PrefillTokens = max(0, s.own.PrefillTokens-int64(c.PrefillTokens))
		s.failures = 0
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
		s.own.PrefillTokens = max(0, s.own.PrefillTokens-int64(c.PrefillTokens))
	}
}

// OwnLoads lists what this proxy has under way, by EngineHolderID.
func (p *Picker) OwnLoads() map[uint64]Load {
	loads := map[uint64]Load{}
	for id, s := range p.states {
		if s.own.Requests > 0 {
			loads[EngineHolderID(id)] = s.own
		}
	}
	return loads
}

// SetOtherLoads takes in what the other proxies have under way as of at, by EngineHolderID.
func (p *Picker) SetOtherLoads(at int64, loads map[uint64]Load) {
	if !p.Policy.Uses(OtherLoads) {
		return
	}
	p.othersAt = at
	for id, s := range p.states {
		s.others = loads[EngineHolderID(id)]
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
		s.failures = min(s.failures+1, maxFailures)
		us <<= min(s.failures-1, maxEjectionDoubling)
	}
	s.ejectedUntil = max(s.ejectedUntil, now+us)
}
