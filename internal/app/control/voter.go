package control

import (
	"context"
	"errors"

	"violetthread/internal/clock"
	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// Microseconds.
const (
	planInterval     = 150_000 // between two reads of the plan
	sessionsInterval = 300_000 // between two announcements of sessions
	stepDownGrace    = 100_000 // for the messages of a step-down to go out
)

// stateShare bounds the voter's state at this part of the log: a checkpoint of all of it
// and the changes that come meanwhile must fit beside the old state.
const stateShare = 4

// runVoter runs the voter until a newer voter set leaves this disk out, or the disk can't
// be used: one loop for its state, one for its disk, one to each peer. It returns why it
// stopped: errRemoved, or what the disk did.
func (n *Node) runVoter(ctx context.Context) error {
	n.voterGroup = taskgroup.New(ctx, n.daemon.Log)
	n.voter = n.newVoter(n.voterSet.Load(), n.Incarnation(), n.records)
	n.records = nil
	n.startWriter(n.voterGroup.Context())
	n.startLoops()
	n.voting.Store(true)
	n.daemon.SetReady("")
	reason, ok := taskgroup.Receive(ctx, n.stopReason)
	n.voting.Store(false)
	if ok && !errors.Is(reason, errRemoved) {
		n.reportDiskUnusable(reason)
		n.stepDown(ctx)
	}
	n.voterGroup.Stop()
	taskgroup.Receive(ctx, n.storage.writerDone) // a stalled operation may still be under way
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return reason
}

// newVoter makes a voter from what a disk holds.
func (n *Node) newVoter(set *fb.VoterSetT, incarnation uint64, records []quorum.Record) *quorum.Node {
	config := quorum.DefaultConfig(n.settings.Name, incarnation)
	config.GenerationDurationUS = n.settings.GenerationDurationUS
	config.OpenGenerations = n.settings.OpenGenerations
	config.LeaseDurationUS = n.settings.LeaseDurationUS
	config.MaxStateBytes = int(int64(n.settings.LogSegments) * n.settings.LogSegmentBytes / stateShare)
	return quorum.New(config, codec.UnpackVoterSet(set), clock.Now(), records)
}

func (n *Node) startLoops() {
	tick := quorum.DefaultConfig("", 0).HeartbeatIntervalUS / 4
	n.voterGroup.Go("voter", func(ctx context.Context) {
		run := func(command func(int64)) { command(clock.Now()) }
		taskgroup.Serve(ctx, n.commands, clock.Duration(tick), run, n.tickVoter)
	})
	every := func(name string, intervalUS int64, run func(context.Context)) {
		n.voterGroup.Go(name, func(ctx context.Context) { taskgroup.Every(ctx, clock.Duration(intervalUS), run) })
	}
	every("probe", probeInterval, n.probeSilentVoters)
	every("plan", planInterval, n.refreshPlan)
	every("sessions", sessionsInterval, n.broadcastSessions)
}

// tickVoter runs a few times in each heartbeat interval, in the voter's loop.
func (n *Node) tickVoter() {
	now := clock.Now()
	if n.storage.stall.stalled(n.storage.activeOperation.Load()) {
		n.stopVoter(errStalled)
	}
	n.recordsSynced(now)
	n.updateLogPressure()
	n.processReady(n.voter.Tick(now))
	n.generation.Store(n.voter.Generation())
	n.publishStatus(now)
}

func (n *Node) publishStatus(now int64) {
	silent := map[string]bool{}
	for _, peer := range n.voter.VoterSet().Voters {
		silent[peer.Name] = n.voter.TimeSinceHeard(now, peer.Name) > contactTimeout
	}
	n.status.Store(&voterStatus{
		slots:         n.voter.Status(now),
		stateBytes:    n.voter.StateBytes(),
		changeAllowed: n.voter.AllSlotsRecovered(),
		silent:        silent,
	})
}

// updateLogPressure has the voter refuse new changes while the log has little room.
func (n *Node) updateLogPressure() {
	used := n.storage.usedPermille.Load()
	tight := used > tightAtPermille
	if tight == n.logTight {
		return
	}
	n.logTight = tight
	n.voter.SetDiskLow(tight)
	n.logSpace(tight, used)
}

// broadcastSessions announces this node's sessions to the other voters.
func (n *Node) broadcastSessions(context.Context) {
	frame := &fb.FrameT{SessionUpdate: n.sessions.Announcement(clock.Now())}
	taskgroup.TrySend(n.commands, func(int64) {
		for _, peer := range n.voter.VoterSet().Voters {
			n.sendTo(peer.Name, frame)
		}
	})
}

// stepDown gives all slots up because of the disk, and lets the messages go out. Results
// that wait for the disk are given up with them.
func (n *Node) stepDown(ctx context.Context) {
	done := make(chan struct{})
	if taskgroup.Send(ctx, n.commands, func(now int64) {
		n.processReady(n.voter.StepDown(now))
		close(done)
	}) {
		taskgroup.Receive(ctx, done)
		taskgroup.Sleep(ctx, stepDownGrace)
	}
}

// propose starts an operation at this node's voter and waits for its result. False means
// that the result is not known: the operation may take effect.
func (n *Node) propose(ctx context.Context, operation quorum.Operation) (quorum.Result, bool) {
	result := make(chan quorum.Result, 1)
	if !taskgroup.Send(ctx, n.commands, func(now int64) {
		n.lastOperation++
		operation.ID = n.lastOperation
		n.results[operation.ID] = result
		n.processReady(n.voter.Propose(now, operation))
	}) {
		return quorum.Result{}, false
	}
	return taskgroup.Receive(ctx, result)
}
