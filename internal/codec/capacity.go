package codec

import (
	"slices"

	"github.com/samber/lo"

	"violetthread/cacheindex"
	"violetthread/dispatch"
	"violetthread/index"
	"violetthread/schema/fb"
)

// GrantSource is an index node, or a wrapper that records its calls.
type GrantSource interface {
	// IssueGrants updates the demand of a proxy and returns its capacity grants for engines.
	IssueGrants(now int64, request index.GrantRequest) []index.EngineGrant
	// ProxyFeed returns the cache updates of a zone from a position on, and false if this
	// node does not serve the zone.
	ProxyFeed(zone string, incarnation, since uint64) (cacheindex.UpdateBatch, bool)
}

// AnswerCapacity returns the response to a capacity request of a proxy's agent. now is in
// microseconds.
func AnswerCapacity(source GrantSource, now int64, indexNode string, q *fb.CapacityRequestT) *fb.CapacityResponseT {
	t := &fb.CapacityResponseT{IndexNode: indexNode}
	for _, g := range source.IssueGrants(now, unpackGrantRequest(q)) {
		t.Grants = append(t.Grants, packGrant(g))
	}
	if batch, ok := source.ProxyFeed(q.Zone, q.UpdatesIncarnation, q.UpdatesSince); ok {
		t.HasUpdates = true
		t.UpdatesIncarnation, t.UpdatesSince = batch.Incarnation, q.UpdatesSince
		t.UpdatesNext, t.UpdatesReset, t.Updates = batch.Next, batch.Reset, packUpdates(batch.Updates)
	}
	return t
}

func unpackGrantRequest(q *fb.CapacityRequestT) index.GrantRequest {
	request := index.GrantRequest{Proxy: q.Proxy, Zone: q.Zone, Demand: map[string]int{}, Active: int(q.Active)}
	for _, d := range q.Demand {
		request.Demand[d.Group] += int(d.Requests)
	}
	for _, t := range q.Transfers {
		request.Transfers = append(request.Transfers, index.Transfer{
			AttemptID:   t.Attempt,
			Engine:      t.Engine,
			FromNode:    t.FromNode,
			TotalBlocks: int(t.Total),
			Blocks:      lo.Map(t.Blocks, func(b *fb.CacheUpdateT, _ int) cacheindex.Key { return unpackKey(b) }),
		})
	}
	for _, o := range q.Outcomes {
		request.Outcomes = append(request.Outcomes, index.Outcomes{Engine: o.Engine, Failures: int(o.Failures), Successes: int(o.Successes)})
	}
	return request
}

func packGrant(g index.EngineGrant) *fb.GrantT {
	t := &fb.GrantT{
		Engine:       g.Name,
		Addr:         g.Addr,
		Zone:         g.Zone,
		Store:        g.Store,
		NodeId:       g.NodeID,
		FencingToken: g.FencingToken,
		Capacity:     uint32(g.Capacity),
		Weights:      g.Weights,
		Queue:        uint32(g.QueueLength),
		SlowUs:       g.SlowUS,
		Age:          g.Age,
	}
	for _, peer := range sortedKeys(g.TransferScores) {
		t.TransferScores = append(t.TransferScores, &fb.TransferScoreT{Peer: peer, Permille: uint32(g.TransferScores[peer])})
	}
	return t
}

// UnpackGrants converts tables to grants. lag is their transit time in microseconds, which is
// added to the age of each.
func UnpackGrants(grants []*fb.GrantT, lag int64) []dispatch.EngineGrant {
	return lo.Map(grants, func(t *fb.GrantT, _ int) dispatch.EngineGrant {
		scores := map[uint64]int{}
		for _, s := range t.TransferScores {
			scores[s.Peer] = int(s.Permille)
		}
		return dispatch.EngineGrant{
			Engine:         t.Engine,
			Addr:           t.Addr,
			Zone:           t.Zone,
			Weights:        t.Weights,
			Store:          t.Store,
			NodeID:         t.NodeId,
			FencingToken:   t.FencingToken,
			Capacity:       int(t.Capacity),
			QueueLength:    int(t.Queue),
			SlowUS:         t.SlowUs,
			Age:            t.Age + lag,
			TransferScores: scores,
		}
	})
}

// FillFeedRequest adds to a request to the gateway's local agent the dispatcher's demand and
// the transfers and outcomes since the last call, and returns the request.
func FillFeedRequest(d *dispatch.Dispatcher, q *fb.FeedRequestT) *fb.FeedRequestT {
	demand, active := d.Demand()
	transfers, outcomes := d.TakeReport()
	q.Active = uint32(active)
	for _, group := range sortedKeys(demand) {
		q.Demand = append(q.Demand, &fb.DemandT{Group: group, Requests: uint32(demand[group])})
	}
	for _, t := range transfers {
		q.Transfers = append(q.Transfers, &fb.TransferT{
			Attempt:  t.AttemptID,
			Engine:   t.Engine,
			FromNode: t.FromNode,
			Total:    uint32(t.TotalBlocks),
			Blocks:   lo.Map(t.Blocks, func(k cacheindex.Key, _ int) *fb.CacheUpdateT { return packKey(k) }),
		})
	}
	for _, engine := range sortedKeys(outcomes) {
		o := outcomes[engine]
		q.Outcomes = append(q.Outcomes, &fb.OutcomesT{Engine: engine, Failures: uint32(o.Failures), Successes: uint32(o.Successes), StartUs: o.StartUS})
	}
	return q
}

func sortedKeys[K ~string | ~uint64, V any](m map[K]V) []K {
	keys := lo.Keys(m)
	slices.Sort(keys)
	return keys
}
