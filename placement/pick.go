package placement

// Pick selects an engine for a request. It returns false if no engine is eligible.
func (p *Picker) Pick(now int64, r *Request) (Choice, bool) {
	candidates := p.candidates(now, r)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	home := r.homeBlock()
	if home != "" {
		candidates = sortByAffinity(candidates, home)
	}
	byVersion := map[uint64]*blockLocations{}
	var best Choice
	var bestUS int64
	for rank, e := range candidates {
		version := e.Weights[r.Model]
		blocks := byVersion[version]
		if blocks == nil {
			blocks = p.locateBlocks(now, r, version)
			byVersion[version] = blocks
		}
		var affinityUS int64
		if home != "" && p.Policy.Uses(Affinity) {
			affinityUS = int64(min(rank, maxAffinityRank)) * p.Cost.AffinityPenaltyUS
		}
		c, us := p.estimate(now, r, e, blocks, affinityUS)
		if best.Engine == nil || us < bestUS {
			best, bestUS = c, us
		}
	}
	store := p.homeStore(home)
	if best.Source == "" && r.sharedBlocks() > 0 && store != nil && p.Policy.Uses(StoreTransfer) {
		// Hints arrive late and some are lost, so the store may have blocks without a hint. A
		// query to the store that misses costs about a hundredth of recomputing a block.
		best.Source = store.Addr
	}
	best.NewBlocks = byVersion[best.Version].blocksToCompute(r, &best)
	best.Destination = p.destination(r, store, &best, byVersion[best.Version].holders)
	return best, true
}

// estimate returns the Choice of one engine and its estimated cost in microseconds. affinityUS is
// the penalty for its affinity rank, which applies if it has no cached prefix of the prompt.
func (p *Picker) estimate(now int64, r *Request, e *Engine, blocks *blockLocations, affinityUS int64) (Choice, int64) {
	own := EngineHolderID(e.ID)
	cached, _ := blocks.coverage(r, own, 0)
	fetch := p.bestSource(r, e, blocks, cached)
	c := Choice{
		Engine:         e,
		Version:        e.Weights[r.Model],
		Salt:           blocks.salt,
		Source:         fetch.source,
		PrefillTokens:  max(0, r.PromptTokens-fetch.cached-fetch.tokens),
		TransferTokens: fetch.tokens,
		CachedTokens:   fetch.cached,
		MemoryTokens:   r.PromptTokens + r.MaxOutputTokens,
		BlockKeys:      blocks.keys,
	}
	model := p.prefillModelFor(e.Pool)
	c.PrefillWork = prefillWork(r.PromptTokens, c.PrefillTokens)
	c.queuedTokens = p.states[e.ID].queuedTokens(now, model.usPerToken, p.Cost.MinPrefillRemaining)
	c.transferUS = fetch.us
	c.PredictedUS = int64(model.predictUS(c.queuedTokens+float64(c.PrefillWork))) + fetch.us
	us := c.PredictedUS + p.loadPenaltyUS(now, e, r)
	if c.TransferTokens > 0 {
		us += p.Cost.TransferPenaltyUS
	}
	us += int64(float64(blocks.duplicatePrefillTokens(r, own, cached+fetch.tokens)) * model.usPerToken * p.Cost.DuplicatePrefillFactor)
	if cached == 0 {
		us += affinityUS
	}
	return c, us + p.localityPenaltyUS(e, r)
}

// candidates returns the engines that are eligible for a request.
func (p *Picker) candidates(now int64, r *Request) []*Engine {
	var engines []*Engine
	for _, e := range p.byPool[r.Pool] {
		if p.eligible(now, e, r) {
			engines = append(engines, e)
		}
	}
	// Use an engine that is about to load other weights only if there is no other.
	if others := notUpdating(engines); len(others) > 0 {
		engines = others
	}
	if r.Misdirected {
		if recent := p.recentlyReported(now, engines); len(recent) > 0 {
			engines = recent
		}
	}
	return engines
}

// eligible reports whether a request may be sent to an engine: it is not draining or ejected, was
// not tried before for this request, and runs a recent enough version of the model.
func (p *Picker) eligible(now int64, e *Engine, r *Request) bool {
	switch {
	case e.Draining || r.TriedEngines[e.ID] || p.states[e.ID].ejectedUntil > now:
		return false
	case r.Model != "" && e.Weights[r.Model] < max(r.MinVersion, 1):
		return false // older or unknown version
	}
	return true
}

// recentReportUS is the maximum age of a recent load report. It is shorter than the time after
// which a platform reassigns the address of a removed engine to another one.
const recentReportUS = 1_900_000

// recentlyReported returns the engines whose last load report is less than recentReportUS old.
func (p *Picker) recentlyReported(now int64, engines []*Engine) (recent []*Engine) {
	for _, e := range engines {
		if s := p.states[e.ID]; s.reportedAt > 0 && now-s.reportedAt < recentReportUS {
			recent = append(recent, e)
		}
	}
	return recent
}

// notUpdating returns the engines that are not about to load other weights.
func notUpdating(engines []*Engine) (others []*Engine) {
	for _, e := range engines {
		if !e.UpdatingWeights {
			others = append(others, e)
		}
	}
	return others
}
