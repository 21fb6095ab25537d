package registrar

import "violetthread/schema/fb"

// Heard keeps a node that asked here a member (design §4.7).
func (r *Node) Heard(now int64, n *fb.NodeT) { r.roll.Beat(now, n) }
