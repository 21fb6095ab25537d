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
	planInterval       = 150_000 // between two reads of the plan
	sessionsInterval   = 300_000 // between two broadcasts of sessions
	stepDownFlushDelay = 100_000 // for the step-down messages to be sent
)

// logToStateRatio is the size of the log divided by the maximum size of the voter's state: the old
// state, a checkpoint of the whole state and the changes made meanwhile must all fit into the log.
const logToStateRatio = 4

// runVoter runs the voter until a newer voter set excludes this disk or the disk can't be used. It
// starts one loop for the voter's state, one for its disk and one for each peer. It returns why it
// stopped: errRemoved, a disk error or the end of ctx.
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
	taskgroup.Receive(ctx, n.storage.writerDone) // unless ctx ends first: an operation may be stalled
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return reason
}

// newVoter creates a voter from the records of a disk.
func (n *Node) newVoter(set *fb.VoterSetT, incarnation uint64, records []quorum.Record) *quorum.Node {
	config := quorum.DefaultConfig(n.settings.Name, incarnation)
	config.GenerationDurationUS = n.settings.GenerationDurationUS
	config.OpenGenerations = n.settings.OpenGenerations
	config.LeaseDurationUS = n.settings.LeaseDurationUS
	config.MaxStateBytes = int(int64(n.settings.LogSegments) * n.settings.LogSegmentBytes / logToStateRatio)
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

// tickVoter runs several times per heartbeat interval, in the voter's loop.
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

// updateLogPressure makes the voter reject new changes while the log is nearly full.
func (n *Node) updateLogPressure() {
	used := n.storage.usedPermille.Load()
	low := used > lowSpaceThresholdPermille
	if low == n.spaceLow {
		return
	}
	n.spaceLow = low
	n.voter.SetDiskLow(low)
	n.logSpace(low, used)
}

// broadcastSessions sends the sessions kept by this node to the other voters.
func (n *Node) broadcastSessions(context.Context) {
	frame := &fb.FrameT{SessionUpdate: n.sessions.Announcement(clock.Now())}
	taskgroup.TrySend(n.commands, func(int64) {
		for _, peer := range n.voter.VoterSet().Voters {
			n.sendTo(peer.Name, frame)
		}
	})
}

// stepDown gives up leadership of all slots because of a disk failure, and waits for the messages
// to be sent. Pending operations end at once instead of waiting for the disk; their changes may
// still take effect (quorum.StatusUnknown).
func (n *Node) stepDown(ctx context.Context) {
	done := make(chan struct{})
	if taskgroup.Send(ctx, n.commands, func(now int64) {
		n.processReady(n.voter.StepDown(now))
		close(done)
	}) {
		taskgroup.Receive(ctx, done)
		taskgroup.Sleep(ctx, stepDownFlushDelay)
	}
}

// propose proposes an operation to this node's voter and waits for the result. It returns false if
// the result is unknown: the operation may still take effect.
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
