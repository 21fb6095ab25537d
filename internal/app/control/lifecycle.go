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

// life is a disk's way: it finds or founds a roster that holds it, votes while a
// roster does, and begins anew when none does any more (design §4.6). It waits while the
// disk can't be used, and begins anew from what is on it afterwards.
func (n *Node) runLifecycle(ctx context.Context) {
	usable := false
	for ctx.Err() == nil {
		if !usable && !n.openStorage(ctx) {
			return
		}
		err := n.joinAndVote(ctx)
		usable = err == nil || errors.Is(err, errRetired)
		if usable || ctx.Err() != nil {
			continue
		}
		if !isTransient(err) {
			n.daemon.Fail(err)
			return
		}
		n.markDiskUnusable(err)
		if !n.storage.retryAfterTrouble(ctx) {
			return
		}
	}
}

// liveOnce votes in the roster that holds this disk, after joining one if none does. It
// returns why it ended: errRetired, or what the disk did.
func (n *Node) joinAndVote(ctx context.Context) error {
	if f := n.voterSet.Load(); f != nil && !n.isVoter(f) {
		if err := n.discardState(ctx, f); err != nil {
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

// enterRoster waits for a roster that holds this disk and keeps it.
func (n *Node) joinVoterSet(ctx context.Context) error {
	f, ok := n.join(ctx)
	if !ok {
		return ctx.Err()
	}
	f.Inc = n.Incarnation()
	if err := n.runDiskStep(ctx, func() error { return n.persistVoterSet(f) }); err != nil {
		return err
	}
	n.voterSet.Store(f)
	names := lo.Map(f.Voters, func(v *fb.VoterT, _ int) string { return v.Name })
	n.daemon.Log.Info("joined", "fleet", f.Fleet, "step", codec.UnpackVoterSet(f).Step(), "voters", strings.Join(names, ","))
	return nil
}

// retire drops the state of a disk that a newer roster does not hold, and its
// incarnation with it. The ring is restated as a checkpoint that holds nothing but the
// new incarnation and whom to ask: until that is synced, the old state stands whole.
func (n *Node) discardState(ctx context.Context, f *fb.FoundingT) error {
	inc, err := randomIncarnation()
	if err != nil {
		return err
	}
	blank := codec.PackFounding(&fb.FoundingT{Inc: inc, Voters: f.Voters})
	if err := n.runDiskStep(ctx, func() error { return n.storage.log.Checkpoint([][]byte{blank}) }); err != nil {
		return err
	}
	n.daemon.Log.Info("retired", "step", codec.UnpackVoterSet(f).Step(), "inc", inc)
	n.incarnation.Store(inc)
	n.removed.Store(true)
	n.addKnownAddrs(voterAddrs(f))
	n.voterSet.Store(nil)
	n.records = nil
	n.storage.usedPermille.Store(int64(n.storage.log.UsedPermille()))
	return nil
}

// diskStep is tryDisk for an operation without a result.
func (n *Node) runDiskStep(ctx context.Context, operation func() error) error {
	_, err := n.runDiskOperation(ctx, func() (*diskImage, error) { return nil, operation() })
	if err == nil {
		n.markDiskUsable() // it may have stalled meanwhile
	}
	return err
}

// resetVoter forgets a voter that has stopped; the loops that used this have ended.
func (n *Node) resetVoter() {
	for id, ch := range n.results {
		delete(n.results, id)
		ch <- quorum.Result{Status: quorum.StatusUnknown}
	}
	clear(n.senders)
	drainChannel(n.commands)
	drainChannel(n.stopReason)
	drainChannel(n.storage.pending)
	n.voter, n.records, n.logTight = nil, nil, false
	n.status.Store(&voterStatus{})
	st := &n.storage
	st.recordsLost, st.stall = false, stallWatch{}
	st.syncedRecords.Store(0)
	st.activeOperation.Store(0)
	st.checkpointWanted.Store(false)
	st.checkpointQueued.Store(false)
}

func drainChannel[T any](ch chan T) {
	for len(ch) > 0 {
		<-ch
	}
}

// endVote stops the voter; the first reason counts.
func (n *Node) stopVoter(why error) { taskgroup.TrySend(n.stopReason, why) }
