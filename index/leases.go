package index

import (
	"slices"
	"strconv"
	"strings"

	"violetthread/cacheindex"
)

// Times of leases, in microseconds.
const (
	// LeaseDuration is how long the lease of a role lasts, from when it was asked for.
	LeaseDuration = 2_000_000
	// LeaseRenewInterval is how often a lease is renewed.
	LeaseRenewInterval = 500_000
	// LeaseSafetyMargin is how long before the end of its lease a holder stops.
	LeaseSafetyMargin = 250_000
	// leaseAnswerTimeout is how long the answer to a lease operation is waited for.
	leaseAnswerTimeout = 2 * LeaseDuration
)

// roleLease is the lease of a role, as this node knows it.
type roleLease struct {
	token      uint64 // revision that granted the lease, the fencing token; 0: not held
	expiresAt  int64  // this node must not act in the role from then on
	askedAt    int64  // when the last operation was asked for
	opInFlight bool
	releasing  bool
}

// LeaseOp is an operation on the lease of a role that must be carried out, and answered by
// LeaseAnswered. Recordings contain it under the names in the tags.
type LeaseOp struct {
	Key     string `json:"Key"`
	Token   uint64 `json:"Epoch"` // of the lease held so far, 0 for none
	Release bool   `json:"Free"`  // else acquire or renew
}

// The keys of leases begin with what the role owns.
const (
	engineRolePrefix = "duty/engine/"
	shardRolePrefix  = "duty/shard/"
)

// EngineRole is the key of the lease of an engine's owner.
func EngineRole(engine string) string { return engineRolePrefix + engine }

// ShardRole is the key of the lease of a shard's owner.
func ShardRole(shard int) string { return shardRolePrefix + strconv.Itoa(shard) }

// allRoles lists the keys of all roles there are, sorted.
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

// LeaseOps works out the lease operations that lead from the roles held here to those that
// are placed here, by key. Each must be answered by LeaseAnswered.
func (n *Node) LeaseOps(now int64) []LeaseOp {
	placement := n.Placement()
	ops := append(n.releaseOps(now, placement), n.acquireOps(now, placement)...)
	slices.SortFunc(ops, func(a, b LeaseOp) int { return strings.Compare(a.Key, b.Key) })
	return ops
}

// releaseOps gives up the roles that are placed elsewhere. The role is left first, and only
// then is its lease given back. An engine's grants are out at proxies until the lease ends,
// which is not renewed, and given back then; a shard's owner grants nothing.
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

// acquireOps acquires or renews the leases of the roles that are placed here.
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

// HoldsNoLeases reports whether every lease was given back or ran out.
func (n *Node) HoldsNoLeases() bool { return len(n.leases) == 0 }

// LeaseAnswered takes in the answer to a lease operation that was asked for at time asked:
// whether it was done, and the token of the lease as it is now, 0 if that is not known.
func (n *Node) LeaseAnswered(now int64, op LeaseOp, asked int64, done bool, token uint64) {
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
		if engine, is := strings.CutPrefix(op.Key, engineRolePrefix); is {
			delete(n.engines, engine)
		}
	}
	lease.token = token
	lease.expiresAt = max(lease.expiresAt, asked+LeaseDuration-LeaseSafetyMargin)
}

// forgetRole forgets what came with a role.
func (n *Node) forgetRole(key string) {
	if engine, is := strings.CutPrefix(key, engineRolePrefix); is {
		delete(n.engines, engine)
	}
	if shard, is := shardOf(key); is {
		n.directory.RetainKeys(func(k cacheindex.Key) bool { return k.Shard(Shards) != shard })
	}
}

// shardOf is the shard that a role owns, if it is a shard's.
func shardOf(key string) (shard int, is bool) {
	number, is := strings.CutPrefix(key, shardRolePrefix)
	if !is {
		return 0, false
	}
	shard, err := strconv.Atoi(number)
	return shard, err == nil && shard < Shards
}

// HoldsLease reports whether the lease of a role is held now, and its token.
func (n *Node) HoldsLease(now int64, key string) (token uint64, held bool) {
	lease := n.leases[key]
	if lease == nil || lease.token == 0 || lease.releasing || now >= lease.expiresAt {
		return 0, false
	}
	return lease.token, true
}

// HeldRoles lists the roles whose leases are held now, sorted.
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
