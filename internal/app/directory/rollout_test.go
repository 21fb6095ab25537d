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

// fakeControl is a control node that keeps its registers in memory.
type fakeControl struct {
	mu            sync.Mutex
	values        map[string][]byte
	revisions     map[string]uint64
	unreadable    bool // no register can be read
	onRelease     func()
	firstResponse *fb.MapResponseT // response of the first node in the list order
	voters        []string
}

func newFakeControl() *fakeControl {
	return &fakeControl{values: map[string][]byte{}, revisions: map[string]uint64{}}
}

func (c *fakeControl) set(key string, value []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.values[key] = value
	c.revisions[key]++
}

func (c *fakeControl) Execute(ctx context.Context, request *fb.OperationRequestT) *fb.OperationResponseT {
	return c.ExecuteOnce(ctx, request)
}

func (c *fakeControl) ExecuteOnce(_ context.Context, request *fb.OperationRequestT) *fb.OperationResponseT {
	if quorum.OperationType(request.Type) == quorum.OpRelease {
		c.onRelease()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreadable {
		return &fb.OperationResponseT{Status: byte(quorum.StatusNotLeader)}
	}
	switch quorum.OperationType(request.Type) {
	case quorum.OpPut:
		if request.ExpectedRevision != c.revisions[request.Key] {
			return &fb.OperationResponseT{Status: byte(quorum.StatusConflict), Revision: c.revisions[request.Key]}
		}
		c.values[request.Key] = request.Value
		c.revisions[request.Key]++
	case quorum.OpAcquire:
		if c.revisions[request.Key] == 0 {
			c.revisions[request.Key] = 1
		}
	}
	return &fb.OperationResponseT{Status: byte(quorum.StatusDone), Revision: c.revisions[request.Key], Value: c.values[request.Key]}
}

func (c *fakeControl) VoterAddrs() []string             { return c.voters }
func (c *fakeControl) LiveNodes(int64) []*fb.NodeT      { return nil }
func (c *fakeControl) RecordHeartbeat(int64, *fb.NodeT) {}
func (c *fakeControl) Broadcast(*fb.FrameT)             {}
func (c *fakeControl) Call(context.Context, string, *fb.FrameT, int64) (*fb.FrameT, error) {
	return &fb.FrameT{MapResponse: c.firstResponse}, nil
}

// fakePlatform counts update requests, and responds to each once release returns true.
type fakePlatform struct {
	requests    atomic.Int64
	lastRequest atomic.Pointer[UpdateRequest]
	inFlight    atomic.Int64
	release     func() bool
}

func (p *fakePlatform) UpdateWeights(_ context.Context, request UpdateRequest) UpdateResult {
	p.requests.Add(1)
	p.lastRequest.Store(&request)
	p.inFlight.Add(1)
	defer p.inFlight.Add(-1)
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

// newTestDirectory creates a directory without its loops.
func newTestDirectory(t *testing.T) (*Directory, *fakeControl, *fakePlatform) {
	t.Helper()
	control, platform := newFakeControl(), &fakePlatform{release: func() bool { return true }}
	group := taskgroup.New(t.Context(), logr.Discard())
	t.Cleanup(group.Stop)
	settings := Settings{Name: "core-1", ControlAddr: "b:1", Bounds: route.DefaultBounds(), ListIntervalUS: 1_000_000, Parse: func([]byte, uint64) *route.Table { return nil }}
	return newDirectory(group, settings, control, platform), control, platform
}

// TestRolloutWaitsForEngineList: a node that has not read the platform's list yet must not treat
// every engine as gone: that would drop the update requests that the last leader may have sent.
func TestRolloutWaitsForEngineList(t *testing.T) {
	d, control, _ := newTestDirectory(t)
	saved := rollout.State{Updates: map[string]rollout.Update{"i-1": {Model: "m", Version: 2, Phase: rollout.PhaseRequested}},
		Applied: map[string]map[string]uint64{"i-2": {"m": 2}}}
	control.set(RolloutKey, saved.Marshal())
	d.runRollout(t.Context())
	state, err := rollout.UnmarshalState(control.values[RolloutKey])
	if err != nil || len(state.Updates) != 1 || len(state.Applied) != 1 {
		t.Fatalf("got %+v, error %v; saved was %+v", state, err, saved)
	}
	d.adoptList(clock.Now(), []Engine{{ID: "i-1", Weights: map[string]uint64{"m": 1}}})
	d.runRollout(t.Context())
	if state, err = rollout.UnmarshalState(control.values[RolloutKey]); err != nil || len(state.Updates) != 1 || len(state.Applied) != 0 {
		t.Fatalf("got %+v, error %v after the list was read", state, err)
	}
}

// TestUpdateDecidedUnderEarlierLeaseIsNotSent: an update request that was decided under one lease
// must not be sent under a later one: another node may have been leader in between and sent
// requests of its own.
func TestUpdateDecidedUnderEarlierLeaseIsNotSent(t *testing.T) {
	d, _, platform := newTestDirectory(t)
	d.role.lease.Store(&rollout.Lease{FencingToken: 9, ExpiresAt: clock.Now() + 60_000_000})
	d.sendUpdate(t.Context(), rollout.UpdateRequest{Engine: "i-1"}, 7)
	if n := platform.requests.Load(); n != 0 {
		t.Fatalf("%d requests were sent under a later lease", n)
	}
	d.sendUpdate(t.Context(), rollout.UpdateRequest{Engine: "i-1"}, 9)
	if n := platform.requests.Load(); n != 1 {
		t.Fatalf("%d requests were sent under the current lease", n)
	}
}

// TestUpdateRequestCarriesFencingToken: an update request carries the fencing token and the leader
// of the lease that it was decided under, and Permit fails once that lease has ended.
func TestUpdateRequestCarriesFencingToken(t *testing.T) {
	d, _, platform := newTestDirectory(t)
	d.role.lease.Store(&rollout.Lease{FencingToken: 9, ExpiresAt: clock.Now() + 60_000_000})
	d.sendUpdate(t.Context(), rollout.UpdateRequest{Engine: "i-1", Addr: "e:1", Model: "m", Version: 2}, 9)
	sent := platform.lastRequest.Load()
	if sent == nil || sent.FencingToken != 9 || sent.Leader != d.role.leaderID {
		t.Fatalf("%+v", sent)
	}
	if sent.Engine != "i-1" || sent.Addr != "e:1" || sent.Model != "m" || sent.Version != 2 {
		t.Errorf("%+v", sent)
	}
	if err := sent.Permit(); err != nil {
		t.Error(err)
	}
	d.role.lease.Store(&rollout.Lease{FencingToken: 10, ExpiresAt: clock.Now() + 60_000_000})
	if sent.Permit() == nil {
		t.Error("Permit allows the request under a later lease")
	}
}

// TestLeaveWaitsForUpdatesInFlight: a graceful stop releases the lease only when no request is in
// flight, and never acquires it again.
func TestLeaveWaitsForUpdatesInFlight(t *testing.T) {
	d, control, platform := newTestDirectory(t)
	released := false
	control.onRelease = func() {
		released = true
		if n := platform.inFlight.Load(); n != 0 {
			t.Errorf("the lease was released with %d requests in flight", n)
		}
	}
	leaving := func() bool { return d.role.lease.Load().ExpiresAt == 0 }
	platform.release = leaving
	d.role.lease.Store(&rollout.Lease{FencingToken: 1, ExpiresAt: clock.Now() + 60_000_000})
	d.sendUpdates([]rollout.UpdateRequest{{Engine: "i-1"}}, 1)
	for platform.inFlight.Load() == 0 {
		taskgroup.Sleep(t.Context(), 100)
	}
	d.Leave(t.Context())
	if !released {
		t.Fatal("the lease was not released")
	}
	d.runRollout(t.Context())
	if !leaving() {
		t.Fatal("a node that is leaving acquired the lease again")
	}
}
