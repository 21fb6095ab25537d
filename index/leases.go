package index

import (
	"slices"
	"strconv"
	"strings"

	"violetthread/cacheindex"
)

// Times of leases, in microseconds.
const (
	// LeaseDuration is how long the lease of a role lasts, from when it was requested.
	LeaseDuration = 2_000_000
	// LeaseRenewInterval is how often a lease is renewed.
	LeaseRenewInterval = 500_000
	// LeaseSafetyMargin is how long before the end of its lease a holder stops acting.
	LeaseSafetyMargin = 250_000
	// leaseAnswerTimeout is how long to wait for the result of a lease operation.
	leaseAnswerTimeout = 2 * LeaseDuration
)

// roleLease is the state of the lease of a role at this node.
type roleLease struct {
	token      uint64 // fencing token: the revision that granted the lease; 0 if not held
	expiresAt  int64  // from then on this node must not act in the role
	askedAt    int64  // when the last operation was requested
	opInFlight bool
	releasing  bool
}

// LeaseOp is an operation on the lease of a role. The caller executes it and passes the result
// to LeaseAnswered. Recordings store it under the names in the tags.
type LeaseOp struct {
	Key     string `json:"Key"`
	Token   uint64 `json:"Epoch"` // of the lease held so far, 0 for none
	Release bool   `json:"Free"`  // otherwise acquire or renew
}

// Prefixes of the keys of leases, by kind of role.
const (
	engineRolePrefix = "duty/engine/"
	shardRolePrefix  = "duty/shard/"
)

// EngineRole returns the lease key of an engine's owner.
func EngineRole(engine string) string { return engineRolePrefix + engine }

// ShardRole returns the lease key of a shard's owner.
func ShardRole(shard int) string { return shardRolePrefix + strconv.Itoa(shard) }

// allRoles lists the lease keys of all roles, sorted.
func (n *Node) allRoles() []string {
	var roles []string
	for name := range n.listed {
		roles = append(roles, EngineRole(name))
	}
	for shard := range Shards {
		roles = append(roles, ShardRole(shard))
	}
	slices.Sort(roles)
	return roles
}

// LeaseOps returns the lease operations that move this node from the roles that it holds to
// those that are placed on it, sorted by key. The result of each must be passed to
// LeaseAnswered.
func (n *Node) LeaseOps(now int64) []LeaseOp {
	placement := n.Placement()
	ops := append(n.releaseOps(now, placement), n.acquireOps(now, placement)...)
	slices.SortFunc(ops, func(a, b LeaseOp) int { return strings.Compare(a.Key, b.Key) })
	return ops
}

// releaseOps releases the roles that are placed on other nodes. This node stops acting in a
// role before it releases the lease. Proxies may use grants of an engine until its lease ends,
// so an engine's lease is not renewed, and released only once it has ended. A shard's owner
// issues no grants, and its lease is released at once.
func (n *Node) releaseOps(now int64, placement map[string]string) []LeaseOp {
	var ops []LeaseOp
	for key, lease := range n.leases {
		if lease.opInFlight || placement[key] == n.name {
			continue
		}
		if lease.token != 0 && !lease.releasing && (now >= lease.expiresAt || !strings.HasPrefix(key, engineRolePrefix)) {
			lease.releasing, lease.expiresAt = true, 0
			n.forgetRole(key)
			lease.opInFlight, lease.askedAt = true, now
			ops = append(ops, LeaseOp{Key: key, Token: lease.token, Release: true})
			n.Counters.Released++
		} else if now >= lease.expiresAt {
			n.forgetRole(key)
			delete(n.leases, key)
		}
	}
	return ops
}

// acquireOps acquires or renews the leases of the roles that are placed on this node.
func (n *Node) acquireOps(now int64, placement map[string]string) []LeaseOp {
	var ops []LeaseOp
	for _, key := range n.allRoles() {
		if placement[key] != n.name {
			continue
		}
		lease := n.leases[key]
		if lease == nil {
			lease = &roleLease{}
			n.leases[key] = lease
		}
		if lease.opInFlight && now-lease.askedAt > leaseAnswerTimeout {
			lease.opInFlight = false
		}
		if !lease.opInFlight && !lease.releasing && now >= lease.askedAt+LeaseRenewInterval {
			lease.opInFlight, lease.askedAt = true, now
			ops = append(ops, LeaseOp{Key: key, Token: lease.token})
		}
	}
	return ops
}

// HoldsNoLeases reports whether every lease has been released or has expired.
func (n *Node) HoldsNoLeases() bool { return len(n.leases) == 0 }

// LeaseAnswered applies the result of a lease operation that was requested at time askedAt:
// whether it succeeded, and the current token of the lease, 0 if unknown.
func (n *Node) LeaseAnswered(now int64, op LeaseOp, askedAt int64, done bool, token uint64) {
	lease := n.leases[op.Key]
	if lease == nil {
		return
	}
	lease.opInFlight = false
	if op.Release {
		delete(n.leases, op.Key)
		return
	}
	if !done {
		if token != 0 || now >= lease.expiresAt {
			lease.token = 0
		}
		return
	}
	if lease.token != token {
		n.Counters.Takeovers++
		if engine, ok := strings.CutPrefix(op.Key, engineRolePrefix); ok {
			delete(n.engines, engine)
		}
	}
	lease.token = token
	lease.expiresAt = max(lease.expiresAt, askedAt+LeaseDuration-LeaseSafetyMargin)
}

// forgetRole removes the state that belongs to a role.
func (n *Node) forgetRole(key string) {
	if engine, ok := strings.CutPrefix(key, engineRolePrefix); ok {
		delete(n.engines, engine)
	}
	if shard, ok := shardOf(key); ok {
		n.directory.RetainKeys(func(k cacheindex.Key) bool { return k.Shard(Shards) != shard })
	}
}

// shardOf returns the shard of a role, if it is the role of a shard's owner.
func shardOf(key string) (shard int, ok bool) {
	number, ok := strings.CutPrefix(key, shardRolePrefix)
	if !ok {
		return 0, false
	}
	shard, err := strconv.Atoi(number)
	return shard, err == nil && shard < Shards
}

// HoldsLease reports whether this node holds the lease of a role now, and returns its token.
func (n *Node) HoldsLease(now int64, key string) (token uint64, held bool) {
	lease := n.leases[key]
	if lease == nil || lease.token == 0 || lease.releasing || now >= lease.expiresAt {
		return 0, false
	}
	return lease.token, true
}

// HeldRoles lists the keys of the leases that this node holds now, sorted.
func (n *Node) HeldRoles(now int64) []string {
	var roles []string
	for key := range n.leases {
		if _, held := n.HoldsLease(now, key); held {
			roles = append(roles, key)
		}
	}
	slices.Sort(roles)
	return roles
}
