package directory

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/go-logr/logr"

	"violetthread/internal/clock"
	"violetthread/internal/taskgroup"
	"violetthread/quorum"
	"violetthread/rollout"
	"violetthread/route"
	"violetthread/schema/fb"
)

// fakeControl is a control node whose registers lie in memory.
type fakeControl struct {
	mu     sync.Mutex
	values map[string][]byte
	revs   map[string]uint64
	silent bool // no register can be read
	onFree func()
	first  *fb.MapTellT // what the first node in line answers
	voters []string
}

func newFakeControl() *fakeControl {
	return &fakeControl{values: map[string][]byte{}, revs: map[string]uint64{}}
}

func (c *fakeControl) set(key string, value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values[key] = value
	c.revs[key]++
}

func (c *fakeControl) Execute(ctx context.Context, q *fb.OpAskT) *fb.OpTellT {
	return c.ExecuteOnce(ctx, q)
}

func (c *fakeControl) ExecuteOnce(_ context.Context, q *fb.OpAskT) *fb.OpTellT {
	if quorum.OperationType(q.Kind) == quorum.OpRelease {
		c.onFree()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return &fb.OpTellT{Status: byte(quorum.StatusNotLeader)}
	}
	switch quorum.OperationType(q.Kind) {
	case quorum.OpPut:
		if q.Expect != c.revs[q.Key] {
			return &fb.OpTellT{Status: byte(quorum.StatusConflict), Rev: c.revs[q.Key]}
		}
		c.values[q.Key] = q.Val
		c.revs[q.Key]++
	case quorum.OpAcquire:
		if c.revs[q.Key] == 0 {
			c.revs[q.Key] = 1
		}
	}
	return &fb.OpTellT{Status: byte(quorum.StatusDone), Rev: c.revs[q.Key], Val: c.values[q.Key]}
}

func (c *fakeControl) VoterAddrs() []string             { return c.voters }
func (c *fakeControl) LiveNodes(int64) []*fb.NodeT      { return nil }
func (c *fakeControl) RecordHeartbeat(int64, *fb.NodeT) {}
func (c *fakeControl) Broadcast(*fb.FrameT)             {}
func (c *fakeControl) Call(context.Context, string, *fb.FrameT, int64) (*fb.FrameT, error) {
	return &fb.FrameT{MapTell: c.first}, nil
}

// fakePlatform records orders, and holds each until release says so.
type fakePlatform struct {
	orders   atomic.Int64
	underWay atomic.Int64
	release  func() bool
}

func (p *fakePlatform) UpdateWeights(context.Context, UpdateRequest) UpdateResult {
	p.orders.Add(1)
	p.underWay.Add(1)
	defer p.underWay.Add(-1)
	for !p.release() {
		taskgroup.Sleep(context.Background(), 100)
	}
	return ResultStarted
}

func (p *fakePlatform) ListEngines(context.Context) ([]Engine, error) { return nil, nil }
func (p *fakePlatform) RunningWeights(context.Context, string) (map[string]uint64, bool, error) {
	return nil, true, nil
}
func (p *fakePlatform) CacheEvents(context.Context, string, string, int64) (CacheEventPage, error) {
	return CacheEventPage{}, nil
}

// newTestDirectory makes a directory whose loops do not run.
func newTestDirectory(t *testing.T) (*Directory, *fakeControl, *fakePlatform) {
	control, platform := newFakeControl(), &fakePlatform{release: func() bool { return true }}
	group := taskgroup.New(t.Context(), logr.Discard())
	t.Cleanup(group.Stop)
	s := Settings{Name: "core-1", ControlAddr: "b:1", Bounds: route.DefaultBounds(), ListInterval: 1_000_000, Parse: func([]byte, uint64) *route.Table { return nil }}
	return newDirectory(group, s, control, platform), control, platform
}

// A node that has not read the platform's list yet must not take every engine for gone:
// who may have been ordered by the last conductor would be forgotten.
func TestConductWaitsForTheList(t *testing.T) {
	d, control, _ := newTestDirectory(t)
	kept := rollout.State{Updates: map[string]rollout.Update{"i-1": {Model: "m", Version: 2, Phase: rollout.PhaseRequested}},
		Applied: map[string]map[string]uint64{"i-2": {"m": 2}}}
	control.set(RolloutKey, kept.Marshal())
	d.runRollout(t.Context())
	state, err := rollout.UnmarshalState(control.values[RolloutKey])
	if err != nil || len(state.Updates) != 1 || len(state.Applied) != 1 {
		t.Fatalf("%+v, %v is left of %+v", state, err, kept)
	}
	d.adoptList(clock.Now(), []Engine{{ID: "i-1", Weights: map[string]uint64{"m": 1}}})
	d.runRollout(t.Context())
	if state, err = rollout.UnmarshalState(control.values[RolloutKey]); err != nil || len(state.Updates) != 1 || len(state.Applied) != 0 {
		t.Fatalf("%+v, %v once the list is known", state, err)
	}
}

// An order that was decided under one hold of the duty must not go out under a later
// one: another node may have held it, and ordered, in between.
func TestOrderUnderAnEarlierHold(t *testing.T) {
	d, _, platform := newTestDirectory(t)
	d.role.lease.Store(&rollout.Lease{FencingToken: 9, ExpiresAt: clock.Now() + 60_000_000})
	d.sendUpdate(t.Context(), rollout.UpdateRequest{Engine: "i-1"}, 7)
	if n := platform.orders.Load(); n != 0 {
		t.Fatalf("%d orders went out", n)
	}
	d.sendUpdate(t.Context(), rollout.UpdateRequest{Engine: "i-1"}, 9)
	if n := platform.orders.Load(); n != 1 {
		t.Fatalf("%d orders went out under the hold that stands", n)
	}
}

// A polite stop gives the duty back once no order is under way, and never takes it again.
func TestLeaveWaitsForOrders(t *testing.T) {
	d, control, platform := newTestDirectory(t)
	freed := false
	control.onFree = func() {
		freed = true
		if n := platform.underWay.Load(); n != 0 {
			t.Errorf("the duty was given back with %d orders under way", n)
		}
	}
	leaving := func() bool { return d.role.lease.Load().ExpiresAt == 0 }
	platform.release = leaving
	d.role.lease.Store(&rollout.Lease{FencingToken: 1, ExpiresAt: clock.Now() + 60_000_000})
	d.sendUpdates([]rollout.UpdateRequest{{Engine: "i-1"}}, 1)
	for platform.underWay.Load() == 0 {
		taskgroup.Sleep(t.Context(), 100)
	}
	d.Leave(t.Context())
	if !freed {
		t.Fatal("the duty was not given back")
	}
	d.runRollout(t.Context())
	if !leaving() {
		t.Fatal("the duty was taken again by a node that leaves")
	}
}
