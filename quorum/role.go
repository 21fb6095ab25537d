package quorum

import (
	"encoding/binary"
	"strings"
)

// A role is a task that one node at a time performs for the fleet; its register holds the lease
// (design §4.5). The register's revision rises with each grant and is the holder's fencing
// token. Grants are written. Renewals are not: the slot's leader keeps them in memory under its
// own lease, and a later leader waits for the whole duration of the role lease before it grants
// the role to another node.

// rolePrefix is the prefix of role keys. It is stored.
const rolePrefix = "duty/"

func isRole(key string) bool { return strings.HasPrefix(key, rolePrefix) }

// roleLease is the value of a role's register; a free role has no holder.
type roleLease struct {
	Holder   string
	Duration int64 // microseconds
}

// encode returns the stored form of the lease: the duration in eight bytes, then the holder.
func (l roleLease) encode() []byte {
	return append(binary.LittleEndian.AppendUint64(nil, uint64(l.Duration)), l.Holder...)
}

func parseRoleLease(value []byte) roleLease {
	if len(value) < 8 {
		return roleLease{}
	}
	return roleLease{string(value[8:]), int64(binary.LittleEndian.Uint64(value))}
}

// RoleHolder returns the holder in the value of a role's register, "" if the role is free.
// Whether the lease is still live is known only to the slot's leader.
func RoleHolder(value []byte) string { return parseRoleLease(value).Holder }

// applyAcquire grants or renews a role lease.
func (n *Node) applyAcquire(c *call) {
	operation, lease := c.operation, parseRoleLease(c.current.Value)
	live := lease.Holder != "" && c.now < c.replica.roleLeaseUntil[operation.Key]
	switch {
	case !isRole(operation.Key) || operation.Holder == "" || operation.LeaseDurationUS <= 0:
		c.finish(StatusConflict, c.current)
	case live && lease.Holder == operation.Holder:
		// A renewal, also if the answer to the grant was lost or the request is late: a second
		// grant to the same holder, which is one incarnation of a node, would make its own
		// fencing token stale.
		c.replica.roleLeaseUntil[operation.Key] = c.now + lease.Duration
		c.finish(StatusDone, c.current)
	case live:
		c.finish(StatusConflict, c.current)
	default: // free or expired
		n.change(c, c.next(roleLease{operation.Holder, operation.LeaseDurationUS}.encode()))
	}
}

// applyRelease frees a role at the request of its holder.
func (n *Node) applyRelease(c *call) {
	operation := c.operation
	holds := parseRoleLease(c.current.Value).Holder == operation.Holder && c.current.Revision == operation.ExpectedRevision
	if !isRole(operation.Key) || !holds {
		c.finish(StatusConflict, c.current)
		return
	}
	n.change(c, c.next(roleLease{}.encode()))
}
