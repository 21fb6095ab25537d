package control

import (
	"context"

	"violetthread/schema/fb"
)

// Heard keeps a node that asked here a member (design §4.7).
func (r *Node) Heard(now int64, n *fb.NodeT) { r.roll.Beat(now, n) }

// Tell sends a frame to the other voters; it may be lost.
func (r *Node) Tell(f *fb.FrameT) {
	for _, a := range r.Voters() {
		if a != r.s.Wire {
			r.book.At(a).Send(f)
		}
	}
}

// Ask asks the control node at an address and waits for its answer.
func (r *Node) Ask(ctx context.Context, addr string, f *fb.FrameT, us int64) (*fb.FrameT, error) {
	return r.book.At(addr).Call(ctx, f, us)
}
