package placement

// CostModel holds the parameters of the cost estimate by which engines are compared. Fields that
// end in US are in microseconds of estimated delay; a higher penalty makes the picker avoid what
// it applies to more strongly.
type CostModel struct {
	PrefillTokensPerMS      float64 // initial prefill speed of an engine, until it has been learned from responses
	TransferTokensPerMS     float64 // transfer speed within a zone, where the configuration gives no link speed
	TransferSetupUS         int64   // fixed duration of each transfer
	TransferPenaltyUS       int64   // penalty for a transfer in addition to its duration
	AffinityPenaltyUS       int64   // per affinity rank below the home, for engines without cached blocks of the prompt
	OtherZoneShare          float64 // penalty for an engine in another zone than the proxy, as a fraction of the request's latency target
	NewConnectionShare      float64 // penalty for an engine without an idle connection, as a fraction of the request's latency target
	RunningPenaltyUS        int64   // per request running at the engine
	WaitingPenaltyUS        int64   // per request that the engine last reported as waiting
	DuplicatePrefillFactor  float64 // penalty for computing blocks that another engine is computing, as a multiple of their prefill time
	FailurePenaltyUS        int64   // per recent failed attempt at the engine
	OtherFailureWeight      float64 // weight of a failure reported by another proxy, relative to one seen by this proxy
	MemoryPressureThreshold float64 // fraction of an engine's memory, 0 to 1, up to which memory use has no penalty
	MemoryPressurePenaltyUS int64   // penalty for memory use beyond the threshold, per full memory
	MinPrefillRemaining     float64 // lower bound of the estimated prefill backlog, as a fraction, 0 to 1, of the unanswered prefill tokens sent
	LoadMaxAgeUS            int64   // maximum age at which an engine's load report is used
}

// DefaultCostModel returns the parameters that the daemons start with.
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
	// defaultLatencyTargetUS is used for requests without a latency target.
	defaultLatencyTargetUS = 500_000
	// maxAffinityRank is the highest rank that increases the affinity penalty.
	maxAffinityRank = 6
	// unhealthyPenaltyUS diverts requests from an engine that fails its health checks as long as
	// there is another. The engine is not excluded, since the checker may be the one that is
	// partitioned from the network.
	unhealthyPenaltyUS = 400_000
	// excessRequestPenaltyUS applies to each request in excess of an engine's slots, the new one
	// included.
	excessRequestPenaltyUS = 50_000
)

// transferUS estimates the duration of a transfer of cached tokens over a link of the given
// speed, including TransferSetupUS. A speed of 0 stands for TransferTokensPerMS; between zones the
// tokens take twice as long.
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

// localityPenaltyUS returns the penalty for an engine in another zone, which causes traffic
// between zones, or without an idle connection. It is proportional to the request's latency
// target, so that requests with a short target are sent to the fastest engine.
func (p *Picker) localityPenaltyUS(e *Engine, r *Request) int64 {
	target := float64(r.LatencyTargetUS)
	if target <= 0 {
		target = defaultLatencyTargetUS
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

// prefillModelFor returns the learned prefill model of a pool, creating it on first use.
func (p *Picker) prefillModelFor(pool string) *prefillModel {
	model := p.prefillModels[pool]
	if model == nil {
		model = newPrefillModel(p.Cost.PrefillTokensPerMS)
		p.prefillModels[pool] = model
	}
	return model
}

// loadPenaltyUS returns the cost to a new request of an engine's current load: its running and
// waiting requests, memory use, health and recent failures.
func (p *Picker) loadPenaltyUS(now int64, e *Engine, r *Request) int64 {
	s := p.states[e.ID]
	running, waiting := s.own.Requests+s.others.Requests, 0
	if s.reportedAt > 0 && now-s.reportedAt < p.Cost.LoadMaxAgeUS {
		waiting = s.waiting
	}
	us := int64(running)*p.Cost.RunningPenaltyUS + int64(waiting)*p.Cost.WaitingPenaltyUS
	if e.Slots > 0 && running >= e.Slots {
		us += int64(running-e.Slots+1) * excessRequestPenaltyUS
	}
	if e.CacheTokens > 0 && p.Policy.Uses(MemoryPressure) {
		us += p.memoryPressurePenaltyUS(s, e, r)
	}
	if e.Unhealthy {
		us += unhealthyPenaltyUS
	}
	return us + p.failurePenaltyUS(now, s)
}

// failurePenaltyUS returns the penalty for recent failed attempts at an engine. Failures seen by
// other proxies count too, since in a large fleet each proxy uses an engine too rarely to detect
// by itself that it fails. The penalty is bounded and excludes no engine, since the cause may be
// the network path.
func (p *Picker) failurePenaltyUS(now int64, s *engineState) int64 {
	score := s.failures.at(now)
	if p.Policy.Uses(SharedFailures) {
		score += s.others.Failures * p.Cost.OtherFailureWeight
	}
	return int64(min(score, maxFailureScore) * float64(p.Cost.FailurePenaltyUS))
}

// memoryPressurePenaltyUS returns the penalty for an engine's memory use including the new
// request. Requests share the memory with cached blocks; when it runs out, the engine preempts
// requests and recomputes their prompts.
func (p *Picker) memoryPressurePenaltyUS(s *engineState, e *Engine, r *Request) int64 {
	fill := float64(s.own.MemoryTokens+s.others.MemoryTokens+int64(r.PromptTokens+r.MaxOutputTokens)) / float64(e.CacheTokens)
	if fill <= p.Cost.MemoryPressureThreshold {
		return 0
	}
	return int64((fill - p.Cost.MemoryPressureThreshold) * float64(p.Cost.MemoryPressurePenaltyUS))
}
