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

// WeightsRoleKey is the lease of the rollout leader, who brings engines to new weights. Its
// register's revision is the fencing token of every update request (design §15).
const WeightsRoleKey = "duty/weights"

// Microseconds.
const (
	// takeoverWindow is how long before a change of leader is seen the core may have worked
	// again already. Ages of announcements count from there.
	takeoverWindow = 4_000_000
	// leaseSlack is how long before its lease expires the leader stops.
	leaseSlack   = 300_000
	renewTimeout = 800_000
)

// weightsRole is this node's part in the rollout of weights: its lease, and the scheduler
// while it leads.
type weightsRole struct {
	leaderID string                        // of this directory, unlike any other's
	lease    atomic.Pointer[rollout.Lease] // read where runRollout may hold the lock for long
	inFlight sync.WaitGroup                // requests under way

	mu            sync.Mutex // guards what follows
	leaving       bool       // the lease was released and is not asked for again
	countFrom     int64      // announcements count from here at the earliest: takeoverWindow before this node came to lead
	startedAt     int64      // when it first made a scheduler under this lease
	sentAt        map[string]int64
	inspectedAt   map[string]int64
	overdue       map[string]uint64  // version of each model that was logged as overdue last
	scheduler     *rollout.Scheduler // nil: it is to be made from the register
	stateRevision uint64             // of the rollout's register as written here
}

func newWeightsRole(name string, incarnation uint64) *weightsRole {
	role := &weightsRole{
		leaderID:    fmt.Sprintf("%s#%x", name, incarnation),
		inspectedAt: map[string]int64{},
		sentAt:      map[string]int64{},
		overdue:     map[string]uint64{},
	}
	role.lease.Store(&rollout.Lease{})
	return role
}

// renewLease asks for the lease of the rollout, or for more of it.
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
		role.scheduler, role.countFrom = nil, now-takeoverWindow
		role.startedAt, role.sentAt = 0, map[string]int64{}
		d.logLeaseAcquired(response.Revision)
	}
	role.lease.Store(&rollout.Lease{FencingToken: response.Revision, ExpiresAt: now + duration - leaseSlack})
	return true
}

// Leave releases the lease, so that another node need not wait for it to expire. It waits
// for requests that are under way: the next leader's must not come close behind them.
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
