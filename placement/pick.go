package placement

// Pick selects an engine; false if none may serve the request now.
func (p *Picker) Pick(now int64, r *Request) (Choice, bool) {
	candidates := p.candidates(now, r)
	if len(candidates) == 0 {
		return Choice{}, false
	}
	home := r.homeBlock()
	if home != "" {
		candidates = sortByAffinity(candidates, home)
	}
	byVersion := map[uint64]*cachedBlocks{}
	var best Choice
	var bestUS int64
	for rank, e := range candidates {
		version := e.Weights[r.Model]
		blocks := byVersion[version]
		if blocks == nil {
			blocks = p.cachedBlocksOf(now, r, version)
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
		// Hints are late and some are lost. To ask the store in vain costs a moment, to read
		// a block again a hundred times as much.
		best.Source = store.Addr
	}
	best.NewBlocks = byVersion[best.Version].newReads(r, &best)
	best.Destination = p.destination(r, store, &best, byVersion[best.Version].holders)
	return best, true
}

// estimate is the choice of an engine, and its estimated cost in microseconds. affinityUS is
// the penalty for its distance from the home of the request's blocks.
func (p *Picker) estimate(now int64, r *Request, e *Engine, blocks *cachedBlocks, affinityUS int64) (Choice, int64) {
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
	model := p.prefillModelOf(e.Pool)
	c.PrefillWork = prefillWork(r.PromptTokens, c.PrefillTokens)
	c.queuedTokens = p.states[e.ID].queuedTokens(now, model.usPerToken, p.Cost.MinPrefillRemaining)
	c.transferUS = fetch.us
	c.PredictedUS = int64(model.predictUS(c.queuedTokens+float64(c.PrefillWork))) + fetch.us
	us := c.PredictedUS + p.loadUS(now, e, r)
	if c.TransferTokens > 0 {
		us += p.Cost.TransferPenaltyUS
	}
	us += int64(float64(blocks.readTwiceTokens(r, own, cached+fetch.tokens)) * model.usPerToken * p.Cost.DuplicatePrefillFactor)
	if cached == 0 {
		us += affinityUS
	}
	return c, us + p.awayUS(e, r)
}

// candidates lists the engines that may serve a request now.
func (p *Picker) candidates(now int64, r *Request) []*Engine {
	var engines []*Engine
	for _, e := range p.byPool[r.Pool] {
		if p.maySelect(now, e, r) {
			engines = append(engines, e)
		}
	}
	// An engine that is about to load other weights is left alone while there is another.
	if others := notUpdating(engines); len(others) > 0 {
		engines = others
	}
	if r.Misdirected {
		if reported := p.reportedLately(now, engines); len(reported) > 0 {
			engines = reported
		}
	}
	return engines
}

// maySelect reports whether an engine may be sent a request at all.
func (p *Picker) maySelect(now int64, e *Engine, r *Request) bool {
	switch {
	case e.Draining || r.TriedEngines[e.ID] || p.states[e.ID].ejectedUntil > now:
		return false
	case r.Model != "" && e.Weights[r.Model] < max(r.MinVersion, 1):
		return false // it runs an older version, or nobody knows which
	}
	return true
}

// reportedLatelyUS is shorter than the time after which a platform gives the address of an
// engine that is gone to another one.
const reportedLatelyUS = 1_900_000

// reportedLately lists the engines that reported their load in an answer a short while ago.
func (p *Picker) reportedLately(now int64, engines []*Engine) (reported []*Engine) {
	for _, e := range engines {
		if s := p.states[e.ID]; s.reportedAt > 0 && now-s.reportedAt < reportedLatelyUS {
			reported = append(reported, e)
		}
	}
	return reported
}

func notUpdating(engines []*Engine) (others []*Engine) {
	for _, e := range engines {
		if !e.UpdatingWeights {
			others = append(others, e)
		}
	}
	return others
}
