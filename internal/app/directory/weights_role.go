package directory

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"violetthread/internal/clock"
	"violetthread/quorum"
	"violetthread/rollout"
	"violetthread/schema/fb"
)

// WeightsRoleKey is the lease of the rollout leader, which rolls out new weights to the engines.
// The revision of its register is the fencing token of every update request (design §15).
const WeightsRoleKey = "duty/weights"

// Microseconds.
const (
	// takeoverWindow is the longest time that the core may already have been working again when a
	// node notices a change of leader. Ages of announcements count from that much earlier.
	takeoverWindow = 4_000_000
	// leaseSlack is how long before the lease expires the leader stops using it.
	leaseSlack   = 300_000
	renewTimeout = 800_000
)

// weightsRole is this node's state in the rollout of weights: its lease, and the scheduler while
// it is leader.
type weightsRole struct {
	leaderID string                        // unique to this directory
	lease    atomic.Pointer[rollout.Lease] // atomic, since runRollout may hold the lock for long
	inFlight sync.WaitGroup                // update requests in flight

	mu                 sync.Mutex         // guards the fields below
	leaving            bool               // the lease was released and is not acquired again
	announcedNotBefore int64              // announcements count from here at the earliest: takeoverWindow before this node became leader
	startedAt          int64              // when the first scheduler under this lease was created
	sentAt             map[string]int64   // time of the last update request under this lease, by engine
	inspectedAt        map[string]int64   // time of the last inspection, by engine
	loggedOverdue      map[string]uint64  // newest version that was logged as overdue, by model
	scheduler          *rollout.Scheduler // nil: the next step creates one from the register
	stateRevision      uint64             // revision of the rollout's register as last read or written by this node
}

func newWeightsRole(name string, incarnation uint64) *weightsRole {
	role := &weightsRole{
		leaderID:      fmt.Sprintf("%s#%x", name, incarnation),
		inspectedAt:   map[string]int64{},
		sentAt:        map[string]int64{},
		loggedOverdue: map[string]uint64{},
	}
	role.lease.Store(&rollout.Lease{})
	return role
}

// renewLease acquires or renews the lease of the rollout, and reports whether this node holds it.
func (d *Directory) renewLease(ctx context.Context, now int64) bool {
	role := d.role
	lease := *role.lease.Load()
	duration := d.settings.Bounds.LeaseUS + rollout.LeaseMarginUS
	if lease.ExpiresAt-now > duration*2/3 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, clock.Duration(renewTimeout))
	defer cancel()
	response := d.control.ExecuteOnce(ctx, &fb.OperationRequestT{Type: byte(quorum.OpAcquire), Key: WeightsRoleKey, Holder: role.leaderID, LeaseDuration: duration})
	if quorum.Status(response.Status) != quorum.StatusDone {
		return now < lease.ExpiresAt
	}
	if response.Revision != lease.FencingToken {
		role.scheduler, role.announcedNotBefore = nil, now-takeoverWindow
		role.startedAt, role.sentAt = 0, map[string]int64{}
		d.logLeaseAcquired(response.Revision)
	}
	role.lease.Store(&rollout.Lease{FencingToken: response.Revision, ExpiresAt: now + duration - leaseSlack})
	return true
}

// Leave releases the lease, so that another node need not wait for it to expire. Before that, it
// waits for requests in flight: the next leader's requests must not follow too closely.
func (d *Directory) Leave(ctx context.Context) {
	role := d.role
	role.mu.Lock()
	lease := *role.lease.Load()
	role.lease.Store(&rollout.Lease{})
	role.leaving, role.scheduler = true, nil
	role.mu.Unlock()
	if clock.Now() >= lease.ExpiresAt {
		return
	}
	role.inFlight.Wait()
	d.control.ExecuteOnce(ctx, &fb.OperationRequestT{Type: byte(quorum.OpRelease), Key: WeightsRoleKey, Holder: role.leaderID, ExpectedRevision: lease.FencingToken})
}
