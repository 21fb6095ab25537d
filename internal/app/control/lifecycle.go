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

// runLifecycle joins or bootstraps a voter set that includes this disk, votes while one
// does, and begins anew when none does any more (design §4.6). It waits while the disk
// can't be used, and begins anew from what is on it afterwards.
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
		if !n.storage.retryAfterTrouble(ctx) {
			return
		}
	}
}

// joinAndVote votes in the voter set that includes this disk, after joining one if none
// does. It returns why it ended: errRemoved, or what the disk did.
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

// discardState drops the state of a disk that a newer voter set does not include, and its
// incarnation with it. The log is restated as a checkpoint that holds nothing but the new
// incarnation and whom to ask: until that is synced, the old state stays complete.
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
		n.reportDiskUsable() // it may have stalled meanwhile
	}
	return err
}

// resetVoter forgets a voter that has stopped; the loops that used this have ended.
func (n *Node) resetVoter() {
	for id, result := range n.results {
		delete(n.results, id)
		result <- quorum.Result{Status: quorum.StatusUnknown}
	}
	clear(n.senders)
	drainChannel(n.commands)
	drainChannel(n.stopReason)
	drainChannel(n.storage.pending)
	n.voter, n.records, n.logTight = nil, nil, false
	n.status.Store(&voterStatus{})
	n.storage.resetWriter()
}

func drainChannel[T any](ch chan T) {
	for len(ch) > 0 {
		<-ch
	}
}

// stopVoter has the voter stop; the first reason counts.
func (n *Node) stopVoter(reason error) { taskgroup.TrySend(n.stopReason, reason) }
