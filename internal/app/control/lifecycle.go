package control

import (
	"context"
	"errors"
	"strings"

	"github.com/samber/lo"

	"violetthread/internal/codec"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/schema/fb"
)

// runLifecycle joins or bootstraps a voter set that includes this disk, votes while the voter set
// includes it, and joins again after the disk was removed (design §4.6). While the disk can't be
// used it waits, and then restarts from the state on disk.
func (n *Node) runLifecycle(ctx context.Context) {
	diskOpen := false
	for ctx.Err() == nil {
		if !diskOpen && !n.openStorage(ctx) {
			return
		}
		err := n.joinAndVote(ctx)
		diskOpen = err == nil || errors.Is(err, errRemoved)
		if diskOpen || ctx.Err() != nil {
			continue
		}
		if !isTransient(err) {
			n.daemon.Fail(err)
			return
		}
		n.reportDiskUnusable(err)
		if !n.storage.backOffUnlessStable(ctx) {
			return
		}
	}
}

// joinAndVote runs the voter, after joining a voter set if none includes this disk. It returns
// why it ended: errRemoved, a disk error or the end of ctx.
func (n *Node) joinAndVote(ctx context.Context) error {
	if set := n.voterSet.Load(); set != nil && !n.isVoter(set) {
		if err := n.discardState(ctx, set); err != nil {
			return err
		}
	}
	if n.voterSet.Load() == nil {
		if err := n.joinVoterSet(ctx); err != nil {
			return err
		}
	}
	err := n.runVoter(ctx)
	n.resetVoter()
	return err
}

// joinVoterSet waits for a voter set that includes this disk and persists it.
func (n *Node) joinVoterSet(ctx context.Context) error {
	set, ok := n.join(ctx)
	if !ok {
		return ctx.Err()
	}
	set.Incarnation = n.Incarnation()
	if err := n.runDiskStep(ctx, func() error { return n.persistVoterSet(set) }); err != nil {
		return err
	}
	n.voterSet.Store(set)
	names := lo.Map(set.Voters, func(voter *fb.VoterT, _ int) string { return voter.Name })
	n.logVoterSetJoined(set.Fleet, codec.UnpackVoterSet(set).Step(), strings.Join(names, ","))
	return nil
}

// discardState discards the state and the incarnation of a disk that a newer voter set does not
// include. It replaces the log with a checkpoint that holds only a new incarnation and the
// addresses of the voters; until that checkpoint is synced, the old state stays complete.
func (n *Node) discardState(ctx context.Context, set *fb.VoterSetT) error {
	incarnation, err := randomIncarnation()
	if err != nil {
		return err
	}
	blank := codec.PackIdentity(&fb.VoterSetT{Incarnation: incarnation, Voters: set.Voters})
	if err := n.runDiskStep(ctx, func() error { return n.storage.log.Checkpoint([][]byte{blank}) }); err != nil {
		return err
	}
	n.logStateDiscarded(codec.UnpackVoterSet(set).Step(), incarnation)
	n.incarnation.Store(incarnation)
	n.removed.Store(true)
	n.addKnownAddrs(voterAddrs(set))
	n.voterSet.Store(nil)
	n.records = nil
	n.storage.usedPermille.Store(int64(n.storage.log.UsedPermille()))
	return nil
}

// runDiskStep is runDiskOperation for an operation without a result.
func (n *Node) runDiskStep(ctx context.Context, operation func() error) error {
	_, err := n.runDiskOperation(ctx, func() (*diskImage, error) { return nil, operation() })
	if err == nil {
		n.reportDiskUsable() // it may have been reported as stalled during the operation
	}
	return err
}

// resetVoter clears the state of a voter that has stopped. The loops that use this state have
// ended.
func (n *Node) resetVoter() {
	for id, result := range n.results {
		delete(n.results, id)
		result <- quorum.Result{Status: quorum.StatusUnknown}
	}
	clear(n.senders)
	drainChannel(n.commands)
	drainChannel(n.stopReason)
	drainChannel(n.storage.pending)
	n.voter, n.records, n.spaceLow = nil, nil, false
	n.status.Store(&voterStatus{})
	n.storage.resetWriter()
}

func drainChannel[T any](ch chan T) {
	for len(ch) > 0 {
		<-ch
	}
}

// stopVoter requests that the voter stops. Only the first reason is kept.
func (n *Node) stopVoter(reason error) { taskgroup.TrySend(n.stopReason, reason) }
