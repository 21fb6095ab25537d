package indexnode

import (
	"context"
	"errors"
	"fmt"
	"syscall"

	"github.com/samber/lo"

	"violetthread/cacheindex"
	"violetthread/index"
	"violetthread/internal/clock"
	"violetthread/internal/engineapi"
	"violetthread/recording/replay"
)

// Time-outs in microseconds.
const (
	listingTimeout = 600_000
	reportTimeout  = 800_000   // for an engine's holdings, and for its report
	weightsTimeout = 2_500_000 // for an engine to accept other weights
)

// refreshListing polls the platform's list of engines. While the platform refuses connections,
// no node can get a newer list, and the last one remains valid. If a poll fails for another
// reason, such as a time-out, the list ages until engines get no new work (docs/bounds.md).
func (n *indexNode) refreshListing(ctx context.Context) {
	askedAt := clock.Now()
	var list engineapi.EngineList
	err := n.http.Get(ctx, n.settings.Platform, "/v1/engines", listingTimeout, &list)
	var engines []index.ListedEngine
	if err == nil {
		engines = lo.Map(list.Engines, func(engine engineapi.ListedEngine, _ int) index.ListedEngine {
			return index.ListedEngine{
				Name:    engine.Name,
				Addr:    engine.Addr,
				Zone:    engine.Zone,
				Store:   engine.Kind == engineapi.KindStore,
				Leaving: engine.Leaving,
			}
		})
	}
	n.withNode(func(now int64, node *replay.IndexNode) {
		switch {
		case err == nil:
			node.SetListing(now, askedAt, engines)
		case errors.Is(err, syscall.ECONNREFUSED):
			node.ConfirmListing(now, askedAt)
		}
	})
}

// pollEngines requests the reports of the engines to poll, and updates engines whose weights
// differ from the plan's.
func (n *indexNode) pollEngines(context.Context) {
	var polls []index.Poll
	var updates []index.WeightUpdate
	n.withNode(func(now int64, node *replay.IndexNode) {
		polls = node.Polls(now)
		updates = node.WeightUpdates(now)
	})
	for _, poll := range polls {
		n.spawn("poll."+poll.Engine, func(ctx context.Context) { n.poll(ctx, poll) })
	}
	for _, update := range updates {
		n.spawn("weights."+update.Engine, func(ctx context.Context) { n.updateWeights(ctx, update) })
	}
}

// poll requests the report of one engine. If events are missing, it reads all of the engine's
// holdings first.
func (n *indexNode) poll(ctx context.Context, poll index.Poll) {
	if poll.NeedsHoldings {
		var holdings engineapi.Holdings
		if err := n.http.Get(ctx, poll.Addr, "/v1/keeps", reportTimeout, &holdings); err != nil {
			return
		}
		blocks := lo.FilterMap(holdings.Blocks, func(text string, _ int) (cacheindex.Key, bool) { return engineapi.ParseKey(text) })
		n.withNode(func(now int64, node *replay.IndexNode) {
			node.ResetHoldings(now, poll.Engine, holdings.Incarnation, holdings.Seq, blocks)
		})
		poll.Incarnation, poll.AfterSeq = holdings.Incarnation, holdings.Seq
	}
	askedAt := clock.Now()
	var report engineapi.Report
	path := fmt.Sprintf("/v1/report?inc=%d&after=%d", poll.Incarnation, poll.AfterSeq)
	if err := n.http.Get(ctx, poll.Addr, path, reportTimeout, &report); err != nil {
		return
	}
	unpacked := unpackReport(report)
	n.withNode(func(now int64, node *replay.IndexNode) { node.ApplyReport(now, askedAt, poll.Engine, unpacked) })
}

// unpackReport converts an engine's report from the form of its API.
func unpackReport(packed engineapi.Report) index.Report {
	report := index.Report{
		Incarnation: packed.Incarnation,
		Weights:     packed.Weights,
		Running:     packed.Running,
		QueueLength: packed.QueueLength,
		Capacity:    packed.Capacity,
		SlowUS:      packed.SlowUS,
		LastSeq:     packed.LastSeq,
	}
	for _, event := range packed.Events {
		unpacked := index.Event{
			Seq:              event.Seq,
			Added:            event.Op == engineapi.EventAdded,
			Removed:          event.Op == engineapi.EventRemoved,
			RecomputedBlocks: event.RecomputedBlocks,
		}
		if event.Op == engineapi.EventFinished {
			unpacked.FinishedAttempt = event.Attempt
		}
		unpacked.Block, unpacked.HasBlock = engineapi.ParseKey(event.Block)
		report.Events = append(report.Events, unpacked)
	}
	return report
}

// updateWeights tells one engine to load the plan's weights.
func (n *indexNode) updateWeights(ctx context.Context, update index.WeightUpdate) {
	// The engine rejects a stale token; this check saves the request if the lease was lost
	// since the update was decided.
	current := false
	n.withNode(func(now int64, node *replay.IndexNode) {
		token, held := node.HoldsLease(now, index.EngineRole(update.Engine))
		current = held && token == update.FencingToken
	})
	if !current {
		return
	}
	request := engineapi.WeightsRequest{Weights: update.Weights, FencingToken: update.FencingToken, Owner: n.settings.Name}
	err := n.http.Post(ctx, update.Addr, "/v1/weights", weightsTimeout, request, nil)
	n.daemon.Log.Info("plan_weights_sent", "engine", update.Engine, "weights", update.Weights, "fencing_token", update.FencingToken, "error", fmt.Sprint(err))
}
