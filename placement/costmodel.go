package placement

// CostModel are the figures by which engines are compared. Fields that end in US are
// microseconds of estimated delay; raising one avoids more of what it is for.
type CostModel struct {
	PrefillTokensPerMS      float64 // prompt tokens that an engine reads in a millisecond, until answers have shown it
	TransferTokensPerMS     float64 // tokens that a link moves in a millisecond within a zone, where the configuration does not say
	TransferSetupUS         int64   // for each transfer
	TransferPenaltyUS       int64   // what a transfer costs beyond its time
	AffinityPenaltyUS       int64   // for each rank away from a block's home, where nobody has it cached
	OtherZoneShare          float64 // of the request's latency target, for an engine in another zone than the proxy
	NewConnectionShare      float64 // of the request's latency target, for an engine without an idle connection
	RunningPenaltyUS        int64   // for each request running at an engine
	WaitingPenaltyUS        int64   // for each request that an engine reported as waiting
	DuplicatePrefillFactor  float64 // of the time to compute what another engine computes now, beyond that time itself
	FailurePenaltyUS        int64   // for each attempt that failed lately at an engine
	OtherFailureWeight      float64 // part of a failure that counts, if another proxy saw it
	MemoryPressureThreshold float64 // part of an engine's memory that requests may take freely, 0 to 1
	MemoryPressurePenaltyUS int64   // for a whole memory beyond that
	MinPrefillRemaining     float64 // part of the prompts that an engine was sent and has not answered that counts at least, 0 to 1
	LoadMaxAgeUS            int64   // an engine's report of its load counts no longer than this
}

// DefaultCostModel is where the daemons start from.
func DefaultCostModel() CostModel {
	return CostModel{
		PrefillTokensPerMS:      110,
		TransferTokensPerMS:     2500,
		TransferSetupUS:         6_000,
		TransferPenaltyUS:       20_000,
		AffinityPenaltyUS:       50_000,
		OtherZoneShare:          0.2,
		NewConnectionShare:      0.1,
		RunningPenaltyUS:        700,
		WaitingPenaltyUS:        15_000,
		DuplicatePrefillFactor:  1,
		FailurePenaltyUS:        150_000,
		OtherFailureWeight:      0.5,
		MemoryPressureThreshold: 0.5,
		MemoryPressurePenaltyUS: 600_000,
		MinPrefillRemaining:     0.4,
		LoadMaxAgeUS:            1_000_000,
	}
}

const (
	// defaultTargetUS stands for the latency target of a request that has none.
	defaultTargetUS = 500_000
	// maxAffinityRank is the rank from which on engines are equally far from a block's home.
	maxAffinityRank = 6
	// unhealthyUS keeps requests from an engine that looks unhealthy while there is another.
	// It is not excluded: whoever checks it may be the one who is cut off.
	unhealthyUS = 400_000
	// noSlotUS is for each request beyond an engine's slots.
	noSlotUS = 50_000
)

// transferUS is how long a transfer of tokens takes over a link of a speed, as estimated.
func (m *CostModel) transferUS(sameZone bool, tokens int, tokensPerMS float64) int64 {
	if tokensPerMS <= 0 {
		tokensPerMS = m.TransferTokensPerMS
	}
	us := int64(float64(tokens) / tokensPerMS * 1000)
	if !sameZone {
		us *= 2
	}
	return us + m.TransferSetupUS
}

// awayUS is the penalty for an engine that costs the fleet more than others: a connection to
// make, bytes between zones. It is a part of the time that the request has: one that must be
// fast goes where it is fast.
func (p *Picker) awayUS(e *Engine, r *Request) int64 {
	target := float64(r.LatencyTargetUS)
	if target <= 0 {
		target = defaultTargetUS
	}
	us := 0.0
	if e.Zone != p.zone && p.Policy.Uses(ZonePreference) {
		us += p.Cost.OtherZoneShare * target
	}
	if p.Connected != nil && p.Policy.Uses(ConnectionReuse) && !p.Connected(e.ID) {
		us += p.Cost.NewConnectionShare * target
	}
	return int64(us)
}

// prefillModelOf is what is known of the speed of a pool's engines.
func (p *Picker) prefillModelOf(pool string) *prefillModel {
	model := p.prefillModels[pool]
	if model == nil {
		model = newPrefillModel(p.Cost.PrefillTokensPerMS)
		p.prefillModels[pool] = model
	}
	return model
}

// loadUS is what else is under way at an engine costs a new request there.
func (p *Picker) loadUS(now int64, e *Engine, r *Request) int64 {
	s := p.states[e.ID]
	running, waiting := s.own.Requests+s.others.Requests, 0
	if s.reportedAt > 0 && now-s.reportedAt < p.Cost.LoadMaxAgeUS {
		waiting = s.waiting
	}
	us := int64(running)*p.Cost.RunningPenaltyUS + int64(waiting)*p.Cost.WaitingPenaltyUS
	if e.Slots > 0 && running >= e.Slots {
		us += int64(running-e.Slots+1) * noSlotUS
	}
	if e.CacheTokens > 0 && p.Policy.Uses(MemoryPressure) {
		us += p.memoryPressureUS(s, e, r)
	}
	if e.Unhealthy {
		us += unhealthyUS
	}
	return us + p.suspicionUS(now, s)
}

// suspicionUS is what lately failed attempts at an engine cost it. Those of other proxies count
// too: at a large fleet each proxy meets an engine too seldom to find a failing one out by itself.
// No engine is excluded by it, since the network between may be at fault.
func (p *Picker) suspicionUS(now int64, s *engineState) int64 {
	score := s.failures.at(now)
	if p.Policy.Uses(SharedFailures) {
		score += s.others.Failures * p.Cost.OtherFailureWeight
	}
	return int64(min(score, maxFailureScore) * float64(p.Cost.FailurePenaltyUS))
}

// memoryPressureUS is what the fill of an engine's memory costs. Requests share it with cached
// blocks; when it runs out some requests are preempted and their prompts read anew.
func (p *Picker) memoryPressureUS(s *engineState, e *Engine, r *Request) int64 {
	fill := float64(s.own.MemoryTokens+s.others.MemoryTokens+int64(r.PromptTokens+r.MaxOutputTokens)) / float64(e.CacheTokens)
	if fill <= p.Cost.MemoryPressureThreshold {
		return 0
	}
	return int64((fill - p.Cost.MemoryPressureThreshold) * float64(p.Cost.MemoryPressurePenaltyUS))
}
