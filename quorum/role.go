package quorum

import (
	"encoding/binary"
	"strings"
)

// A role is a task that one node at a time has for the fleet; its register holds the lease
// (design §4.5).
// The register's revision rises with each grant and is the holder's fencing token. Grants are
// written; renewals are not: the slot's leader keeps them in memory under its own lease, and
// a later leader waits a whole LeaseDurationUS before it grants the role to another.

// rolePrefix begins the keys of roles. It is stored.
const rolePrefix = "duty/"

func isRole(key string) bool { return strings.HasPrefix(key, rolePrefix) }

// roleLease is the value of a role's register; a free role has no holder.
type roleLease struct {
	Holder   string
	Duration int64 // microseconds
}

// encode is the lease as its register holds it: the duration in eight bytes, then the holder.
func (l roleLease) encode() []byte {
	return append(binary.LittleEndian.AppendUint64(nil, uint64(l.Duration)), l.Holder...)
}

func parseRoleLease(value []byte) roleLease {
	if len(value) < 8 {
		return roleLease{}
	}
	return roleLease{string(value[8:]), int64(binary.LittleEndian.Uint64(value))}
}

// RoleHolder reads the holder out of a role's register, "" if the role is free. It does not
// say whether the lease is still live: the slot's leader alone knows that.
func RoleHolder(value []byte) string { return parseRoleLease(value).Holder }

// applyAcquire grants or renews a role lease.
func (n *Node) applyAcquire(c *call) {
	operation, lease := c.operation, parseRoleLease(c.current.Value)
	live := lease.Holder != "" && c.now < c.replica.roleLeaseUntil[operation.Key]
	switch {
	case !isRole(operation.Key) || operation.Holder == "" || operation.LeaseDurationUS <= 0:
		c.finish(StatusConflict, c.current)
	case live && lease.Holder == operation.Holder:
		// Also for one whose grant was lost, or whose request comes late: a second grant to
		// the same incarnation would make its own fencing token stale.
		c.replica.roleLeaseUntil[operation.Key] = c.now + lease.Duration
		c.finish(StatusDone, c.current)
	case live:
		c.finish(StatusConflict, c.current)
	default: // free, or expired
		n.change(c, c.next(roleLease{operation.Holder, operation.LeaseDurationUS}.encode()))
	}
}

// applyRelease frees a role for its holder.
func (n *Node) applyRelease(c *call) {
	operation := c.operation
	holds := parseRoleLease(c.current.Value).Holder == operation.Holder && c.current.Revision == operation.ExpectedRevision
	if !isRole(operation.Key) || !holds {
		c.finish(StatusConflict, c.current)
		return
	}
	n.change(c, c.next(roleLease{}.encode()))
}
