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
func (r *Node) life(ctx context.Context) {
	usable := false
	for ctx.Err() == nil {
		if !usable && !r.openStorage(ctx) {
			return
		}
		err := r.liveOnce(ctx)
		usable = err == nil || errors.Is(err, errRetired)
		if usable || ctx.Err() != nil {
			continue
		}
		if !passes(err) {
			r.d.Fail(err)
			return
		}
		r.diskTrouble(err)
		if !r.storage.again(ctx) {
			return
		}
	}
}

// liveOnce votes in the roster that holds this disk, after joining one if none does. It
// returns why it ended: errRetired, or what the disk did.
func (r *Node) liveOnce(ctx context.Context) error {
	if f := r.found.Load(); f != nil && !r.holds(f) {
		if err := r.retire(ctx, f); err != nil {
			return err
		}
	}
	if r.found.Load() == nil {
		if err := r.enterRoster(ctx); err != nil {
			return err
		}
	}
	err := r.vote(ctx)
	r.resetVoter()
	return err
}

// enterRoster waits for a roster that holds this disk and keeps it.
func (r *Node) enterRoster(ctx context.Context) error {
	f, ok := r.join(ctx)
	if !ok {
		return ctx.Err()
	}
	f.Inc = r.Inc()
	if err := r.diskStep(ctx, func() error { return r.keep(f) }); err != nil {
		return err
	}
	r.found.Store(f)
	names := lo.Map(f.Voters, func(v *fb.VoterT, _ int) string { return v.Name })
	r.d.Log.Info("joined", "fleet", f.Fleet, "step", codec.UnpackVoterSet(f).Step(), "voters", strings.Join(names, ","))
	return nil
}

// retire drops the state of a disk that a newer roster does not hold, and its
// incarnation with it. The ring is restated as a checkpoint that holds nothing but the
// new incarnation and whom to ask: until that is synced, the old state stands whole.
func (r *Node) retire(ctx context.Context, f *fb.FoundingT) error {
	inc, err := randomIncarnation()
	if err != nil {
		return err
	}
	blank := codec.PackFounding(&fb.FoundingT{Inc: inc, Voters: f.Voters})
	if err := r.diskStep(ctx, func() error { return r.storage.log.Checkpoint([][]byte{blank}) }); err != nil {
		return err
	}
	r.d.Log.Info("retired", "step", codec.UnpackVoterSet(f).Step(), "inc", inc)
	r.inc.Store(inc)
	r.rejoins.Store(true)
	r.learn(addrs(f))
	r.found.Store(nil)
	r.recs = nil
	r.storage.used.Store(int64(r.storage.log.UsedPermille()))
	return nil
}

// diskStep is tryDisk for an operation without a result.
func (r *Node) diskStep(ctx context.Context, operation func() error) error {
	_, err := r.tryDisk(ctx, func() (*diskImage, error) { return nil, operation() })
	if err == nil {
		r.diskUsable() // it may have stalled meanwhile
	}
	return err
}

// resetVoter forgets a voter that has stopped; the loops that used this have ended.
func (r *Node) resetVoter() {
	for id, ch := range r.waiting {
		delete(r.waiting, id)
		ch <- quorum.Result{Status: quorum.StatusUnknown}
	}
	clear(r.senders)
	drain(r.in)
	drain(r.ended)
	drain(r.storage.pending)
	r.node, r.recs, r.tight = nil, nil, false
	r.stats.Store(&stats{})
	st := &r.storage
	st.lost, st.stuck = false, stallWatch{}
	st.synced.Store(0)
	st.started.Store(0)
	st.wants.Store(false)
	st.restate.Store(false)
}

func drain[T any](ch chan T) {
	for len(ch) > 0 {
		<-ch
	}
}

// endVote stops the voter; the first reason counts.
func (r *Node) endVote(why error) { taskgroup.TrySend(r.ended, why) }
